package datapath

import (
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"github.com/saltbend/saltbend/internal/encap"
	"github.com/saltbend/saltbend/internal/reset"
	"github.com/saltbend/saltbend/internal/token"
)

// goneAddresses returns a map with one gone address that left the given number of
// probes unanswered.
func goneAddresses(addr netip.AddrPort, unanswered int, incarnations ...uint16) map[netip.AddrPort]*GoneAddress {
	g := &GoneAddress{Service: results, Incarnations: incarnations}
	for range unanswered {
		g.recordProbe()
	}
	return map[netip.AddrPort]*GoneAddress{addr: g}
}

// incarnationPacket returns a short-header packet of n bytes with a token of
// agent1's incarnation.
func incarnationPacket(k *Keys, incarnation uint16, n int) []byte {
	b := make([]byte, n)
	b[0] = fixedBit
	k.Tokens.Seal(b[1:], token.Token{Agent: agent1, Service: results, Incarnation: incarnation})
	return b
}

func TestFlowIsResetOnlyIfItsAgentIsGoneAndUnresponsive(t *testing.T) {
	k := testKeys(t, testSecrets)
	elsewhere := netip.MustParseAddrPort("127.0.0.1:7002")
	handshake := longPacket(0x20, version1, incarnationPacket(k, 5, 60)[1:1+token.Size], 1252)
	responsive := goneAddresses(agent1, unresponsiveAfter, 5)
	responsive[agent1].recordResponse()
	c := newForwardCounters()
	unlimited := rate.NewLimiter(rate.Inf, 1)
	for name, tc := range map[string]struct {
		gone   map[netip.AddrPort]*GoneAddress
		packet []byte
		limit  *rate.Limiter
		reset  bool
	}{
		"gone and unresponsive":                  {goneAddresses(agent1, unresponsiveAfter, 5), incarnationPacket(k, 5, 60), unlimited, true},
		"several incarnations gone":              {goneAddresses(agent1, unresponsiveAfter, 9, 5), incarnationPacket(k, 5, 60), unlimited, true},
		"shortest datagram that may be answered": {goneAddresses(agent1, unresponsiveAfter, 5), incarnationPacket(k, 5, reset.MinTrigger), unlimited, true},
		"no agent is gone":                       {nil, incarnationPacket(k, 5, 60), unlimited, false},
		"another agent is gone":                  {goneAddresses(elsewhere, unresponsiveAfter, 5), incarnationPacket(k, 5, 60), unlimited, false},
		"another incarnation is gone":            {goneAddresses(agent1, unresponsiveAfter, 9), incarnationPacket(k, 5, 60), unlimited, false},
		"too few unanswered probes":              {goneAddresses(agent1, unresponsiveAfter-1, 5), incarnationPacket(k, 5, 60), unlimited, false},
		"responded after the probes":             {responsive, incarnationPacket(k, 5, 60), unlimited, false},
		"datagram shorter than a QUIC packet":    {goneAddresses(agent1, unresponsiveAfter, 5), incarnationPacket(k, 5, reset.MinTrigger-1), unlimited, false},
		"long header":                            {goneAddresses(agent1, unresponsiveAfter, 5), handshake, unlimited, false},
		"rate limit exceeded":                    {goneAddresses(agent1, unresponsiveAfter, 5), incarnationPacket(k, 5, 60), rate.NewLimiter(0, 0), false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newForwarder(agent1, publicFace, tc.limit)
			face := &Face{Service: results, Agents: agentsAt(agent1)}
			f.use(&Snapshot{Keys: k, Faces: map[netip.AddrPort]*Face{publicFace: face}, GoneAddresses: tc.gone})
			buffer := make([]byte, bufferSize)
			end := encap.HeaderSize + copy(buffer[encap.HeaderSize:], tc.packet)
			agent, counter := f.decide(buffer, end, agent1, c)
			if tc.reset {
				g.Expect(agent.IsValid()).To(BeFalse())
				g.Expect(counter).To(BeIdenticalTo(c.resets))
				g.Expect(f.resetAgent).To(Equal(agent1))
				return
			}
			g.Expect(agent).To(Equal(agent1))
			g.Expect(counter).To(BeIdenticalTo(c.flows))
		})
	}
}

func TestOnlyAuthenticatedDatagramsFromTheAddressCountAsResponses(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t)
	at := localAddr(r.agent)
	gone := goneAddresses(at, unresponsiveAfter, 5)
	s := r.snapshot()
	s.GoneAddresses = gone
	r.path.Publish(s)
	message := func(k *Keys, kind encap.Kind) []byte {
		b := make([]byte, encap.HeaderSize+50)
		h := encap.Header{Kind: kind, Caller: localAddr(r.caller), Face: publicFace, Service: results, Balancer: r.data}
		g.Expect(k.Headers.Clone().Encode(b, &h)).To(Succeed())
		return b
	}
	c := r.path.reply.counters
	r.expectDrop(c, Forged, r.agent, r.data, message(testKeys(t, otherSecrets), encap.KindProbeReply))
	g.Expect(gone[at].unanswered.Load()).NotTo(BeZero(), "a forged datagram counted as a response")
	r.expectDrop(c, WrongKind, r.caller, r.data, message(r.keys, encap.KindProbeReply))
	g.Expect(gone[at].unanswered.Load()).NotTo(BeZero(), "a datagram from another address counted as a response")
	for _, kind := range []encap.Kind{encap.KindReply, encap.KindProbe, encap.KindProbeReply} {
		before := r.path.reply.goneResponses.Get()
		send(t, r.agent, r.data, message(r.keys, kind))
		g.Eventually(r.path.reply.goneResponses.Get, waitTimeout).Should(Equal(before + 1))
	}
}
