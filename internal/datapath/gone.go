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
	// probeInterval is the time between probes of an agent that is gone.
	probeInterval = time.Second
	// unresponsiveAfter is the number of probes without a response after which an
	// agent counts as unresponsive. The first of them was then sent three times
	// probeInterval ago.
	unresponsiveAfter = 4
	// maxProbesPerRound limits the probes of one round. If more agents are gone, it
	// takes longer until they count as unresponsive.
	maxProbesPerRound = 256
)

// Limits of the stateless resets that each balancer sends: resets per second and
// burst. A caller whose reset was suppressed can get one in answer to its next
// packet.
const (
	resetRate  = 300
	resetBurst = 300
)

// GoneAddress is a data address whose agents the fleet considers gone: they left
// or failed. An agent that is only cut off from the fleet may still serve its
// flows, so the balancer probes the address, and any authenticated datagram from
// the address counts as a response.
type GoneAddress struct {
	// Service is the service of the last agent at the address.
	Service config.Tag
	// Incarnations are the incarnation tags of the agents that are gone.
	Incarnations []uint16
	// unanswered counts the probes since the last response.
	unanswered atomic.Int32
}

// recordResponse resets the count of unanswered probes.
func (g *GoneAddress) recordResponse() { g.unanswered.Store(0) }

// recordProbe counts a probe as unanswered until the next response.
func (g *GoneAddress) recordProbe() { g.unanswered.Add(1) }

// needsReset reports whether to answer a datagram of an open flow with a
// stateless reset: its agent is gone and unresponsive, and the datagram has a short
// header and is long enough to be answered by a reset.
func (g *GoneAddress) needsReset(datagram []byte, incarnation uint16) bool {
	return g != nil &&
		!quicid.IsLong(datagram) &&
		len(datagram) >= reset.MinTrigger &&
		slices.Contains(g.Incarnations, incarnation) &&
		g.unanswered.Load() >= unresponsiveAfter
}

func newResetLimiter() *rate.Limiter {
	return rate.NewLimiter(resetRate, resetBurst)
}

// resetFlow answers the datagram buffer[encap.HeaderSize:end] with stateless resets,
// on behalf of the agent f.resetAgent. It returns the buffer to use next.
func (p *Path) resetFlow(s *Socket, f *forwarder, buffer []byte, end int, caller netip.AddrPort) []byte {
	datagram := buffer[encap.HeaderSize:end]
	id, _ := quicid.Destination(datagram, token.Size) // decide has checked the length
	for _, packet := range f.keys.Resets.Packets(f.resetAgent, id, len(datagram)) {
		n := copy(buffer, packet)
		buffer = s.replies.add(buffer, 0, n, caller)
	}
	return buffer
}

// probeGone probes the agents that are gone, until the path is closed.
func (p *Path) probeGone() {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	pr := &prober{path: p, buffer: make([]byte, bufferSize)}
	for {
		select {
		case <-p.closed:
			return
		case <-ticker.C:
			pr.probeRound(p.snapshot.Load())
		}
	}
}

// prober sends probes. It must be used by one goroutine only.
type prober struct {
	view
	path   *Path
	buffer []byte
}

// probeRound probes each agent that is gone, at most maxProbesPerRound of them.
func (pr *prober) probeRound(s *Snapshot) {
	pr.use(s)
	left := maxProbesPerRound
	for addr, g := range s.GoneAddresses {
		if left == 0 {
			return
		}
		left--
		pr.probe(addr, g)
	}
}

func (pr *prober) probe(addr netip.AddrPort, g *GoneAddress) {
	h := encap.Header{Kind: encap.KindProbe, Service: g.Service, Balancer: pr.path.self}
	if pr.keys.Headers.Encode(pr.buffer, &h) != nil {
		return
	}
	g.recordProbe()
	pr.path.forward.probes.Inc()
	pr.buffer = pr.path.toAgents.add(pr.buffer, 0, encap.HeaderSize, addr)
}
