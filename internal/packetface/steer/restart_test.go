package steer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/platform"
)

// Tests of searches while an agent's process is being restarted, which its upstream and the
// flows that the upstream holds survive.

// searchAllBut104 starts a search at a balancer with four agents, and answers for all of them
// but agent 104 that their upstreams do not hold the flow.
func (b *bench) searchAllBut104() {
	b.callerSends(caller(1), platform.FlagACK, 30)
	b.wait(20 * time.Millisecond)
	for n := 101; n <= 103; n++ {
		b.answer(n, caller(1), inner.VerdictNone, 1)
	}
}

// resetsDuring returns the notes of resets within a time in which the caller goes on
// sending and agents 101 to 103 answer.
func (b *bench) resetsDuring(d time.Duration) (resets []steer.Note) {
	for end := b.now + d; b.now < end; b.now += 5 * time.Millisecond {
		if b.now%(500*time.Millisecond) == 0 {
			b.callerSends(caller(1), platform.FlagACK, 30)
			for n := 101; n <= 103; n++ {
				b.status(n, upToDate)
			}
		}
		b.last = b.core.Tick(b.now)
		resets = append(resets, b.notes(steer.KindReset)...)
	}
	return resets
}

// upToDate is the status of an agent that knows of the newest list, so that no poll is due.
var upToDate = inner.Status{Versions: inner.Versions{Listing: 1}}

func fourAgents() []steer.Agent {
	return []steer.Agent{agentAt(101, "a"), agentAt(102, "a"), agentAt(103, "a"), agentAt(104, "a")}
}

// Guards against resets of flows that a running upstream holds: a balancer starts just after
// an agent's process has ended for a planned restart. It has not received the announcement
// of the restart and must not take the silence for absence.
func TestAgentThatWasNeverHeardIsNotAbsentDuringARestart(t *testing.T) {
	b := newBench(t, fourAgents()...)
	for n := 101; n <= 103; n++ {
		b.status(n, upToDate)
	}
	b.now += time.Second
	b.searchAllBut104()
	b.Expect(b.resetsDuring(4 * time.Second)).To(BeEmpty())
	b.answer(104, caller(1), inner.VerdictHeld, 1)
	b.Expect(b.notes(steer.KindFound)).To(HaveLen(1))
}

// The wait for an agent that was never heard ends, and the log names that agent.
func TestFlowOfAnAgentThatNeverRestartsIsReset(t *testing.T) {
	b := newBench(t, fourAgents()...)
	for n := 101; n <= 103; n++ {
		b.status(n, upToDate)
	}
	b.now += time.Second
	b.searchAllBut104()
	reset := b.resetsDuring(10 * time.Second)
	b.Expect(reset).To(HaveLen(1))
	b.Expect(reset[0].Absent).To(Equal(1))
	b.Expect(reset[0].Agent).To(Equal(address(104, 1)))
	b.Expect(reset[0].Took).To(BeNumerically(">", steer.DefaultAbsentAfter))
}

// An agent announces a restart only to balancers that it has received something from lately.
func TestAgentThatHasForgottenTheBalancerIsNotAbsentDuringARestart(t *testing.T) {
	for _, c := range []struct {
		name  string
		quiet time.Duration
		want  int
	}{
		{"the balancer would have been informed", inner.BalancerTTL / 2, 1},
		{"the balancer has been forgotten", inner.BalancerTTL + time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, fourAgents()...)
			b.last = b.core.Tick(b.now)
			for n := 101; n <= 104; n++ {
				b.status(n, upToDate)
			}
			for end := b.now + c.quiet; b.now < end; b.now += 50 * time.Millisecond {
				b.last = b.core.Tick(b.now)
			}
			b.searchAllBut104()
			b.Expect(b.resetsDuring(3 * time.Second)).To(HaveLen(c.want))
			if c.want == 0 {
				b.answer(104, caller(1), inner.VerdictHeld, 1)
				b.Expect(b.notes(steer.KindFound)).To(HaveLen(1))
			}
		})
	}
}

// The state of a draining or silent upstream hides that its agent's process is stopping.
func TestStoppingAgentIsNotAbsentWhateverItsUpstreamsState(t *testing.T) {
	for _, state := range []inner.State{inner.StateStopping, inner.StateDraining, inner.StateSilent} {
		t.Run(state.String(), func(t *testing.T) {
			b := newBench(t, fourAgents()...)
			for n := 101; n <= 103; n++ {
				b.status(n, upToDate)
			}
			b.status(104, inner.Status{State: state, Stopping: true, Versions: upToDate.Versions})
			b.now += time.Second
			b.searchAllBut104()
			b.Expect(b.resetsDuring(4 * time.Second)).To(BeEmpty())
			b.answer(104, caller(1), inner.VerdictHeld, 1)
			b.Expect(b.notes(steer.KindFound)).To(HaveLen(1))
		})
	}
}

// An agent that another balancer knows and the store does not list is not removed while its
// process may be restarting.
func TestUnlistedAgentIsNotRemovedDuringARestart(t *testing.T) {
	b := newBench(t, fourAgents()[:3]...)
	for n := 101; n <= 103; n++ {
		b.status(n, upToDate)
	}
	b.last = b.core.AddPeerAgents(b.now, []steer.Agent{agentAt(104, "a")})
	b.now += time.Second
	b.searchAllBut104()
	b.Expect(b.resetsDuring(4 * time.Second)).To(BeEmpty())
	b.answer(104, caller(1), inner.VerdictHeld, 1)
	b.Expect(b.notes(steer.KindFound)).To(HaveLen(1))
}

// Agents and balancers are restarted as planned, in any order and overlapping, with any time
// between the end of an agent's process and the start of the next one. No flow that an
// upstream holds is reset.
func TestNoHeldFlowIsResetByPlannedRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimFleetOf(t, rapid.IntRange(3, 6).Draw(t, "agents"), rapid.IntRange(2, 3).Draw(t, "balancers"), 0, steer.DefaultAbsentAfter)
		w.run(300 * time.Millisecond)
		w.openFlows(12)
		for range rapid.IntRange(2, 6).Draw(t, "restarts") {
			switch s := w.agents[w.random.IntN(len(w.agents))]; {
			case rapid.Bool().Draw(t, "balancer"):
				w.startBalancer(w.anyBalancer())
			case !s.isDown(w.now):
				w.stopAgent(s, time.Duration(rapid.IntRange(0, 3000).Draw(t, "away"))*time.Millisecond)
			}
			for range rapid.IntRange(1, 15).Draw(t, "packets") {
				w.run(100 * time.Millisecond)
				w.useFlows()
			}
		}
	})
}
