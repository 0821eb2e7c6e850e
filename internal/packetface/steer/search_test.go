package steer_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/platform"
)

// Tests of searches among many agents.

// benchOf returns a bench with a number of agents, all of which have answered a poll.
func benchOf(t *testing.T, count int) *bench {
	var agents []steer.Agent
	for n := range count {
		agents = append(agents, agentAt(101+n, "a"))
	}
	b := newBench(t, agents...)
	for n := range count {
		b.status(101+n, inner.Status{Versions: inner.Versions{Listing: 1}})
	}
	b.now += time.Second
	return b
}

// An agent whose upstream never came back cannot tell whether the upstream holds a flow.
// Once the agent has left and the store no longer lists it, a search that waits for it
// ends.
func TestSearchDoesNotWaitForRemovedAgent(t *testing.T) {
	b := benchOf(t, 3)
	b.callerSends(caller(1), platform.FlagACK, 30)
	b.answer(101, caller(1), inner.VerdictNone, 1)
	b.answer(102, caller(1), inner.VerdictNone, 1)
	b.answer(103, caller(1), inner.VerdictUnknown, 1)
	b.last = b.core.SetAgents(b.now, []steer.Agent{agentAt(101, "a"), agentAt(102, "a")}, listAge(2))
	b.now += time.Millisecond
	b.status(103, inner.Status{State: inner.StateDown})
	resets := 0
	for range 20 {
		b.now += 5 * time.Millisecond
		b.last = b.core.Tick(b.now)
		resets += b.resets()
	}
	b.Expect(resets).To(Equal(1))
}

// Once the upstream of an agent that could not tell has reported, the agent is asked again
// at once, for all flows in one datagram.
func TestAgentIsAskedAgainOnceItCanTell(t *testing.T) {
	b := benchOf(t, 1)
	b.status(101, inner.Status{State: inner.StateUnproven})
	for n := 1; n <= 3; n++ {
		b.callerSends(caller(n), platform.FlagACK, 30)
		b.answer(101, caller(n), inner.VerdictUnknown, 1)
	}
	b.wait(20 * time.Millisecond)
	b.status(101, inner.Status{})
	b.Expect(b.sent(inner.KindAsk)).To(HaveLen(1))
	for n := 1; n <= 3; n++ {
		b.answer(101, caller(n), inner.VerdictNone, 1)
		b.Expect(b.resets()).To(Equal(1))
	}
}

// The number of probes between two ticks is bounded, however many flows are searched for:
// each probe is a packet to an upstream and back.
func TestProbesAreBoundedBetweenTicks(t *testing.T) {
	const agents, flows, most = 60, 40, 24
	b := benchOf(t, agents)
	for n := 1; n <= flows; n++ {
		b.callerSends(caller(n), platform.FlagACK, 30)
	}
	probes := 0
	for n := 1; n <= flows; n++ {
		for a := range agents {
			b.answer(101+a, caller(n), inner.VerdictUnknown, 1)
			probes += len(b.sent(inner.KindForward))
		}
	}
	b.Expect(probes).To(Equal(most))
	b.now += 5 * time.Millisecond
	b.last = b.core.Tick(b.now)
	b.Expect(len(b.sent(inner.KindForward))).To(Equal(most))
}

// A process whose ticks are late sends larger batches of questions: each datagram and its
// answer cost as much as many questions.
func TestLateTicksIncreaseBatchesOfQuestions(t *testing.T) {
	b := benchOf(t, 50)
	datagrams := func(gap time.Duration) int {
		count := 0
		for n := range 80 {
			b.now += 5 * time.Millisecond
			if n < 40 {
				count = 0 // the delay is known after two ticks only
			}
			if b.now%gap == 0 {
				b.last = b.core.Tick(b.now)
				count += len(b.sent(inner.KindAsk))
			}
			b.callerSends(caller(n), platform.FlagACK, 30)
			count += len(b.sent(inner.KindAsk))
		}
		return count
	}
	prompt := datagrams(5 * time.Millisecond)
	b = benchOf(t, 50)
	late := datagrams(50 * time.Millisecond)
	b.Expect(late).To(BeNumerically("<=", prompt/4))
}

// A silent agent does not keep others from being probed, and an agent that receives the
// first report of its upstream before its own first status is asked again.
func TestSilentAgentDoesNotDelayProbes(t *testing.T) {
	b := newBench(t, agentAt(101, "a"), agentAt(102, "a"), agentAt(103, "a"))
	b.now += time.Second
	b.callerSends(caller(1), platform.FlagACK, 30)
	b.answer(101, caller(1), inner.VerdictUnknown, 1)
	b.Expect(b.sent(inner.KindForward)).To(HaveLen(1))
	b.answer(102, caller(1), inner.VerdictUnknown, 1)
	b.Expect(b.sent(inner.KindForward)).To(HaveLen(1))
	b.now += 10 * time.Millisecond
	b.status(102, inner.Status{})
	b.Expect(b.sent(inner.KindAsk)).To(ContainElement(address(102, 1)))
}

