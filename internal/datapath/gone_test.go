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

// goneAt returns a map of one agent that is gone and left so many probes
// unanswered.
func goneAt(addr netip.AddrPort, unanswered int, incarnations ...uint16) map[netip.AddrPort]*Gone {
	g := &Gone{Service: results, Incarnations: incarnations}
	for range unanswered {
		g.asked()
	}
	return map[netip.AddrPort]*Gone{addr: g}
}

// of returns a short-header packet of n bytes of an incarnation's flow.
func of(k *Keys, incarnation uint16, n int) []byte {
	b := make([]byte, n)
	b[0] = fixedBit
	k.Tokens.Seal(b[1:], token.Token{Agent: agent1, Service: results, Incarnation: incarnation})
	return b
}

func TestOnlyFlowsOfSilentAgentsThatAreGoneAreReset(t *testing.T) {
	k := testKeys(t, testSecrets)
	elsewhere := netip.MustParseAddrPort("127.0.0.1:7002")
	handshake := long(0x20, version1, of(k, 5, 60)[1:1+token.Size], 1252)
	heard := goneAt(agent1, silentAfter, 5)
	heard[agent1].heard()
	c := newForwardCounters()
	open := rate.NewLimiter(rate.Inf, 1)
	for name, tc := range map[string]struct {
		gone   map[netip.AddrPort]*Gone
		packet []byte
		limit  *rate.Limiter
		reset  bool
	}{
		"gone and silent":             {goneAt(agent1, silentAfter, 5), of(k, 5, 60), open, true},
		"gone with others":            {goneAt(agent1, silentAfter, 9, 5), of(k, 5, 60), open, true},
		"shortest cause":              {goneAt(agent1, silentAfter, 5), of(k, 5, reset.MinTrigger), open, true},
		"nothing is gone":             {nil, of(k, 5, 60), open, false},
		"another agent is gone":       {goneAt(elsewhere, silentAfter, 5), of(k, 5, 60), open, false},
		"another incarnation is gone": {goneAt(agent1, silentAfter, 9), of(k, 5, 60), open, false},
		"not yet known to be silent":  {goneAt(agent1, silentAfter-1, 5), of(k, 5, 60), open, false},
		"heard again":                 {heard, of(k, 5, 60), open, false},
		"too short for a packet":      {goneAt(agent1, silentAfter, 5), of(k, 5, reset.MinTrigger-1), open, false},
		"long header":                 {goneAt(agent1, silentAfter, 5), handshake, open, false},
		"too many a second":           {goneAt(agent1, silentAfter, 5), of(k, 5, 60), rate.NewLimiter(0, 0), false},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newForwarder(agent1, publicFace, tc.limit)
			face := &Face{Service: results, Agents: agentsAt(agent1)}
			f.use(&Snapshot{Keys: k, Faces: map[netip.AddrPort]*Face{publicFace: face}, Gone: tc.gone})
			buffer := make([]byte, bufferSize)
			end := encap.HeaderSize + copy(buffer[encap.HeaderSize:], tc.packet)
			agent, counter := f.decide(buffer, end, agent1, c)
			if tc.reset {
				g.Expect(agent.IsValid()).To(BeFalse())
				g.Expect(counter).To(BeIdenticalTo(c.resets))
				g.Expect(f.agent).To(Equal(agent1))
				return
			}
			g.Expect(agent).To(Equal(agent1))
			g.Expect(counter).To(BeIdenticalTo(c.flows))
		})
	}
}

func TestWhatIsASignOfLife(t *testing.T) {
	g := NewWithT(t)
	r := newRig(t)
	at := localAddr(r.agent)
	gone := goneAt(at, silentAfter, 5)
	s := r.snapshot()
	s.Gone = gone
	r.path.Publish(s)
	message := func(k *Keys, kind encap.Kind) []byte {
		b := make([]byte, encap.HeaderSize+50)
		h := encap.Header{Kind: kind, Caller: localAddr(r.caller), Face: publicFace, Service: results, Balancer: r.data}
		g.Expect(k.Headers.Clone().Encode(b, &h)).To(Succeed())
		return b
	}
	c := r.path.reply.counters
	r.expectDrop(c, Forged, r.agent, r.data, message(testKeys(t, otherSecrets), encap.KindProbeReply))
	g.Expect(gone[at].unanswered.Load()).NotTo(BeZero(), "anybody may send a forged one")
	r.expectDrop(c, WrongKind, r.caller, r.data, message(r.keys, encap.KindProbeReply))
	g.Expect(gone[at].unanswered.Load()).NotTo(BeZero(), "it came from elsewhere")
	for _, kind := range []encap.Kind{encap.KindReply, encap.KindProbe, encap.KindProbeReply} {
		before := r.path.reply.heard.Get()
		send(t, r.agent, r.data, message(r.keys, kind))
		g.Eventually(r.path.reply.heard.Get, patience).Should(Equal(before + 1))
	}
}
