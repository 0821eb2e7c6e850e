package steer_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/platform"
)

// Tests of the balancer's state of agents: lists of agents, their age, and silent agents.

// A status that an agent sends unsolicited does not show that it knows of the newer list:
// the agent is polled until it reports the list.
func TestSiblingsArePolledUntilTheyReportNewList(t *testing.T) {
	b := newBench(t, agentAt(101, "a"))
	b.status(101, inner.Status{Versions: inner.Versions{Listing: 1}})
	b.last = b.core.SetAgents(b.now, []steer.Agent{agentAt(101, "a"), agentAt(102, "a")}, listAge(2))
	b.Expect(b.sent(inner.KindPoll)).To(ContainElement(address(101, 1)))
	b.status(101, inner.Status{Versions: inner.Versions{Listing: 1}}) // the poll was lost, so it has the old list
	b.now += 150 * time.Millisecond
	b.last = b.core.Tick(b.now)
	b.Expect(b.sent(inner.KindPoll)).To(ContainElement(address(101, 1)))
	b.status(101, inner.Status{Versions: inner.Versions{Listing: 2}})
	b.now += 150 * time.Millisecond
	b.last = b.core.Tick(b.now)
	b.Expect(b.sent(inner.KindPoll)).NotTo(ContainElement(address(101, 1)))
}

// An agent that returns a probe to a balancer with an outdated list reports the newer
// list with it. The flow may be held by an agent that the balancer's list lacks.
func TestReturnedProbeReportingNewerListPreventsReset(t *testing.T) {
	b := newBench(t, agentAt(101, "a"))
	b.status(101, inner.Status{Versions: inner.Versions{Listing: 1}})
	b.now += time.Second
	b.callerSends(caller(1), platform.FlagACK, 30)
	b.answer(101, caller(1), inner.VerdictUnknown, 1)
	head := inner.Returned{Reason: inner.ReasonUnknown, Listing: 2}
	b.fromAgent(101, inner.AppendReturned(nil, head, packet(caller(1), 1, 77, platform.FlagACK, 30)))
	b.Expect(b.resets()).To(BeZero())
	b.Expect(b.notes(steer.KindNewer)).To(HaveLen(1))
}

// Right after a pause of the balancer's process the datagrams that arrived meanwhile have
// not been read, so an agent's silence proves nothing and its flows stay with it.
func TestPausedBalancerDoesNotSuspectAgents(t *testing.T) {
	b := newBench(t, agentAt(101, "a"), agentAt(102, "a"), agentAt(103, "a"), agentAt(104, "a"))
	for n := 101; n <= 104; n++ {
		b.status(n, inner.Status{Versions: inner.Versions{Listing: 1}})
	}
	b.callerSends(caller(1), platform.FlagSYN, 0)
	owner := b.sent(inner.KindOpen)[0]
	b.fromAgent(int(owner.Addr().As4()[3]), inner.AppendStatus(nil, inner.Status{State: inner.StateReady, Versions: inner.Versions{Listing: 1}}))
	b.now += 300 * time.Millisecond
	b.callerSends(caller(1), platform.FlagACK, 30) // asks for a status
	b.now += 150 * time.Millisecond
	b.callerSends(caller(1), platform.FlagACK, 30) // asks again
	b.now += 3 * time.Second                       // the process is paused
	b.callerSends(caller(1), platform.FlagACK, 30)
	b.Expect(b.sent(inner.KindForward)).To(Equal([]netip.AddrPort{owner}))
	b.Expect(b.resets()).To(BeZero())
}

