package datapath

import (
	"net/netip"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/encap"
	"github.com/saltbend/saltbend/internal/quicid"
	"github.com/saltbend/saltbend/internal/reset"
	"github.com/saltbend/saltbend/internal/token"
)

const (
	// askEvery is the time between probes of an agent that is gone.
	askEvery = time.Second
	// silentAfter probes without a sign of life, an agent counts as silent: the
	// first of them is three times askEvery old by then.
	silentAfter = 4
	// asksAtOnce bounds the probes of one round. With more agents gone, it takes
	// longer until they count as silent.
	asksAtOnce = 256
)

// Resets a second, of each balancer. A caller whose reset is not sent learns by
// its next packet.
const (
	resetRate  = 300
	resetBurst = 300
)

// Gone is a data address of which the fleet says that its agents are gone. The
// fleet may be wrong about one that is cut off, so the address is probed, and
// any datagram from it is a sign of life.
type Gone struct {
	// Service is that of the last agent at the address.
	Service config.Tag
	// Incarnations are the tags of the agents that are gone.
	Incarnations []uint16
	// unanswered counts the probes since the last sign of life.
	unanswered atomic.Int32
}

// heard notes a sign of life.
func (g *Gone) heard() { g.unanswered.Store(0) }

// asked notes a probe.
func (g *Gone) asked() { g.unanswered.Add(1) }

// resets reports whether the open flow of a datagram is to be reset: its agent
// is gone, and silent.
func (g *Gone) resets(datagram []byte, incarnation uint16) bool {
	return g != nil &&
		!quicid.IsLong(datagram) &&
		len(datagram) >= reset.MinTrigger &&
		slices.Contains(g.Incarnations, incarnation) &&
		g.unanswered.Load() >= silentAfter
}

func newResetLimit() *rate.Limiter {
	return rate.NewLimiter(resetRate, resetBurst)
}

// resetFlow answers the datagram behind the buffer's headroom in the place of
// its agent, and returns the buffer to use next.
func (p *Path) resetFlow(s *Socket, f *forwarder, buffer []byte, end int, caller netip.AddrPort) []byte {
	datagram := buffer[encap.HeaderSize:end]
	id, _ := quicid.Destination(datagram, token.Size) // decide has read it
	for _, packet := range f.keys.Resets.Packets(f.agent, id, len(datagram)) {
		n := copy(buffer, packet)
		buffer = s.replies.add(buffer, 0, n, caller)
	}
	return buffer
}

// askGone probes the agents that are gone, until the path is closed.
func (p *Path) askGone() {
	ticker := time.NewTicker(askEvery)
	defer ticker.Stop()
	a := &asker{path: p, buffer: make([]byte, bufferSize)}
	for {
		select {
		case <-p.closed:
			return
		case <-ticker.C:
			a.round(p.snapshot.Load())
		}
	}
}

// asker sends probes; it belongs to one goroutine.
type asker struct {
	view
	path   *Path
	buffer []byte
}

// round probes each agent that is gone, asksAtOnce at most.
func (a *asker) round(s *Snapshot) {
	a.use(s)
	left := asksAtOnce
	for addr, g := range s.Gone {
		if left == 0 {
			return
		}
		left--
		a.ask(addr, g)
	}
}

func (a *asker) ask(addr netip.AddrPort, g *Gone) {
	h := encap.Header{Kind: encap.KindProbe, Service: g.Service, Balancer: a.path.self}
	if a.keys.Headers.Encode(a.buffer, &h) != nil {
		return
	}
	g.asked()
	a.path.forward.asks.Inc()
	a.buffer = a.path.toAgents.add(a.buffer, 0, encap.HeaderSize, addr)
}
