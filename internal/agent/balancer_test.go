package agent

import (
	"math"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/encap"
	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/token"
)

const testService = "results"

func testRing(t testing.TB) *keyring.Ring {
	ring, err := keyring.Parse("1:000102030405060708090a0b0c0d0e0f")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	return ring
}

// balancer simulates a balancer. It forwards datagrams between the face and the
// agents.
type balancer struct {
	data *net.UDPConn
	// A frozen balancer drops all datagrams; with ignoresAgents it drops only
	// the datagrams from agents.
	frozen, ignoresAgents atomic.Bool
	replies               atomic.Int64
}

// fabric simulates the network in front of the balancers. It receives callers'
// datagrams at one face and distributes them over the balancers in turn.
type fabric struct {
	face      *net.UDPConn
	ring      *keyring.Ring
	balancers []*balancer
	// newFlow lists the agents that receive the Initials of new flows.
	mu      sync.Mutex
	newFlow []netip.AddrPort
}

func newFabric(t testing.TB, balancers int) *fabric {
	f := &fabric{face: listenUDP(t), ring: testRing(t)}
	for range balancers {
		f.balancers = append(f.balancers, &balancer{data: listenUDP(t)})
	}
	for _, b := range f.balancers {
		go f.replies(b)
	}
	go f.spray()
	return f
}

func listenUDP(t testing.TB) *net.UDPConn {
	c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	_ = c.SetReadBuffer(4 << 20)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func addrOf(c *net.UDPConn) netip.AddrPort {
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}

func (f *fabric) setNewFlow(agents ...netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.newFlow = agents
}

// spray forwards callers' datagrams to agents.
func (f *fabric) spray() {
	codec := encap.NewCodec(f.ring)
	tokens := token.NewCodec(f.ring)
	buf := make([]byte, 2048)
	for turn := 0; ; turn++ {
		n, caller, err := f.face.ReadFromUDPAddrPort(buf[encap.HeaderSize:])
		if err != nil {
			return
		}
		b := f.balancers[turn%len(f.balancers)]
		if b.frozen.Load() {
			continue
		}
		packet := buf[encap.HeaderSize : encap.HeaderSize+n]
		h := encap.Header{
			Kind:     encap.KindForward,
			Caller:   netip.AddrPortFrom(caller.Addr().Unmap(), caller.Port()),
			Face:     addrOf(f.face),
			Service:  config.TagOf(testService),
			Revision: math.MaxUint64, // never older than the agent's revision
			Balancer: addrOf(b.data),
		}
		if codec.Encode(buf, &h) != nil {
			continue
		}
		for _, to := range f.route(tokens, packet) {
			_, _ = b.data.WriteToUDPAddrPort(buf[:encap.HeaderSize+n], to)
		}
	}
}

func (f *fabric) route(tokens *token.Codec, packet []byte) []netip.AddrPort {
	id := packet[1:]
	if packet[0]&0x80 != 0 {
		id = packet[6 : 6+packet[5]]
	}
	if len(id) >= token.Size {
		if t, err := tokens.Open(id[:token.Size], config.TagOf(testService)); err == nil {
			return []netip.AddrPort{t.Agent}
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.newFlow
}

// replies forwards agents' datagrams to callers and answers probes.
func (f *fabric) replies(b *balancer) {
	codec := encap.NewCodec(f.ring)
	buf := make([]byte, 2048)
	for {
		n, from, err := b.data.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		h, payload, err := codec.Decode(buf[:n])
		if err != nil || b.frozen.Load() || b.ignoresAgents.Load() {
			continue
		}
		switch h.Kind {
		case encap.KindProbe:
			h.Kind = encap.KindProbeReply
			if codec.Encode(buf, &h) == nil {
				_, _ = b.data.WriteToUDPAddrPort(buf[:encap.HeaderSize], from)
			}
		case encap.KindReply:
			b.replies.Add(1)
			_, _ = f.face.WriteToUDPAddrPort(payload, h.Caller)
		}
	}
}