// The entries of agents may have expired when a balancer starts, so it has to ask other
// balancers which agents they know before it resets a flow.
func TestNoResetBeforePeersAreAsked(t *testing.T) {
	b := newBench(t)
	b.core = steer.New(steer.Settings{DataCentre: "a", CallerPort: callerPort, Random: rand.New(rand.NewPCG(1, 2)), AwaitPeers: true})
	b.core.SetTable(b.now, table(), time.Minute)
	b.last = b.core.SetAgents(b.now, []steer.Agent{agentAt(101, "a")}, listAge(1))
	b.status(101, inner.Status{})
	b.now += time.Second
	b.callerSends(caller(1), platform.FlagACK, 30)
	b.answer(101, caller(1), inner.VerdictNone, 1)
	b.Expect(b.resets()).To(BeZero())
	b.last = b.core.AddPeerAgents(b.now, []steer.Agent{agentAt(102, "a")})
	b.Expect(b.sent(inner.KindPoll)).To(Equal([]netip.AddrPort{address(102, 1)}))
	b.status(102, inner.Status{})
	b.wait(400 * time.Millisecond) // in which the new agent is asked, too
	b.answer(102, caller(1), inner.VerdictHeld, 1)
	b.Expect(b.sent(inner.KindForward)).To(Equal([]netip.AddrPort{address(102, 1)}))
	b.Expect(b.core.Known()).To(Equal([]steer.Agent{agentAt(101, "a"), agentAt(102, "a")}))
}

// An agent that was frozen while its entry expired is removed. Its first status
// afterwards restores it, before the store lists it again.
func TestRemovedAgentIsRestoredByItsStatus(t *testing.T) {
	b := newBench(t, agentAt(101, "a"), agentAt(102, "a"))
	b.status(101, inner.Status{})
	b.status(102, inner.Status{})
	b.last = b.core.SetAgents(b.now, []steer.Agent{agentAt(101, "a")}, listAge(2))
	for range 30 {
		b.wait(100 * time.Millisecond)
		b.status(101, inner.Status{})
	}
	b.Expect(b.core.Counts(b.now).Agents).To(Equal(1))
	b.status(102, inner.Status{})
	b.Expect(b.core.Counts(b.now).Agents).To(Equal(2))
	b.callerSends(caller(1), platform.FlagACK, 30)
	b.answer(101, caller(1), inner.VerdictNone, 2)
	b.Expect(b.resets()).To(BeZero())
	b.answer(102, caller(1), inner.VerdictHeld, 2)
	b.Expect(b.sent(inner.KindForward)).To(Equal([]netip.AddrPort{address(102, 1)}))
}

// The agent that registered last has left before this balancer read the store. The list
// of this balancer is as recent as those that contained the entry.
func TestListReadAfterRemovalIsNotOutdated(t *testing.T) {
	b := newBench(t)
	b.last = b.core.SetAgents(b.now, []steer.Agent{agentAt(101, "a")}, steer.ListAge{AsOf: 10, Newest: 3})
	b.status(101, inner.Status{Versions: inner.Versions{Listing: 9}})
	b.Expect(b.notes(steer.KindNewer)).To(BeEmpty())
	b.now += time.Second
	b.callerSends(caller(1), platform.FlagACK, 30)
	b.answer(101, caller(1), inner.VerdictNone, 9)
	b.Expect(b.resets()).To(Equal(1))
}

func TestListOlderThanReportedOnePreventsReset(t *testing.T) {
	b := newBench(t)
	b.last = b.core.SetAgents(b.now, []steer.Agent{agentAt(101, "a")}, steer.ListAge{AsOf: 8, Newest: 3})
	b.status(101, inner.Status{Versions: inner.Versions{Listing: 9}})
	b.Expect(b.notes(steer.KindNewer)).To(HaveLen(1))
	b.now += time.Second
	b.callerSends(caller(1), platform.FlagACK, 30)
	b.answer(101, caller(1), inner.VerdictNone, 9)
	b.Expect(b.resets()).To(BeZero())
}

func TestBalancerIsIsolatedIfNoAgentAnswers(t *testing.T) {
	b := newBench(t, agentAt(101, "a"), agentAt(102, "b"))
	status := inner.Status{Versions: inner.Versions{Listing: 1}} // by the answers to the first polls
	b.status(101, status)
	b.status(102, status)
	b.now += time.Second
	b.callerSends(caller(1), platform.FlagSYN, 0) // the packet requests a status of one of them
	b.wait(400 * time.Millisecond)
	b.Expect(b.core.Isolated(b.now)).To(BeFalse())
	b.wait(400 * time.Millisecond) // the other one was polled after the first was suspected
	b.Expect(b.core.Isolated(b.now)).To(BeTrue())
	b.status(102, inner.Status{})
	b.Expect(b.core.Isolated(b.now)).To(BeFalse())
}

