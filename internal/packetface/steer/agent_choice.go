package steer

import (
	"math"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/policy"
)

// Loads that are added to an agent's score when a new flow is placed, as fractions of its
// upstream's slots.
const (
	// weightFar is added for an agent in another data centre if the flow has one request,
	// which waits only if no slot is free.
	weightFar = 0.7
	// weightFarLong is added for an agent in another data centre if the flow stays open.
	weightFarLong = 0.3
	// farRequests is the minimum of the load added in the case of weightFarLong, as a
	// number of requests; it takes effect for upstreams with few slots.
	farRequests = 1.5
	// weightCold is added for a cold upstream.
	weightCold = 0.5
	// weightFlow is added for each open flow, as the load of a flow while it is idle.
	weightFlow = 0.04
	// weightUnproven is added for an agent that has received no report of its upstream
	// since the agent started. The agent gets flows once other agents have half of their
	// slots taken.
	weightUnproven = 0.5
	// weightProbation is added for an agent whose upstream is tried again after failures.
	// The agent gets flows once other agents have half of their slots taken.
	weightProbation = 0.5
	// weightFailing is added for an agent whose upstream fails its requests, in the cases
	// in which such agents may be used.
	weightFailing = 10
	// slowThreshold is the ratio of an upstream's answer time to the mean of its service
	// above which it counts as slow: the answer times of different kinds of requests
	// differ by less.
	slowThreshold = 1.8
	// weightSlow is added for each multiple of the mean by which an upstream's answer
	// time exceeds slowThreshold times the mean.
	weightSlow = 1.0
	// weightRandom bounds the random load that breaks ties, so that balancers do not all
	// choose the same agent.
	weightRandom = 0.05
	// statusDecay is the age at which a status counts for a third and the average of the
	// service for the rest. Of 20 ms, 60 ms and no decay, 20 ms gave the shortest waits
	// in BenchmarkChoices (p99 62, 71 and 218 ms at a load of 0.85).
	statusDecay = 20 * time.Millisecond
	// weightUnknown is added for an agent that has never sent a datagram. Like the agents
	// of the next two weights, it gets flows only if there is no better agent.
	weightUnknown = 100
	// weightSuspect is added for a suspected agent.
	weightSuspect = 200
	// weightDraining is added, only in the choice of a last resort, for an agent that
	// accepts no new flows, for instance because its upstream is draining.
	weightDraining = 400
)

// requirements are what a new flow requires of its agent.
type requirements struct {
	service uint64
	// long is set if the flow stays open for many requests.
	long bool
	// allowedRegions are the regions to which the flow may go; if there are none, it may
	// go to all. regions maps data centres to their regions.
	allowedRegions []string
	regions        map[string]string
	// byRoom is set if the flow is placed by the room that agents report.
	byRoom bool
	// terms are the terms of the route.
	terms inner.Terms
}

// inHomeRegion reports whether the agent is in a region to which the flow may go.
func (w *requirements) inHomeRegion(a *agent) bool {
	return len(w.allowedRegions) == 0 || slices.Contains(w.allowedRegions, w.regions[a.DataCentre])
}

// allows reports whether the flow may go to an agent's data centre.
func (w *requirements) allows(a *agent) bool { return !a.evacuation.Evacuated && w.inHomeRegion(a) }

// choose returns the best agent of a service for a new flow, nil if none may take it.
func (r *roster) choose(now time.Duration, w requirements, s Settings, tried []*agent) *agent {
	var best *agent
	least, mean, panicking := 0.0, r.means(w.service, s), r.panicking(w)
	mean.byTime = w.byRoom
	for _, a := range r.byService[w.service] {
		if !w.allows(a) || !a.acceptsFlows() && !(panicking && a.isFailing()) || slices.Contains(tried, a) {
			continue
		}
		score := a.score(now, s, w.long, mean)
		if best == nil || score < least {
			best, least = a, score
		}
	}
	return best
}

// acceptsFlows reports whether the agent's state allows new flows; an agent without a
// status yet may be tried.
func (a *agent) acceptsFlows() bool {
	switch a.status.State {
	case inner.StateReady, inner.StateUnproven, inner.StateProbation:
		return true
	}
	return a.statusAt == 0
}

// isFailing reports whether the agent's upstream fails its requests.
func (a *agent) isFailing() bool { return a.status.State == inner.StateFailing }

