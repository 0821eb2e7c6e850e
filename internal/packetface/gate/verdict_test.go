package gate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/gate"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/policy"
	"github.com/saltbend/saltbend/platform"
)

const withoutOutcomes = string(policy.Outcomes)

// callerAt returns a flow of another caller.
func callerAt(n int) platform.Flow {
	id := flow(n)
	id.Caller[3] = byte(n)
	return id
}

func (b *bench) state() inner.State { return b.gate.Status(b.now).State }

// resetOf opens a flow, whose request the upstream resets.
func (b *bench) resetOf(id platform.Flow) {
	b.open(id)
	b.send(id, 2, platform.FlagACK, 30)
	b.upstreamSends(fromUpstream(id, 101, 32, platform.FlagRST|platform.FlagACK, 0))
}

// returnedBy lets the upstream return an opening packet.
func (b *bench) returnedBy(id platform.Flow) {
	b.opening(id, inner.Open{})
	b.upstreamSends(fromCaller(id, 1, 0, platform.FlagSYN|platform.FlagBounced, 0))
}

// An upstream that resets what it accepts is done with each request in a millisecond
// and looks idle. Its agent lets no more flows in, and says so.
func TestAFailingUpstreamGetsNoFlows(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	b.opening(flow(9), inner.Open{}) // a balancer that is told of changes
	b.resetOf(callerAt(1))
	b.Expect(b.state()).To(Equal(inner.StateReady))
	b.resetOf(callerAt(2))
	b.Expect(b.state()).To(Equal(inner.StateFailing))
	b.Expect(b.last.Notes).To(ContainElement(HaveField("Kind", gate.KindVerdict)))
	b.Expect(b.last.Notes).To(ContainElement(HaveField("Reason", "shut-reset")))
	told := false
	for _, a := range b.last.Actions {
		s, err := inner.ParseStatus(a.Bytes)
		told = told || (err == nil && s.State == inner.StateFailing)
	}
	b.Expect(told).To(BeTrue())
	b.opening(callerAt(3), inner.Open{})
	b.Expect(b.returned()).To(Equal(inner.ReasonFailing))
	b.opening(callerAt(4), inner.Open{Flags: inner.FlagMust}) // nobody else is left
	b.Expect(b.toUpstream()).To(Equal(1))
}

func TestNoVerdictWithoutThePolicy(t *testing.T) {
	b := newBenchWithout(t, []string{withoutOutcomes})
	b.begin("i-1")
	for n := range 5 {
		b.resetOf(callerAt(n))
	}
	b.Expect(b.state()).To(Equal(inner.StateReady))
}

// After a while one flow at a time shows whether the upstream works again.
func TestAFailedUpstreamIsTriedWithOneFlowAtATime(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	b.resetOf(callerAt(1))
	b.resetOf(callerAt(2))
	b.now += 400 * time.Millisecond
	b.last = b.gate.Tick(b.now)
	b.Expect(b.state()).To(Equal(inner.StateProbation))
	for n := range 4 {
		b.opening(callerAt(10+n), inner.Open{})
		b.Expect(b.toUpstream()).To(Equal(1))
		b.opening(callerAt(20+n), inner.Open{})
		b.Expect(b.returned()).To(Equal(inner.ReasonFailing))
		b.upstreamSends(fromUpstream(callerAt(10+n), 100, 2, platform.FlagSYN|platform.FlagACK, 0))
		b.send(callerAt(10+n), 2, platform.FlagACK, 30)
		b.now += 30 * time.Millisecond
		b.answer(callerAt(10 + n))
	}
	b.Expect(b.state()).To(Equal(inner.StateReady))
}

// An agent that starts beside an upstream that no longer runs: opening packets come
// back at once. The first is enough, and the state before it is not "ready".
func TestAnAgentBesideNoUpstreamIsABlackHoleForOneFlow(t *testing.T) {
	b := newBench(t)
	b.Expect(b.state()).To(Equal(inner.StateUnproven))
	b.returnedBy(callerAt(1))
	b.Expect(b.returned()).To(Equal(inner.ReasonBounced))
	b.Expect(b.state()).To(Equal(inner.StateFailing))
	b.begin("i-1") // it has started after all
	b.Expect(b.state()).To(Equal(inner.StateReady))
}