// A flood of packets of flows that never existed exhausts neither the balancer's memory
// nor the agents, and packets of open flows are forwarded at once.
func TestFloodOfUnknownFlowsDoesNotDelayOpenFlows(t *testing.T) {
	const agents, perMillisecond, seconds = 20, 50, 2
	b := benchOf(t, agents)
	b.callerSends(caller(1), platform.FlagSYN, 0)
	owner := b.sent(inner.KindOpen)[0]
	b.fromAgent(int(owner.Addr().As4()[3]), inner.AppendStatus(nil, inner.Status{State: inner.StateReady, Versions: inner.Versions{Listing: 1}}))
	datagrams, flows := 0, 0
	var answers []netip.AddrPort
	for ms := range seconds * 1000 {
		b.now += time.Millisecond
		for range perMillisecond {
			flows++
			id := caller(flows)
			id.Caller[1], id.Caller[2] = byte(flows>>16), 99
			b.callerSends(id, platform.FlagACK, 30)
			answers = append(answers, b.sent(inner.KindAsk)...)
		}
		if ms%5 == 0 {
			b.last = b.core.Tick(b.now)
			answers = append(answers, b.sent(inner.KindAsk)...)
		}
		datagrams += len(answers)
		for _, from := range answers { // each agent is running and holds none of the flows
			b.status(int(from.Addr().As4()[3]), inner.Status{Versions: inner.Versions{Listing: 1}})
		}
		answers = answers[:0]
		b.callerSends(caller(1), platform.FlagACK, 30)
		b.Expect(b.sent(inner.KindForward)).To(Equal([]netip.AddrPort{owner}))
	}
	b.Expect(b.core.Counts(b.now).Searches).To(BeNumerically("<=", 4096))
	b.Expect(datagrams).To(BeNumerically("<=", seconds*agents*500), "datagrams to agents")
}

// A probe that is returned late or twice is not a new packet of the caller, and must not
// extend the search.
func TestReturnedProbeDoesNotExtendSearch(t *testing.T) {
	b := benchOf(t, 2)
	b.callerSends(caller(1), platform.FlagACK, 30)
	b.answer(101, caller(1), inner.VerdictUnknown, 1) // agent 102 does not answer
	for range 24 {
		b.fromAgent(101, inner.AppendReturned(nil, inner.Returned{Reason: inner.ReasonUnknown}, packet(caller(1), 1, 77, platform.FlagACK, 30)))
		b.wait(100 * time.Millisecond)
	}
	b.wait(200 * time.Millisecond) // 2.5 s after its last packet the caller has given up
	b.Expect(b.core.Counts(b.now).Searches).To(BeZero())
}

// Probes that are in flight when the owner is found or the flow is reset are returned
// later. They must not start another search, which would send further probes, nor cause
// further packets to the owner.
func TestLateReturnedProbeStartsNoSearch(t *testing.T) {
	back := inner.AppendReturned(nil, inner.Returned{Reason: inner.ReasonUnknown}, packet(caller(1), 1, 77, platform.FlagACK, 30))
	for _, end := range []inner.Verdict{inner.VerdictHeld, inner.VerdictNone} {
		b := benchOf(t, 3)
		b.callerSends(caller(1), platform.FlagACK, 30)
		b.answer(101, caller(1), inner.VerdictUnknown, 1)
		b.answer(102, caller(1), inner.VerdictNone, 1)
		b.answer(103, caller(1), end, 1)
		if end == inner.VerdictNone {
			b.answer(101, caller(1), inner.VerdictNone, 1)
			b.Expect(b.resets()).To(Equal(1))
		}
		b.now += 20 * time.Millisecond
		b.fromAgent(101, back)
		b.Expect(b.last.Actions).To(BeEmpty())
		b.Expect(b.core.Counts(b.now).Searches).To(BeZero())
	}
}

// A balancer that started recently has to ask every agent for a flow that no upstream
// holds, in the largest fleet in service, at twice that size and beyond.
func TestRecentlyStartedBalancerResetsFlowsInLargeFleet(t *testing.T) {
	for _, agents := range []int{678, 1356, 3000} {
		t.Run(fmt.Sprint(agents), func(t *testing.T) {
			b := benchOf(t, agents)
			const flows = 32 // as many searches as may start between two ticks
			resets, most := 0, 0
			for n := range flows {
				b.callerSends(caller(n+1), platform.FlagACK, 30)
				_, reset := b.answerAll()
				resets += reset
			}
			for end := b.now + 2*time.Second; b.now < end && resets < flows; b.now += 5 * time.Millisecond {
				b.last = b.core.Tick(b.now)
				asked, reset := b.answerAll()
				most, resets = max(most, asked), resets+reset
			}
			b.Expect(resets).To(Equal(flows))
			b.Expect(most).To(BeNumerically("<=", 2*32<<10), "questions between two ticks, including repeated ones")
		})
	}
}

// answerAll answers the questions of the last result, and those that follow from the
// answers, with VerdictNone; it returns the number of questions and of resets.
func (b *bench) answerAll() (asked, resets int) {
	type question struct {
		to    netip.AddrPort
		bytes []byte
	}
	var queue []question
	take := func() {
		resets += b.resets()
		for _, a := range b.last.Actions {
			queue = append(queue, question{a.To, slices.Clone(a.Bytes)})
		}
	}
	for take(); len(queue) > 0; queue = queue[1:] {
		questions, _, err := inner.ParseAsk(nil, queue[0].bytes)
		if err != nil {
			continue
		}
		asked += len(questions)
		answer := inner.AppendAnswerHead(nil, 1)
		for _, q := range questions {
			answer = inner.AppendAnswer(answer, inner.Answer{Flow: q.Flow, Verdict: inner.VerdictNone})
		}
		b.last, err = b.core.FromAgent(b.now, queue[0].to, answer)
		b.Expect(err).NotTo(HaveOccurred())
		take()
	}
	return asked, resets
}
