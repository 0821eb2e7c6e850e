package steer_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/policy"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/platform"
)

// Tests of where new flows go.

func TestNewFlowsGoToAgentWithLowestScore(t *testing.T) {
	cases := []struct {
		name string
		one  inner.Status
		two  inner.Status
		far  inner.Status
		want int
	}{
		{"nearby though a little busier", inner.Status{Running: 1}, inner.Status{Running: 4}, inner.Status{}, 101},
		{"less busy", inner.Status{Running: 3}, inner.Status{Running: 1}, inner.Status{Running: 3}, 102},
		{"far, as all nearby are full", inner.Status{Running: 4}, inner.Status{Running: 4}, inner.Status{}, 103},
		{"warm", inner.Status{Cold: true}, inner.Status{Running: 1}, inner.Status{Running: 4}, 102},
		{"ready", inner.Status{State: inner.StateDraining}, inner.Status{Running: 3}, inner.Status{State: inner.StateStopping}, 102},
		{"not failing, though idle", inner.Status{State: inner.StateFailing}, inner.Status{Running: 3}, inner.Status{Running: 4}, 102},
		{"proven, though a little busier", inner.Status{State: inner.StateUnproven}, inner.Status{Running: 1}, inner.Status{Running: 4}, 102},
		{"on probation, as others are full", inner.Status{State: inner.StateProbation}, inner.Status{Running: 4}, inner.Status{Running: 4}, 101},
		{"ready, not silent", inner.Status{State: inner.StateSilent}, inner.Status{State: inner.StateDown}, inner.Status{Running: 4}, 103},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, agentAt(101, "a"), agentAt(102, "a"), agentAt(103, "b"))
			b.status(101, c.one)
			b.status(102, c.two)
			b.status(103, c.far)
			b.callerSends(caller(1), platform.FlagSYN, 0)
			b.Expect(b.sent(inner.KindOpen)).To(Equal([]netip.AddrPort{address(c.want, 1)}))
		})
	}
}

func TestReturnedOpeningIsSentToAnotherAgent(t *testing.T) {
	b := newBench(t, agentAt(101, "a"), agentAt(102, "b"))
	b.status(101, inner.Status{})
	b.status(102, inner.Status{})
	b.callerSends(caller(1), platform.FlagSYN, 0)
	b.Expect(b.sent(inner.KindOpen)).To(Equal([]netip.AddrPort{address(101, 1)}))
	opening := packet(caller(1), 1, 77, platform.FlagSYN, 0)
	b.fromAgent(101, inner.AppendReturned(nil, inner.Returned{Reason: inner.ReasonDraining}, opening))
	b.Expect(b.sent(inner.KindOpen)).To(Equal([]netip.AddrPort{address(102, 1)}))
	b.fromAgent(102, inner.AppendReturned(nil, inner.Returned{Reason: inner.ReasonBusy}, opening))
	b.Expect(b.sent(inner.KindOpen)).To(HaveLen(1)) // the last try
	head, _, err := inner.ParseOpen(b.last.Actions[0].Bytes)
	b.Expect(err).NotTo(HaveOccurred())
	b.Expect(head.Flags & inner.FlagMust).NotTo(BeZero())
	last := 101
	if b.sent(inner.KindOpen)[0] == address(102, 1) {
		last = 102
	}
	b.fromAgent(last, inner.AppendReturned(nil, inner.Returned{Reason: inner.ReasonBounced}, opening))
	b.Expect(b.resets()).To(Equal(1)) // at once, and true: it has not run
}

// In a rush every agent has more to do than slots. The load: three agents return a
// flow as busy, with 9, 5 and 12 requests there; a fourth has 20. The flow waits
// where the fewest do, and not at the fourth because it has not returned it yet.
func TestFlowReturnedAsBusyGoesToShortestQueue(t *testing.T) {
	cases := []struct {
		name string
		off  []string
		want netip.AddrPort
	}{
		{"with the policy", nil, address(102, 1)},
		{"without it", []string{string(policy.ShortestQueue)}, address(104, 1)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBenchWithout(t, c.off, agentAt(101, "a"), agentAt(102, "a"), agentAt(103, "a"), agentAt(104, "a"))
			for n, running := range map[int]uint16{101: 3, 102: 3, 103: 3, 104: 20} {
				b.status(n, inner.Status{Running: running})
			}
			loads := map[netip.AddrPort]uint16{address(101, 1): 9, address(102, 1): 5, address(103, 1): 12}
			opening := packet(caller(1), 1, 77, platform.FlagSYN, 0)
			b.callerSends(caller(1), platform.FlagSYN, 0)
			for range inner.MaxBusyHops {
				to := b.sent(inner.KindOpen)[0]
				b.Expect(loads).To(HaveKey(to))
				head := inner.Returned{Reason: inner.ReasonBusy, Running: loads[to]}
				b.fromAgent(int(to.Addr().As4()[3]), inner.AppendReturned(nil, head, opening))
			}
			b.Expect(b.sent(inner.KindOpen)).To(Equal([]netip.AddrPort{c.want}))
			head, _, err := inner.ParseOpen(b.last.Actions[0].Bytes)
			b.Expect(err).NotTo(HaveOccurred())
			b.Expect(head.Hops).To(BeEquivalentTo(inner.MaxBusyHops)) // it is not returned for that again
		})
	}
}

