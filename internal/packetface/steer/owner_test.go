package steer_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

// Tests of searches for the owner of a flow, and of resets if there is none.

func TestOwnerOfUnknownFlowIsSearched(t *testing.T) {
	b := newBench(t, agentAt(101, "a"), agentAt(102, "b"))
	b.callerSends(caller(1), platform.FlagACK, 30)
	b.Expect(b.sent(inner.KindAsk)).To(Equal([]netip.AddrPort{address(101, 1)})) // the agent in the same data centre first
	b.now += 5 * time.Millisecond
	b.answer(101, caller(1), inner.VerdictNone, 1)
	b.Expect(b.sent(inner.KindAsk)).To(Equal([]netip.AddrPort{address(102, 1)}))
	b.answer(102, caller(1), inner.VerdictHeld, 1)
	b.Expect(b.sent(inner.KindForward)).To(Equal([]netip.AddrPort{address(102, 1)}))
	b.callerSends(caller(1), platform.FlagACK, 30)
	b.Expect(b.sent(inner.KindForward)).To(Equal([]netip.AddrPort{address(102, 1)}))
	b.Expect(b.sent(inner.KindAsk)).To(BeEmpty())
}

func TestSlowAgentDoesNotDelaySearch(t *testing.T) {
	b := newBench(t, agentAt(101, "a"), agentAt(102, "b"))
	b.callerSends(caller(1), platform.FlagACK, 30)
	b.now += 10 * time.Millisecond
	b.last = b.core.Tick(b.now)
	b.Expect(b.sent(inner.KindAsk)).To(Equal([]netip.AddrPort{address(102, 1)}))
}

func TestQuestionsToOneAgentAreBatched(t *testing.T) {
	b := newBench(t, agentAt(101, "a"))
	b.callerSends(caller(1), platform.FlagACK, 30)
	b.Expect(b.sent(inner.KindAsk)).To(HaveLen(1))
	b.callerSends(caller(2), platform.FlagACK, 30)
	b.callerSends(caller(3), platform.FlagACK, 30)
	b.Expect(b.sent(inner.KindAsk)).To(BeEmpty())
	b.now += 5 * time.Millisecond
	b.last = b.core.Tick(b.now)
	b.Expect(b.sent(inner.KindAsk)).To(HaveLen(1))
	questions, _, err := inner.ParseAsk(nil, b.last.Actions[0].Bytes)
	b.Expect(err).NotTo(HaveOccurred())
	b.Expect(questions).To(HaveLen(2))
}

func TestFlowIsResetOnlyIfProvenUnheld(t *testing.T) {
	cases := []struct {
		name    string
		verdict inner.Verdict
		listing store.Position
		age     time.Duration
		want    int
	}{
		{"the agent answers that it does not hold the flow", inner.VerdictNone, 1, time.Second, 1},
		{"the balancer started just now", inner.VerdictNone, 1, 0, 0},
		{"the agent knows of a newer list", inner.VerdictNone, 2, time.Second, 0},
		{"the agent started just now", inner.VerdictUnsure, 1, time.Second, 0},
		{"the agent cannot tell", inner.VerdictUnknown, 1, time.Second, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, agentAt(101, "a"))
			b.status(101, inner.Status{})
			b.now += c.age
			b.callerSends(caller(1), platform.FlagACK, 30)
			b.answer(101, caller(1), c.verdict, c.listing)
			b.Expect(b.resets()).To(Equal(c.want))
			if c.want == 1 { // its sequence number is the caller's last acknowledgement number
				p, err := platform.ParsePacket(b.last.Actions[0].Bytes)
				b.Expect(err).NotTo(HaveOccurred())
				b.Expect(p.Sequence).To(BeEquivalentTo(77))
				b.callerSends(caller(1), platform.FlagACK, 30)
				b.Expect(b.resets()).To(Equal(1)) // without another search
			}
		})
	}
}

func TestAgentThatCannotTellIsProbed(t *testing.T) {
	b := newBench(t, agentAt(101, "a"))
	b.status(101, inner.Status{})
	b.now += time.Second
	b.callerSends(caller(1), platform.FlagACK, 30)
	b.answer(101, caller(1), inner.VerdictUnknown, 1)
	b.Expect(b.sent(inner.KindForward)).To(HaveLen(1))
	b.fromAgent(101, inner.AppendReturned(nil, inner.Returned{Reason: inner.ReasonUnknown}, packet(caller(1), 1, 77, platform.FlagACK, 30)))
	b.Expect(b.resets()).To(Equal(1))
}

func TestSearchSkipsAbsentAgent(t *testing.T) {
	b := newBench(t, agentAt(101, "a"), agentAt(102, "a"), agentAt(103, "a"), agentAt(104, "b"))
	for n := 101; n <= 104; n++ {
		b.status(n, inner.Status{})
	}
	b.now += time.Second
	b.callerSends(caller(1), platform.FlagACK, 30)
	for n := 101; n <= 103; n++ {
		b.answer(n, caller(1), inner.VerdictNone, 1)
	}
	b.wait(20 * time.Millisecond)
	resets := 0
	for range 300 { // agent 104 does not answer
		b.last = b.core.Tick(b.now)
		resets += b.resets()
		b.now += 5 * time.Millisecond
	}
	b.Expect(resets).To(Equal(1))
}

func TestFlowOfAbsentAgentIsSearchedAndReset(t *testing.T) {
	b := newBench(t, agentAt(101, "a"), agentAt(102, "b"), agentAt(103, "b"))
	for n := 101; n <= 103; n++ {
		b.status(n, inner.Status{})
	}
	b.callerSends(caller(1), platform.FlagSYN, 0)
	b.status(101, inner.Status{})
	b.callerSends(caller(1), platform.FlagACK, 30)
	b.now += 300 * time.Millisecond
	b.callerSends(caller(1), platform.FlagACK, 30)
	b.Expect(b.sent(inner.KindForward)).To(Equal([]netip.AddrPort{address(101, 1)}))
	b.wait(1200 * time.Millisecond) // agent 101 does not answer
	b.callerSends(caller(1), platform.FlagACK, 30)
	b.Expect(b.sent(inner.KindForward)).To(BeEmpty())
	b.wait(20 * time.Millisecond)
	b.answer(102, caller(1), inner.VerdictNone, 1)
	b.answer(103, caller(1), inner.VerdictNone, 1)
	b.Expect(b.resets()).To(Equal(1))
}

// An agent that cannot tell and started just now returns a probe as unsure. It is probed
// again without a further packet of the caller.
func TestProbeReturnedUnsureIsRepeatedOnTick(t *testing.T) {
	b := newBench(t, agentAt(101, "a"))
	b.status(101, inner.Status{})
	b.now += time.Second
	b.callerSends(caller(1), platform.FlagACK, 30)
	b.answer(101, caller(1), inner.VerdictUnknown, 1)
	b.fromAgent(101, inner.AppendReturned(nil, inner.Returned{Reason: inner.ReasonUnsure}, packet(caller(1), 1, 77, platform.FlagACK, 30)))
	probes := 0
	for range 60 {
		b.now += 5 * time.Millisecond
		b.last = b.core.Tick(b.now)
		probes += len(b.sent(inner.KindForward))
	}
	b.Expect(probes).To(Equal(1))
	b.fromAgent(101, inner.AppendReturned(nil, inner.Returned{Reason: inner.ReasonUnknown}, packet(caller(1), 1, 77, platform.FlagACK, 30)))
	b.Expect(b.resets()).To(Equal(1))
}
