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

// Tests of the placement of new flows.

func TestNewFlowsGoToAgentWithLowestScore(t *testing.T) {
	cases := []struct {
		name string
		one  inner.Status
		two  inner.Status
		far  inner.Status
		want int
	}{
		{"same data centre, though a little busier", inner.Status{Running: 1}, inner.Status{Running: 4}, inner.Status{}, 101},
		{"less busy", inner.Status{Running: 3}, inner.Status{Running: 1}, inner.Status{Running: 3}, 102},
		{"other data centre, as all slots in the same one are taken", inner.Status{Running: 4}, inner.Status{Running: 4}, inner.Status{}, 103},
		{"warm", inner.Status{Cold: true}, inner.Status{Running: 1}, inner.Status{Running: 4}, 102},
		{"ready", inner.Status{State: inner.StateDraining}, inner.Status{Running: 3}, inner.Status{State: inner.StateStopping}, 102},
		{"not failing, though idle", inner.Status{State: inner.StateFailing}, inner.Status{Running: 3}, inner.Status{Running: 4}, 102},
		{"proven, though a little busier", inner.Status{State: inner.StateUnproven}, inner.Status{Running: 1}, inner.Status{Running: 4}, 102},
		{"on probation, as the others' slots are taken", inner.Status{State: inner.StateProbation}, inner.Status{Running: 4}, inner.Status{Running: 4}, 101},
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
	b.Expect(b.sent(inner.KindOpen)).To(HaveLen(1)) // to the agent of last resort
	head, _, err := inner.ParseOpen(b.last.Actions[0].Bytes)
	b.Expect(err).NotTo(HaveOccurred())
	b.Expect(head.Flags & inner.FlagLastChoice).NotTo(BeZero())
	last := 101
	if b.sent(inner.KindOpen)[0] == address(102, 1) {
		last = 102
	}
	b.fromAgent(last, inner.AppendReturned(nil, inner.Returned{Reason: inner.ReasonBounced}, opening))
	b.Expect(b.resets()).To(Equal(1)) // at once, as no request of the flow has run
}

// Under overload every agent has more requests than slots. Three agents return a flow as
// busy, with 9, 5 and 12 requests; a fourth has 20. The flow has to be sent to the one
// with 5, and not to the fourth just because that has not returned it yet.
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
			b.Expect(head.Hops).To(BeEquivalentTo(inner.MaxBusyHops)) // the agent does not return it as busy again
		})
	}
}

// If more upstreams of a service fail than not, the service or the requests are the likely
// cause. Then all upstreams are used, and their agents are sent FlagLastChoice so that they
// take the flow.
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
	b.Expect(head.Flags & inner.FlagLastChoice).NotTo(BeZero())
}

// After a simultaneous power loss opening packets arrive before the balancer has read the
// store. They are buffered, and placed with the first list.
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
			b.Expect(b.sent(inner.KindOpen)).To(BeEmpty()) // each is placed only once
		})
	}
}

// A packet that is older than the caller's next copy is not placed, and the number of
// buffered packets is bounded.
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

// A balancer that has just started assumes that new flows are retries of earlier requests:
// callers whose opening packets were lost open new flows as long as their last copies may
// still arrive.
func TestOpeningsSoonAfterStartAreFlaggedAsRetries(t *testing.T) {
	cases := []struct {
		name   string
		at     time.Duration
		copies uint32
		off    []string
		want   inner.Flags
	}{
		{"right after the start", 50 * time.Millisecond, 0, nil, inner.FlagMayBeRetry},
		{"a copy, of a flow begun while hosts had long been down", 300 * time.Millisecond, 2, nil, inner.FlagMayBeRetry},
		{"a copy of a first attempt", 100 * time.Millisecond, 2, nil, 0},
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
			b.Expect(head.Flags & inner.FlagMayBeRetry).To(Equal(c.want))
		})
	}
}

// A flow that all agents return is reset at once, so that its caller may send the request
// elsewhere. While the list may lack agents, the packet is dropped instead: the caller's
// next copy is placed anew, and the caller does not use up a retry.
func TestFlowReturnedByAllAgentsIsResetOrRetried(t *testing.T) {
	cases := []struct {
		name   string
		age    time.Duration
		copies uint32
		resets int
	}{
		{"the list arrived just now", 50 * time.Millisecond, 0, 0},
		{"the packet is the last copy", 50 * time.Millisecond, 2, 1},
		{"the list is complete", 300 * time.Millisecond, 0, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, agentAt(101, "a"))
			b.now += c.age
			opening := packet(caller(1), 1, c.copies, platform.FlagSYN, 0)
			_, err := b.core.FromCaller(b.now, opening)
			b.Expect(err).NotTo(HaveOccurred())
			for range 2 { // the first attempt and the last resort
				b.fromAgent(101, inner.AppendReturned(nil, inner.Returned{Reason: inner.ReasonBounced}, opening))
			}
			b.Expect(b.resets()).To(Equal(c.resets))
			b.Expect(b.notes(steer.KindDropped)).To(HaveLen(1 - c.resets))
			r, err := b.core.FromCaller(b.now, packet(caller(1), 1, 1, platform.FlagSYN, 0))
			b.Expect(err).NotTo(HaveOccurred())
			b.last = r
			b.Expect(b.sent(inner.KindOpen)).To(HaveLen(1)) // the next copy is placed anew
		})
	}
}

// Many agents start whose upstreams are gone: the flow reaches the one agent with an
// upstream after more returns than the limit for busy agents.
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

// An agent that has just started learns from opening packets how many slots its upstream
// has. If the store lists none for it, the slots of another agent of the service are
// used.
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
	placedAgain := b.notes(steer.KindPlacedAgain)
	b.Expect(placedAgain).To(HaveLen(1))
	b.Expect(placedAgain[0].Took).To(Equal(30 * time.Millisecond))
}