// panicking reports whether so many upstreams of a service fail that the service itself,
// or the requests sent to it, are more likely the cause. Failing upstreams are then used
// as well, so that the others are not overloaded.
func (r *roster) panicking(w requirements) bool {
	take, fail := 0, 0
	for _, a := range r.byService[w.service] {
		switch {
		case !w.allows(a):
		case a.isFailing():
			fail++
		case a.acceptsFlows():
			take++
		}
	}
	return fail > take
}

// lastResort returns the agent that is sent a flow that all agents have returned: the
// least loaded, a draining one only if there is no other.
func (r *roster) lastResort(now time.Duration, w requirements, s Settings) *agent {
	var best *agent
	least, mean := 0.0, r.means(w.service, s)
	for _, a := range r.byService[w.service] {
		if !w.allows(a) || a.status.State == inner.StateDown || a.status.State == inner.StateSilent || a.isSuspect(now) {
			continue
		}
		score := a.score(now, s, false, mean)
		if !a.acceptsFlows() {
			score += weightDraining
		}
		if best == nil || score < least {
			best, least = a, score
		}
	}
	return best
}

// running returns an estimate of the requests that the upstream works on: a weighted mean
// of the number in the agent's last status and the average of the service, in which the
// average weighs more the older the status is. If balancers relied on old statuses alone,
// they would all choose the same upstream.
func (a *agent) running(now time.Duration, mean float64) float64 {
	reported := float64(a.status.Running)
	age := now - a.statusAt
	trust := math.Exp(-age.Seconds() / statusDecay.Seconds())
	return trust*reported + (1-trust)*mean
}

// means are averages over the upstreams of a service that accept new flows.
type means struct {
	// running is the average number of requests that an upstream works on. answer is the
	// average time that an upstream takes to answer, 0 if answer times are to be ignored.
	running float64
	answer  time.Duration
	// byTime is set if a request counts by the service time of its upstream.
	byTime bool
}

// means returns the averages of a service.
func (r *roster) means(service uint64, s Settings) (m means) {
	running, n, answers := 0.0, 0, 0
	for _, a := range r.byService[service] {
		if !a.acceptsFlows() || a.statusAt == 0 {
			continue
		}
		running += float64(a.status.Running)
		n++
		if a.status.ResponseTime > 0 {
			m.answer += a.status.ResponseTime
			answers++
		}
	}
	m.running = running / float64(max(n, 1))
	m.answer /= time.Duration(max(answers, 1))
	if !s.Policies.On(policy.SlowUpstreams) {
		m.answer = 0
	}
	return m
}

// slownessLoad returns the load added for an upstream that takes much longer for an
// answer than the average of its service. Judged by its running requests alone, such an
// upstream looks no busier than the others until its slots are taken, and every request
// that it has by then is late.
func (m means) slownessLoad(a *agent) float64 {
	if m.answer == 0 {
		return 0
	}
	times := a.status.ResponseTime.Seconds() / m.answer.Seconds()
	return weightSlow * max(0, times-slowThreshold)
}

// distanceLoad returns the load added for an agent in another data centre, as a fraction
// of its upstream's slots.
func distanceLoad(slots float64, long bool) float64 {
	if long {
		return max(weightFarLong, farRequests/slots)
	}
	return weightFar
}

// score returns the estimated load of an agent; lower is better.
func (a *agent) score(now time.Duration, s Settings, long bool, mean means) float64 {
	slots := float64(max(int(a.status.Slots), a.Slots, 1))
	load := (a.running(now, mean.running) + float64(a.pending)) / slots
	if mean.byTime {
		load *= a.requestTime(now)
	}
	if long {
		load += weightFlow * (float64(a.status.Flows) + float64(a.pending)) / slots
	}
	if a.DataCentre != s.DataCentre {
		load += distanceLoad(slots, long)
	}
	if a.status.Cold {
		load += weightCold
	}
	load += mean.slownessLoad(a) + a.stateLoad(now)
	return load + weightRandom*s.Random.Float64()
}

// stateLoad returns the load added for the state of an agent and its upstream.
func (a *agent) stateLoad(now time.Duration) (load float64) {
	switch a.status.State {
	case inner.StateUnproven:
		load += weightUnproven
	case inner.StateProbation:
		load += weightProbation
	case inner.StateFailing:
		load += weightFailing
	}
	if a.lastReceived == 0 {
		load += weightUnknown
	}
	if a.isSuspect(now) {
		load += weightSuspect
	}
	return load
}