// Where more of a service fail than not, it is the service that does, or what is asked
// of it: then all are used, and told that they must take it.
func TestFailingUpstreamsAreUsedIfMostOfServiceFail(t *testing.T) {
	b := newBench(t, agentAt(101, "a"), agentAt(102, "a"), agentAt(103, "a"))
	b.status(101, inner.Status{State: inner.StateFailing})
	b.status(102, inner.Status{Running: 60})
	b.status(103, inner.Status{Running: 60})
	b.callerSends(caller(1), platform.FlagSYN, 0)
	b.Expect(b.sent(inner.KindOpen)[0]).NotTo(Equal(address(101, 1))) // one of three
	b.status(102, inner.Status{State: inner.StateFailing, Running: 60})
	b.status(103, inner.Status{Running: 60})
	b.callerSends(caller(2), platform.FlagSYN, 0)
	b.Expect(b.sent(inner.KindOpen)).To(Equal([]netip.AddrPort{address(101, 1)}))
	head, _, err := inner.ParseOpen(b.last.Actions[0].Bytes)
	b.Expect(err).NotTo(HaveOccurred())
	b.Expect(head.Flags & inner.FlagMust).NotTo(BeZero())
}

// After a common loss of power opening packets come before the balancer has read the
// store. They are kept, and placed with the first list.
func TestOpeningsBeforeFirstListAreBuffered(t *testing.T) {
	cases := []struct {
		name string
		off  []string
		want int
	}{
		{"with the policy", nil, 2},
		{"without it", []string{string(policy.EarlyOpenings)}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := &bench{WithT: NewWithT(t), now: time.Millisecond}
			policies, _ := policy.Without(c.off)
			b.core = steer.New(steer.Settings{Policies: policies, DataCentre: "a", CallerPort: callerPort, Random: rand.New(rand.NewPCG(1, 2))})
			for n := range 2 {
				b.callerSends(caller(n), platform.FlagSYN, 0)
				b.Expect(b.last.Actions).To(BeEmpty())
			}
			b.now += 30 * time.Millisecond
			b.core.SetTable(b.now, table(), time.Minute)
			b.last = b.core.SetAgents(b.now, []steer.Agent{agentAt(101, "a")}, listAge(1))
			b.Expect(b.sent(inner.KindOpen)).To(HaveLen(c.want))
			b.last = b.core.SetAgents(b.now, []steer.Agent{agentAt(101, "a")}, listAge(2))
			b.Expect(b.sent(inner.KindOpen)).To(BeEmpty()) // once
		})
	}
}

// What is older than the callers' next copy is not placed, and the number is bounded.
func TestBufferedOpeningsAreBoundedInAgeAndNumber(t *testing.T) {
	b := &bench{WithT: NewWithT(t), now: time.Millisecond}
	b.core = steer.New(steer.Settings{DataCentre: "a", CallerPort: callerPort, Random: rand.New(rand.NewPCG(1, 2))})
	b.callerSends(caller(1), platform.FlagSYN, 0)
	b.now += 250 * time.Millisecond
	for n := range 2000 {
		b.callerSends(caller(n), platform.FlagSYN, 0)
	}
	b.Expect(b.notes(steer.KindDropped)).To(HaveLen(1))
	b.core.SetTable(b.now, table(), time.Minute)
	b.last = b.core.SetAgents(b.now, []steer.Agent{agentAt(101, "a")}, listAge(1))
	b.Expect(b.sent(inner.KindOpen)).To(HaveLen(511))
}

// A balancer that has just started takes flows for repetitions: callers whose opening
// packets were lost begin anew for as long as their last copies may still come.
func TestOpeningsSoonAfterStartAreFlaggedAsRepetitions(t *testing.T) {
	cases := []struct {
		name   string
		at     time.Duration
		copies uint32
		off    []string
		want   inner.Flags
	}{
		{"right after the start", 50 * time.Millisecond, 0, nil, inner.FlagRepeated},
		{"a copy, begun while hosts were away for long", 300 * time.Millisecond, 2, nil, inner.FlagRepeated},
		{"a copy of a first try", 100 * time.Millisecond, 2, nil, 0},
		{"a second later", 1060 * time.Millisecond, 0, nil, 0},
		{"without the policy", 50 * time.Millisecond, 0, []string{string(policy.Repetition)}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBenchWithout(t, c.off, agentAt(101, "a"))
			r, err := b.core.FromCaller(c.at, packet(caller(1), 1, c.copies, platform.FlagSYN, 0))
			b.Expect(err).NotTo(HaveOccurred())
			head, _, err := inner.ParseOpen(r.Actions[0].Bytes)
			b.Expect(err).NotTo(HaveOccurred())
			b.Expect(head.Flags & inner.FlagRepeated).To(Equal(c.want))
		})
	}
}

