package steer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/admission"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/policy"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/platform"
)

// Tests of the refusal of flows for lack of room.

var usualTerms = inner.Terms{TargetLatency: 250 * time.Millisecond, Timeout: 2 * time.Second}

// newBusyBench returns a bench whose route has terms, with agents 101 and up that have no
// free slot and the given bar.
func newBusyBench(t *testing.T, off []string, agents int, bar admission.Standing) *bench {
	var list []steer.Agent
	for n := range agents {
		list = append(list, agentAt(101+n, "a"))
	}
	b := newBenchWithout(t, off, list...)
	b.core.SetTable(b.now, tableWith(0, usualTerms), time.Minute)
	b.allBusy(agents, bar)
	return b
}

// busy returns the status of an agent without a free slot.
func busy(bar admission.Standing) inner.Status {
	return inner.Status{Running: 8, Incarnation: 1, HasLoad: true, AcceptsTerms: true, Load: inner.Load{Bar: bar, Wait: 100 * time.Millisecond}}
}

func (b *bench) allBusy(agents int, bar admission.Standing) {
	for n := range agents {
		b.status(101+n, busy(bar))
	}
}

// returns lets the agent that was sent the opening packet last return copy number n of it.
func (b *bench) returns(to int, id platform.Flow, n uint32, reason inner.Reason) {
	b.fromAgent(to, inner.AppendReturned(nil, inner.Returned{Reason: reason, Running: 8}, packet(id, 1, n, platform.FlagSYN, 0)))
}

// opens sends copy number n of an opening packet.
func (b *bench) opens(id platform.Flow, n uint32) {
	r, err := b.core.FromCaller(b.now, packet(id, 1, n, platform.FlagSYN, 0))
	b.Expect(err).NotTo(HaveOccurred())
	b.last = r
}

// target returns the agent that was sent an opening packet by the last call, 0 for none.
func (b *bench) target() int {
	sent := b.sent(inner.KindOpen)
	if len(sent) == 0 {
		return 0
	}
	return int(sent[0].Addr().As4()[3])
}

const all = admission.Standing(0xffff)

func TestFlowReturnedByThreeAgentsIsRefusedAtOnce(t *testing.T) {
	b := newBusyBench(t, nil, 6, 0)
	b.opens(caller(1), 0)
	for range 2 {
		b.now += 40 * time.Millisecond
		b.returns(b.target(), caller(1), 0, inner.ReasonOverloaded)
		b.Expect(b.target()).NotTo(BeZero())
	}
	b.returns(b.target(), caller(1), 0, inner.ReasonOverloaded)
	b.Expect(b.resets()).To(Equal(1))
	b.Expect(b.notes(steer.KindReset)[0].Reason).To(Equal("all-returned-overloaded"))
}

// A service of one agent has no other to try.
func TestFlowReturnedByOnlyAgentIsRefusedAtOnce(t *testing.T) {
	b := newBusyBench(t, nil, 1, 0)
	b.opens(caller(1), 0)
	b.returns(b.target(), caller(1), 0, inner.ReasonOverloaded)
	b.Expect(b.resets()).To(Equal(1))
}

func TestFlowIsLeftAloneIfAnUpstreamMayHaveAcceptedIt(t *testing.T) {
	const overloaded = inner.ReasonOverloaded
	returnAll := func(b *bench, copyNumber uint32) {
		for b.target() != 0 {
			b.returns(b.target(), caller(1), copyNumber, overloaded)
		}
	}
	cases := map[string]func(b *bench){
		"the next copy may have been sent": func(b *bench) {
			b.opens(caller(1), 0)
			b.now += 160 * time.Millisecond
			returnAll(b, 0)
		},
		"another balancer had the first copy": func(b *bench) {
			b.opens(caller(1), 1)
			returnAll(b, 1)
		},
		"an agent was sent two copies": func(b *bench) {
			b.opens(caller(1), 0)
			first := b.target()
			b.now += 60 * time.Millisecond
			b.opens(caller(1), 0)
			b.Expect(b.target()).To(Equal(first))
			returnAll(b, 0)
		},
		"an agent was sent a packet again that it had returned": func(b *bench) {
			b.status(101, inner.Status{Running: 3, HasLoad: true})
			b.opens(caller(1), 0)
			b.Expect(b.target()).To(Equal(101))
			b.returns(101, caller(1), 0, inner.ReasonBusy)
			for range 3 {
				b.returns(b.target(), caller(1), 0, overloaded)
			}
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			agents := 6
			if name == "an agent was sent a packet again that it had returned" {
				agents = 3
			}
			b := newBusyBench(t, nil, agents, 0)
			run(b)
			b.Expect(b.resets()).To(BeZero())
			b.Expect(b.notes(steer.KindDropped)).To(HaveLen(1))
			b.Expect(b.notes(steer.KindDropped)[0].Reason).To(Equal("all-returned-overloaded-copy"))
		})
	}
}

