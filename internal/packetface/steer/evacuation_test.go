package steer_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/packetface/evacuation"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

// recordOf returns a record of all changes up to a position, with the given data centres
// evacuated.
func recordOf(asOf store.Position, dataCentres ...string) evacuation.Record {
	var r evacuation.Record
	var all []evacuation.Request
	for _, name := range dataCentres {
		all = append(all, evacuation.Request{DataCentre: name, At: asOf})
	}
	r.Replace(all, asOf)
	return r
}

func (b *bench) evacuate(asOf store.Position, dataCentres ...string) {
	b.last = b.core.SetEvacuations(b.now, recordOf(asOf, dataCentres...))
}

func TestNewFlowsAvoidEvacuatedDataCentre(t *testing.T) {
	b := newBench(t, agentAt(1, "a"), agentAt(2, "b"))
	b.status(1, inner.Status{Slots: 4})
	b.status(2, inner.Status{Slots: 4, Running: 40})
	b.evacuate(5, "a")
	b.Expect(b.pollsWithin(200*time.Millisecond, 1)).To(BeTrue(), "the agents of the evacuated data centre are polled")
	for n := range 20 {
		b.callerSends(caller(n), platform.FlagSYN, 0)
		b.Expect(b.sent(inner.KindOpen)).To(ConsistOf(address(2, 1)))
	}
	b.evacuate(9)
	b.callerSends(caller(50), platform.FlagSYN, 0)
	b.Expect(b.sent(inner.KindOpen)).To(ConsistOf(address(1, 1)))
}

// pollsWithin reports whether an agent is polled within a time.
func (b *bench) pollsWithin(d time.Duration, agent int) bool {
	for end := b.now + d; b.now < end; b.now += 50 * time.Millisecond {
		b.last = b.core.Tick(b.now)
		if slices.Contains(b.sent(inner.KindPoll), address(agent, 1)) {
			return true
		}
	}
	return false
}

// In a large fleet only some balancers poll an uninformed agent; its status then informs
// the other balancers.
func TestFewBalancersOfLargeFleetPollEvacuatedAgents(t *testing.T) {
	const agents, balancers, tick = 200, 400, 50 * time.Millisecond
	b := benchOf(t, agents)
	for n := range agents {
		b.status(101+n, inner.Status{Slots: 4, Versions: inner.Versions{Listing: 1}, Balancers: balancers})
	}
	b.wait(time.Second)
	b.evacuate(5, "a")
	polls := len(b.sent(inner.KindPoll))
	for range 20 {
		b.now += tick
		b.last = b.core.Tick(b.now)
		for _, to := range b.sent(inner.KindPoll) {
			polls++
			host := to.Addr().As4()
			b.status(int(host[2])<<8+int(host[3]), inner.Status{Slots: 4, Versions: inner.Versions{Listing: 1}, Balancers: balancers, Evacuation: evacuation.State{Evacuated: true, AsOf: 5}})
		}
	}
	b.Expect(polls).To(And(BeNumerically(">", 5), BeNumerically("<", 120)), "4,000 polls if the balancer polled all agents at each tick")
}

// The agent of last resort must not be in an evacuated data centre either.
func TestFullyEvacuatedServiceResetsNewFlows(t *testing.T) {
	b := newBench(t, agentAt(1, "a"), agentAt(2, "a"))
	b.status(1, inner.Status{State: inner.StateFailing})
	b.status(2, inner.Status{})
	b.evacuate(5, "a")
	b.wait(time.Second)
	b.callerSends(caller(1), platform.FlagSYN, 0)
	b.Expect(b.sent(inner.KindOpen)).To(BeEmpty())
	b.Expect(b.resets()).To(Equal(1))
	b.Expect(b.notes(steer.KindReset)[0].Reason).To(Equal("service-evacuated"))
}

func TestOpenFlowsStayInEvacuatedDataCentre(t *testing.T) {
	b := newBench(t, agentAt(1, "a"))
	b.status(1, inner.Status{})
	b.callerSends(caller(1), platform.FlagSYN, 0)
	b.callerSends(caller(1), platform.FlagACK, 20)
	b.evacuate(5, "a")
	b.callerSends(caller(1), platform.FlagACK, 20)
	b.Expect(b.sent(inner.KindForward)).To(ConsistOf(address(1, 1)))
}