func TestUnlistedAgentStaysWhileItAnswers(t *testing.T) {
	b := newBench(t, agentAt(101, "a"))
	b.status(101, inner.Status{})
	b.last = b.core.SetAgents(b.now, nil, listAge(1))
	for range 20 {
		b.wait(200 * time.Millisecond)
		b.status(101, inner.Status{})
	}
	b.Expect(b.core.Counts(b.now).Agents).To(Equal(1))
	b.wait(2500 * time.Millisecond)
	b.Expect(b.core.Counts(b.now).Agents).To(BeZero())
}

func TestReusedAddressReplacesAgent(t *testing.T) {
	b := newBench(t, agentAt(101, "a"))
	b.status(101, inner.Status{})
	b.callerSends(caller(1), platform.FlagSYN, 0)
	b.callerSends(caller(1), platform.FlagACK, 30)
	reused := agentAt(101, "a")
	reused.Service = inner.ServiceID("other")
	b.last = b.core.SetAgents(b.now, []steer.Agent{reused}, listAge(2))
	b.callerSends(caller(1), platform.FlagACK, 30)
	b.Expect(b.sent(inner.KindForward)).To(BeEmpty())
}

// An agent that is listed while a flow's owner is searched for is asked, too.
func TestAgentListedDuringSearchIsAsked(t *testing.T) {
	b := newBench(t, agentAt(101, "a"))
	b.status(101, inner.Status{})
	b.now += time.Second
	b.callerSends(caller(1), platform.FlagACK, 30)
	b.last = b.core.SetAgents(b.now, []steer.Agent{agentAt(101, "a"), agentAt(102, "a")}, listAge(2))
	b.answer(101, caller(1), inner.VerdictNone, 2)
	b.Expect(b.resets()).To(BeZero())
	var asked []netip.AddrPort
	for range 30 {
		b.now += 5 * time.Millisecond
		b.last = b.core.Tick(b.now)
		asked = append(asked, b.sent(inner.KindAsk)...)
	}
	b.Expect(asked).To(ContainElement(address(102, 1)))
	b.answer(102, caller(1), inner.VerdictNone, 2)
	b.Expect(b.resets()).To(Equal(1))
}

// An agent that leaves reports its upstream as down. Further statuses of that kind do not
// restore it; a status that reports its upstream as ready does.
func TestAgentWithUpstreamDownIsNotRestored(t *testing.T) {
	b := newBench(t, agentAt(101, "a"), agentAt(102, "a"))
	b.status(101, inner.Status{})
	b.status(102, inner.Status{})
	b.last = b.core.SetAgents(b.now, []steer.Agent{agentAt(101, "a")}, listAge(2))
	b.now += 10 * time.Millisecond
	b.status(102, inner.Status{State: inner.StateDown})
	b.wait(10 * time.Millisecond)
	b.Expect(b.core.Counts(b.now).Agents).To(Equal(1))
	b.status(102, inner.Status{State: inner.StateDown})
	b.Expect(b.core.Counts(b.now).Agents).To(Equal(1))

	// The upstream has restarted while the store is unavailable: other balancers may
	// place flows there.
	b.status(102, inner.Status{State: inner.StateReady})
	b.Expect(b.core.Counts(b.now).Agents).To(Equal(2))
}

// An agent whose entry another writer has overwritten stays in the list and is polled
// with FlagUnlisted, so that it writes its entry again.
func TestAgentWithDamagedEntryIsPolledAsUnlisted(t *testing.T) {
	b := newBench(t, agentAt(101, "a"))
	b.status(101, inner.Status{})
	damaged := agentAt(101, "a")
	damaged.Damaged = true
	b.last = b.core.SetAgents(b.now, []steer.Agent{damaged}, listAge(2))
	b.now += 250 * time.Millisecond
	b.last = b.core.Tick(b.now)
	b.Expect(b.sent(inner.KindPoll)).To(ConsistOf(address(101, 1)))
	poll, err := inner.ParsePoll(b.last.Actions[0].Bytes)
	b.Expect(err).NotTo(HaveOccurred())
	b.Expect(poll.Flags & inner.FlagUnlisted).NotTo(BeZero())
	b.wait(3 * time.Second)
	b.callerSends(caller(1), platform.FlagSYN, 0)
	b.Expect(b.sent(inner.KindOpen)).To(ConsistOf(address(101, 1)))
}