// The agent returns the first copy while the second is on its way to it; it then decides on
// the second.
func TestReturnedCopyIsIgnoredOnceAgentHasBeenSentLaterOne(t *testing.T) {
	b := newBusyBench(t, nil, 6, 0)
	b.opens(caller(1), 0)
	first := b.target()
	b.now += 200 * time.Millisecond
	b.status(first, busy(0))
	b.opens(caller(1), 1)
	b.Expect(b.target()).To(Equal(first))
	b.returns(first, caller(1), 0, inner.ReasonOverloaded)
	b.Expect(b.last.Actions).To(BeEmpty())
	b.returns(first, caller(1), 1, inner.ReasonOverloaded)
	b.Expect(b.target()).NotTo(Or(BeZero(), Equal(first)))
}

// The agent holds the first copy and says nothing; its upstream may accept the flow yet.
func TestFlowOfSilentAgentIsNotRefused(t *testing.T) {
	b := newBusyBench(t, nil, 6, 0)
	b.now += time.Millisecond
	b.opens(caller(1), 0)
	first := b.target()
	b.now += 200 * time.Millisecond
	b.opens(caller(1), 1)
	b.Expect(b.target()).NotTo(Equal(first))
	for b.target() != 0 {
		b.returns(b.target(), caller(1), 1, inner.ReasonOverloaded)
	}
	b.Expect(b.resets()).To(BeZero())
}

// A packet that waited at a balancer without agents is as old as its arrival.
func TestBufferedOpeningIsNotRefusedLate(t *testing.T) {
	for _, waited := range []time.Duration{100 * time.Millisecond, 180 * time.Millisecond} {
		b := &bench{WithT: NewWithT(t), now: time.Second}
		b.core = steer.New(steer.Settings{DataCentre: "a", CallerPort: callerPort, Random: rand.New(rand.NewPCG(1, 2))})
		b.opens(caller(1), 0)
		b.now += waited
		b.core.SetTable(b.now, tableWith(0, usualTerms), time.Minute)
		b.last = b.core.SetAgents(b.now, []steer.Agent{agentAt(101, "a")}, listAge(1))
		b.Expect(b.target()).To(Equal(101))
		b.returns(101, caller(1), 0, inner.ReasonOverloaded)
		b.Expect(b.resets() == 1).To(Equal(waited < 150*time.Millisecond))
	}
}

// The agent held the only copy and drains now; another copy may have been accepted
// elsewhere meanwhile.
func TestHeldOpeningThatNoAgentTakesIsNotReset(t *testing.T) {
	for _, held := range []time.Duration{5 * time.Millisecond, 300 * time.Millisecond} {
		b := newBusyBench(t, nil, 1, 0)
		b.wait(300 * time.Millisecond) // until the list counts as complete
		b.opens(caller(1), 0)
		b.now += held
		b.status(101, inner.Status{State: inner.StateDraining})
		b.returns(101, caller(1), 0, inner.ReasonDraining)
		for range 2 { // the agent of last resort is the same
			if b.target() != 0 {
				b.returns(b.target(), caller(1), 0, inner.ReasonDraining)
			}
		}
		b.Expect(b.resets() == 1).To(Equal(held < 100*time.Millisecond))
	}
}

func TestOpeningBelowBarIsRefusedWithoutBeingTried(t *testing.T) {
	b := newBusyBench(t, nil, 8, all)
	b.opens(caller(1), 0)
	b.Expect(b.resets()).To(Equal(1))
	b.Expect(b.sent(inner.KindOpen)).To(BeEmpty())
	b.opens(caller(2), 1) // its first copy may be at another balancer's agent
	b.Expect(b.last.Actions).To(BeEmpty())
	b.Expect(b.notes(steer.KindDropped)[0].Reason).To(Equal("service-overloaded-copy"))

	without := newBusyBench(t, []string{string(policy.ServiceLevel)}, 8, all)
	without.opens(caller(1), 0)
	without.Expect(without.resets()).To(BeZero())
	without.Expect(without.sent(inner.KindOpen)).To(HaveLen(1))
}
