package steer

import (
	"math"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
)

// Agents report which share of their upstream's slots is in use and how long the upstream
// works on a request. The upstreams of a service may differ in speed, and a flow that stays
// open stays where it is placed whatever its caller asks later. So such flows are placed by
// the room that they leave, and requests count by the time that the upstream takes for them.
//
// A balancer places a flow that stays open on the best of a few agents only, not on the best
// of all: all balancers hold much the same figures, which are seconds old in a large fleet,
// and would all choose the same agent until its next report. An agent that looks best to all
// of them gets as many times the mean share of new flows as candidates are compared, at most,
// for as long as the figure counts. That also bounds an agent that wrongly claims to have room.

const (
	// roomMaxAge is the age from which on an agent's figures count for nothing; the mean of
	// its service is used instead. Before, the figures count the less the older they are.
	roomMaxAge = 10 * time.Second
	// roomInterval is the time for which the means of a service are used.
	roomInterval = 100 * time.Millisecond
	// nearCandidates and farCandidates are the numbers of agents in the balancer's and in
	// other data centres among which the best is chosen.
	nearCandidates = 4
	farCandidates  = 2
	// maxRelativeTime limits the ratio of an upstream's service time to the mean of its
	// service, and its inverse.
	maxRelativeTime = 3
	// timeTolerance is the ratio up to which relative times count as equal when a flow of one
	// request is placed. If errors of measuring counted, all balancers would prefer the same
	// upstream.
	timeTolerance = 1.3
	// maxFlowUse limits how many slots an open flow is expected to take: it has one request
	// at a time.
	maxFlowUse = 1
	// countShare is the weight of the estimate from the number of open flows in the expected
	// use of slots. That estimate is exact for flows placed just now, which the measured use
	// does not show yet, but takes all flows for equally busy.
	countShare = 0.5
	// crowdedUse is the use of slots from which on requests wait noticeably, because now and
	// then all slots are taken; each share beyond it counts weightCrowded times in addition.
	// Below, a flow stays near; above, room elsewhere is worth more than a short way.
	crowdedUse    = 0.7
	weightCrowded = 4
	// longTimes is the multiple of the mean service time that one in some ten requests
	// takes.
	longTimes = 2.5
)

// reportedRoom is what a balancer derives from the figures of one agent.
type reportedRoom struct {
	// known is set once the agent has reported its load, at is when it last did.
	known bool
	at    time.Duration
	// relativeTime is the ratio of the upstream's service times to the means of its
	// service, 0 if not known.
	relativeTime float64
}

// trust returns how much the agent's figures count, 0 to 1.
func (a *agent) trust(now time.Duration) float64 {
	if !a.room.known || !a.status.HasLoad {
		return 0
	}
	return max(0, 1-(now-a.room.at).Seconds()/roomMaxAge.Seconds())
}

// relativeTime returns the ratio of the upstream's service time to the mean of its service, 1
// if it is not known or too old.
func (a *agent) relativeTime(now time.Duration) float64 {
	if a.room.relativeTime == 0 || a.trust(now) == 0 {
		return 1
	}
	return a.room.relativeTime
}

// requestTime returns how much a request counts at the agent's upstream, relative to the
// mean of its service. Differences up to timeTolerance count for nothing.
func (a *agent) requestTime(now time.Duration) float64 {
	time := a.relativeTime(now)
	return max(1, time/timeTolerance) * min(1, time*timeTolerance)
}

func (a *agent) slots() float64 { return float64(max(int(a.status.Slots), a.Slots, 1)) }

// serviceRoom sums up what the agents of a service report on their room.
type serviceRoom struct {
	at time.Duration
	// near and far are the agents that accept flows in the balancer's and in other data
	// centres.
	near, far []*agent
	// known is the number of agents with figures that count.
	known int
	// use is their mean share of slots in use, flows their mean number of open flows a
	// slot, and flowUse the number of slots that an open flow takes on average at an
	// upstream of the mean speed.
	use, flows, flowUse float64
	// panicking is set if more upstreams fail than accept flows.
	panicking bool
	times     []priorityMean
}

// priorityMean is the mean of the logarithms of the service times of one priority.
type priorityMean struct {
	priority uint8
	sum      float64
	n        int
}

// room returns the means of a service.
func (c *Core) room(now time.Duration, service uint64) *serviceRoom {
	m := c.rooms[service]
	if m == nil {
		m = &serviceRoom{at: -roomInterval}
		c.rooms[service] = m
	}
	if now-m.at >= roomInterval {
		m.update(now, c.settings.DataCentre, c.roster.byService[service])
	}
	return m
}

func (m *serviceRoom) update(now time.Duration, dataCentre string, agents []*agent) {
	*m = serviceRoom{at: now, near: m.near[:0], far: m.far[:0], times: m.times[:0]}
	failing := 0
	for _, a := range agents {
		switch {
		case a.isFailing():
			failing++
		case !a.acceptsFlows():
		case a.DataCentre == dataCentre:
			m.near = append(m.near, a)
		default:
			m.far = append(m.far, a)
		}
		if a.trust(now) > 0 {
			m.addTimes(a)
		}
	}
	m.panicking = failing > len(m.near)+len(m.far)
	m.sumUse(now, agents)
}