// An agent that restarts beside a living upstream is ready with its first packet.
func TestAnyPacketOfTheUpstreamProvesIt(t *testing.T) {
	b := newBench(t)
	b.opening(flow(1), inner.Open{})
	b.upstreamSends(fromUpstream(flow(1), 100, 2, platform.FlagSYN|platform.FlagACK, 0))
	b.Expect(b.state()).To(Equal(inner.StateReady))
}

// A dark upstream swallows opening packets. A living one answers each within a
// millisecond, so some tens of them tell; what it swallowed goes back and is answered
// by others before the callers send copies.
func TestSwallowedOpeningsGoBack(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	for n := range 3 {
		b.opening(callerAt(n), inner.Open{})
		b.Expect(b.toUpstream()).To(Equal(1))
		b.now += 10 * time.Millisecond
	}
	b.last = b.gate.Tick(b.now)
	b.Expect(b.count(gate.ToBalancer)).To(BeZero())
	b.now += 60 * time.Millisecond
	b.last = b.gate.Tick(b.now)
	b.Expect(b.state()).To(Equal(inner.StateFailing))
	b.Expect(b.returned()).To(Equal(inner.ReasonFailing))
	returned := 0
	for _, a := range b.last.Actions {
		if inner.KindOf(a.Bytes) == inner.KindReturned {
			returned++
		}
	}
	b.Expect(returned).To(Equal(3))
}

// An upstream that wakes answers what it had swallowed, while the callers have gone on
// with others: it does not hold their flows.
func TestALateAnswerToASwallowedOpeningHoldsNoFlow(t *testing.T) {
	for _, started := range []bool{false, true} { // the agent may have started meanwhile
		b := newBench(t)
		b.begin("i-1")
		if !started {
			for n := range 3 {
				b.opening(callerAt(n), inner.Open{})
			}
			b.now += 100 * time.Millisecond
			b.last = b.gate.Tick(b.now)
			b.Expect(b.returned()).To(Equal(inner.ReasonFailing))
		}
		b.upstreamSends(fromUpstream(callerAt(0), 100, 2, platform.FlagSYN|platform.FlagACK, 0))
		b.balancerSends(inner.AppendAsk(nil, inner.AskHead{}, []inner.Question{{Flow: callerAt(0), Acknowledged: 1 << 30}}))
		answers, _, err := inner.ParseAnswers(nil, b.last.Actions[0].Bytes)
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(answers[0].Verdict).NotTo(Equal(inner.VerdictHeld))
	}
}

// Answers that came while the process was paused have not been read yet.
func TestAPausedAgentHoldsNoUpstreamForDark(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	b.last = b.gate.Tick(b.now)
	for n := range 3 {
		b.opening(callerAt(n), inner.Open{})
	}
	b.now += 3 * second
	b.last = b.gate.Tick(b.now)
	b.Expect(b.state()).To(Equal(inner.StateReady))
}

// An agent that restarts beside a living upstream hears of it by the flows that are
// open there.
func TestAPacketOfAnOldFlowProvesTheUpstream(t *testing.T) {
	b := newBench(t)
	b.upstreamSends(fromUpstream(flow(1), 500, 60, platform.FlagACK, 20))
	b.Expect(b.state()).To(Equal(inner.StateReady))
}

// An upstream does not answer an opening packet with a wrong sum.
func TestOneCallersUnansweredOpeningsShutNobodyOut(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	for n := range 9 {
		b.opening(flow(n), inner.Open{}) // one address, many ports
		b.now += 20 * time.Millisecond
	}
	b.last = b.gate.Tick(b.now)
	b.Expect(b.state()).To(Equal(inner.StateReady))
}

// One caller, whatever it sends, does not make an upstream look bad.
func TestOneCallerShutsNobodyOut(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	for n := range 20 {
		b.resetOf(flow(n)) // one address, many ports
	}
	b.Expect(b.state()).To(Equal(inner.StateReady))
}