// A balancer that the store refuses to serve learns of an evacuation from any agent in
// the data centre.
func TestBalancerLearnsOfEvacuationFromAgent(t *testing.T) {
	b := newBench(t, agentAt(1, "a"), agentAt(2, "a"), agentAt(3, "b"))
	for n := range 3 {
		b.status(n+1, inner.Status{Slots: 4})
	}
	b.wait(time.Second)
	b.status(2, inner.Status{Slots: 4, Evacuation: evacuation.State{Evacuated: true, AsOf: 8}})
	b.Expect(b.notes(steer.KindNewer)).To(HaveLen(1))
	for n := range 20 {
		b.callerSends(caller(n), platform.FlagSYN, 0)
		b.Expect(b.sent(inner.KindOpen)).To(ConsistOf(address(3, 1)))
	}
	b.evacuate(6) // an older state of the store has no effect
	b.callerSends(caller(30), platform.FlagSYN, 0)
	b.Expect(b.sent(inner.KindOpen)).To(ConsistOf(address(3, 1)))
}

func TestAgentIsPolledUntilItReportsEvacuation(t *testing.T) {
	b := newBench(t, agentAt(1, "a"))
	b.status(1, inner.Status{})
	b.evacuate(5, "a")
	b.status(1, inner.Status{})
	b.now += 150 * time.Millisecond
	b.last = b.core.Tick(b.now)
	b.Expect(b.sent(inner.KindPoll)).NotTo(BeEmpty(), "the agent's status does not report the evacuation")
}

// operator holds what the operator has requested, in the property test.
type operator struct {
	record evacuation.Record
	// since is when the present request was made, 0 if there is none.
	since time.Duration
}

// evacuateOrTakeBack makes or withdraws the operator's request to evacuate data centre b.
func (w *simFleet) evacuateOrTakeBack(o *operator) {
	w.revision++
	request := evacuation.Request{DataCentre: "b", At: w.revision}
	o.record.Apply([]evacuation.Change{{Request: request, Withdrawn: o.since != 0}}, w.revision)
	if o.since == 0 {
		o.since = w.now
	} else {
		o.since = 0
	}
	w.logEvent("operator: evacuated %v as of %d", o.since != 0, w.revision)
}

// sendEvacuations gives the requests to the balancers that the store serves.
func (w *simFleet) sendEvacuations(o *operator) {
	for _, b := range w.balancers {
		if !b.refused {
			b.evacuations.Replace(o.record.Requests(), w.revision)
			w.fromBalancer(b.addr, b.core.SetEvacuations(w.now, b.evacuations.Clone()))
		}
	}
}

const (
	// storeDelay is the time within which the store notifies the balancers that it serves
	// of a change; evacuateWithin is the time after which no opening packet may reach an
	// upstream in the data centre.
	storeDelay     = 300 * time.Millisecond
	evacuateWithin = 3 * time.Second
)

// Whatever the order in which processes learn of a request, and whichever balancers the
// store refuses to serve or processes restart, no opening packet reaches an evacuated
// data centre after evacuateWithin as long as one balancer can reach the store.
func TestNoOpeningReachesEvacuatedDataCentre(t *testing.T) {
	const maxLoss = 0.1
	rapid.Check(t, func(t *rapid.T) {
		w := newSimFleetOf(t, 4, 3, maxLoss, steer.DefaultAbsentAfter)
		for i, s := range w.agents {
			s.dataCentre = string("ab"[i%2])
		}
		for _, b := range w.balancers {
			w.sendList(b, nil)
		}
		var o operator
		w.opened = func(s *simAgent, held bool) {
			late := o.since != 0 && w.now-o.since > evacuateWithin && w.now-s.started > evacuateWithin
			if s.dataCentre == "b" && late && !held {
				w.t.Fatalf("at %s an opening reached %s, evacuated for %s\n%s", w.now, s.addr, w.now-o.since, w.flowLog(platform.Flow{}))
			}
		}
		for range rapid.IntRange(5, 40).Draw(t, "steps") {
			w.evacuationStep(&o)
		}
	})
}

func (w *simFleet) evacuationStep(o *operator) {
	s := w.agents[w.random.IntN(len(w.agents))]
	served := w.balancers[1:] // the store always serves the first
	switch rapid.IntRange(0, 8).Draw(w.t, "step") {
	case 0, 1:
		w.evacuateOrTakeBack(o)
		w.openFlows(3)
		w.run(storeDelay)
		w.sendEvacuations(o)
	case 2:
		w.startAgent(s)
		s.sequence = max(s.sequence, 1)
	case 3: // the balancer loses what agents reported, and callers send before agents answer it again
		w.startBalancer(w.anyBalancer())
		w.openFlows(30)
	case 4:
		b := served[w.random.IntN(len(served))]
		b.refused = !b.refused
		w.sendEvacuations(o)
	case 5:
		w.losePower()
	case 6:
		w.heartbeat(s)
	default:
		w.openFlows(6)
	}
	w.run(time.Duration(rapid.SampledFrom([]int{20, 300, 900, 3500}).Draw(w.t, "ms")) * time.Millisecond)
	w.openFlows(6)
}