// addTimes adds an agent's service times to the means.
func (m *serviceRoom) addTimes(a *agent) {
	for _, t := range a.status.Load.Times {
		if t.Mean <= 0 {
			continue
		}
		mean := m.timeOf(t.Priority)
		if mean == nil {
			m.times = append(m.times, priorityMean{priority: t.Priority})
			mean = &m.times[len(m.times)-1]
		}
		mean.sum += math.Log(t.Mean.Seconds())
		mean.n++
	}
}

func (m *serviceRoom) timeOf(priority uint8) *priorityMean {
	for i := range m.times {
		if m.times[i].priority == priority {
			return &m.times[i]
		}
	}
	return nil
}

// relativeTime returns the ratio of an agent's service times to the means of the service, 0
// if it has none. The means are geometric: a single agent that reports a very long or short
// time hardly moves them.
func (m *serviceRoom) relativeTime(a *agent) float64 {
	sum, n := 0.0, 0
	for _, t := range a.status.Load.Times {
		if t.Mean <= 0 {
			continue
		}
		mean := m.timeOf(t.Priority)
		sum += math.Log(t.Mean.Seconds()) - mean.sum/float64(mean.n)
		n++
	}
	if n == 0 {
		return 0
	}
	limit := math.Log(maxRelativeTime)
	return math.Exp(min(max(sum/float64(n), -limit), limit))
}

// sumUse sets the ratios of all agents, and the mean use of the service.
func (m *serviceRoom) sumUse(now time.Duration, agents []*agent) {
	work, flows, slots := 0.0, 0.0, 0.0
	for _, a := range agents {
		if a.trust(now) == 0 {
			continue
		}
		a.room.relativeTime = m.relativeTime(a)
		m.known++
		m.use += a.status.Load.Utilization
		work += a.status.Load.Utilization * a.slots() / a.relativeTime(now)
		flows += float64(a.status.Flows)
		slots += a.slots()
	}
	m.use /= float64(max(m.known, 1))
	m.flows = flows / max(slots, 1)
	m.flowUse = maxFlowUse
	if flows > 0 {
		m.flowUse = min(work/flows, maxFlowUse)
	}
}

// chooseByRoom returns the agent for a flow that stays open, nil if the flow is to be placed
// as others are.
func (c *Core) chooseByRoom(now time.Duration, w requirements, tried []*agent) *agent {
	m := c.room(now, w.service)
	if !w.long || m.known == 0 || m.panicking {
		return nil
	}
	near, leastNear := c.bestOf(now, m, m.near, nearCandidates, w, tried)
	far, leastFar := c.bestOf(now, m, m.far, farCandidates, w, tried)
	if near == nil || far != nil && leastFar < leastNear {
		return far
	}
	return near
}

// bestOf returns the agent with the lowest expected use among a few of the given ones, with
// that use.
func (c *Core) bestOf(now time.Duration, m *serviceRoom, agents []*agent, candidates int, w requirements, tried []*agent) (best *agent, least float64) {
	found, stride := 0, shortStride(len(agents))
	for offset, i := c.settings.Random.IntN(max(len(agents), 1)), 0; i < len(agents) && found < candidates; i++ {
		a := agents[(offset+i*stride)%len(agents)]
		if a.removed || !w.allows(a) || !a.acceptsFlows() || slices.Contains(tried, a) {
			continue
		}
		found++
		if load := a.expectedUse(now, m, w, c.settings); best == nil || load < least {
			best, least = a, load
		}
	}
	return best, least
}

// expectedUse returns the expected share of the upstream's slots in use, with the flows
// placed since the agent's last report and the loads for distance and state.
func (a *agent) expectedUse(now time.Duration, m *serviceRoom, w requirements, s Settings) float64 {
	perFlow := m.flowUse * a.relativeTime(now) / a.slots()
	trust := a.trust(now)
	use := trust*a.status.Load.Utilization + (1-trust)*m.use
	count := trust*float64(a.status.Flows) + (1-trust)*m.flows*a.slots()
	load := (1-countShare)*use + (countShare*count+float64(a.pending))*perFlow
	load += weightCrowded * max(0, load-crowdedUse)
	if a.DataCentre != s.DataCentre {
		load += weightFarLong
	}
	if a.status.Cold {
		load += weightCold
	}
	load += a.missedTarget(now, w.terms)
	return load + a.stateLoad(now)
}

// missedTarget returns the load added for an upstream so slow that requests miss the target
// latency of their route even if they need not wait.
func (a *agent) missedTarget(now time.Duration, terms inner.Terms) float64 {
	if a.trust(now) == 0 {
		return 0
	}
	for _, t := range a.status.Load.Times {
		if t.Priority == terms.Priority && t.Mean > 0 {
			return weightSlow * max(0, longTimes*t.Mean.Seconds()/terms.TargetLatency.Seconds()-1)
		}
	}
	return 0
}