// A flow that all agents return is reset at once, as its caller may ask elsewhere; while
// the list may lack agents, the next copy tries again and no repetition is burnt.
func TestFlowReturnedByAllAgentsIsResetOrRetried(t *testing.T) {
	cases := []struct {
		name   string
		age    time.Duration
		copies uint32
		resets int
	}{
		{"the list has only just come", 50 * time.Millisecond, 0, 0},
		{"no further copy comes", 50 * time.Millisecond, 2, 1},
		{"the list is whole", 300 * time.Millisecond, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, agentAt(101, "a"))
			b.now += c.age
			opening := packet(caller(1), 1, c.copies, platform.FlagSYN, 0)
			_, err := b.core.FromCaller(b.now, opening)
			b.Expect(err).NotTo(HaveOccurred())
			for range 2 { // the first and the last try
				b.fromAgent(101, inner.AppendReturned(nil, inner.Returned{Reason: inner.ReasonBounced}, opening))
			}
			b.Expect(b.resets()).To(Equal(c.resets))
			b.Expect(b.notes(steer.KindDropped)).To(HaveLen(1 - c.resets))
			r, err := b.core.FromCaller(b.now, packet(caller(1), 1, 1, platform.FlagSYN, 0))
			b.Expect(err).NotTo(HaveOccurred())
			b.last = r
			b.Expect(b.sent(inner.KindOpen)).To(HaveLen(1)) // the next copy begins anew
		})
	}
}

// Many agents start beside upstreams that are gone: a flow finds the one that lives
// behind more of them than may return it for want of a slot.
func TestFlowIsPlacedAfterManyAgentsWithoutUpstream(t *testing.T) {
	agents := []steer.Agent{agentAt(120, "b")}
	for n := range 15 {
		agents = append(agents, agentAt(101+n, "a"))
	}
	b := newBench(t, agents...)
	b.now += 300 * time.Millisecond
	opening := packet(caller(1), 1, 0, platform.FlagSYN, 0)
	b.callerSends(caller(1), platform.FlagSYN, 0)
	for range 15 {
		to := b.sent(inner.KindOpen)[0]
		b.Expect(to).NotTo(Equal(address(120, 1)))
		b.fromAgent(int(to.Addr().As4()[3]), inner.AppendReturned(nil, inner.Returned{Reason: inner.ReasonBounced}, opening))
	}
	b.Expect(b.sent(inner.KindOpen)).To(Equal([]netip.AddrPort{address(120, 1)}))
	b.Expect(b.resets()).To(BeZero())
}

// An agent that has just started hears from balancers how many slots its upstream
// has; where the store lists none for it, those of another of the service count.
func TestOpeningContainsListedSlots(t *testing.T) {
	unknown := agentAt(101, "a")
	unknown.Slots = 0
	for _, agents := range [][]steer.Agent{{agentAt(101, "a")}, {unknown, agentAt(102, "b")}} {
		b := newBench(t, agents...)
		b.callerSends(caller(1), platform.FlagSYN, 0)
		head, _, err := inner.ParseOpen(b.last.Actions[0].Bytes)
		b.Expect(err).NotTo(HaveOccurred())
		b.Expect(head.Slots).To(BeEquivalentTo(4))
	}
}

func TestCopyGoesToAnotherAgentOnlyIfFirstIsSilent(t *testing.T) {
	b := newBench(t, agentAt(101, "a"), agentAt(102, "b"))
	b.status(101, inner.Status{})
	b.status(102, inner.Status{})
	b.now += time.Millisecond
	b.callerSends(caller(1), platform.FlagSYN, 0)
	b.now += 200 * time.Millisecond
	b.callerSends(caller(1), platform.FlagSYN, 0)
	b.Expect(b.sent(inner.KindOpen)).To(Equal([]netip.AddrPort{address(102, 1)}))
	b.status(102, inner.Status{})
	b.now += 400 * time.Millisecond
	b.callerSends(caller(1), platform.FlagSYN, 0)
	b.Expect(b.sent(inner.KindOpen)).To(Equal([]netip.AddrPort{address(102, 1)}))
}

func TestMovedFlowNoteContainsTimeAtPreviousAgent(t *testing.T) {
	b := newBench(t, agentAt(101, "a"), agentAt(102, "b"))
	b.status(101, inner.Status{})
	b.status(102, inner.Status{})
	b.callerSends(caller(1), platform.FlagSYN, 0)
	b.now += 30 * time.Millisecond
	opening := packet(caller(1), 1, 0, platform.FlagSYN, 0)
	b.fromAgent(101, inner.AppendReturned(nil, inner.Returned{Reason: inner.ReasonBusy}, opening))
	moved := b.notes(steer.KindMoved)
	b.Expect(moved).To(HaveLen(1))
	b.Expect(moved[0].Took).To(Equal(30 * time.Millisecond))
}
