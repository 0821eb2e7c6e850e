package steer

import (
	"math"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/policy"
)

// Weights of the choice, in parts of an upstream's slots.
const (
	// weightFar and weightFarLong are the extra load that an agent in the own
	// data centre may have before one elsewhere is preferred: more for a flow of
	// one request, which waits only where no slot is free, less for a flow that
	// stays. farRequests is the least for the latter in requests, for upstreams
	// with few slots.
	weightFar     = 0.7
	weightFarLong = 0.3
	farRequests   = 1.5
	// weightCold is the load that a cold upstream counts for.
	weightCold = 0.5
	// weightFlow is the load that an open flow stands for while it is idle.
	weightFlow = 0.04
	// weightUnproven and weightProbation are the extra load of an agent that has not
	// heard of its upstream since its start, or whose upstream is tried again: it gets
	// flows where others have half of their slots taken.
	weightUnproven  = 0.5
	weightProbation = 0.5
	// weightFailing is that of an agent whose upstream fails, where it may be used.
	weightFailing = 10
	// slowThreshold is how many times the mean of its siblings an upstream may take for an
	// answer: kinds of requests differ by less. weightSlow is the extra load of one that
	// takes longer, for each further mean.
	slowThreshold = 1.8
	weightSlow    = 1.0
	// weightRandom breaks ties, so that balancers do not all choose alike.
	weightRandom = 0.05
	// statusDecay is the age at which a status tells a third of what the average
	// of the service does; of 20, 60 ms and for good, 20 ms gave the shortest
	// waits in BenchmarkChoices (p99 62, 71 and 218 ms at a load of 0.85).
	statusDecay = 20 * time.Millisecond
	// An agent that was never heard, is suspected, or is leaving gets flows
	// only if none is better.
	weightUnknown  = 100
	weightSuspect  = 200
	weightDraining = 400
)

// requirements is what a new flow needs of its agent.
type requirements struct {
	service uint64
	// long tells that the flow stays for many requests.
	long bool
	// homes are the regions to which it may go, none for all; regions are those of the
	// data centres.
	homes   []string
	regions map[string]string
}

// inHomeRegion reports whether the flow may go to an agent by its region.
func (w *requirements) inHomeRegion(a *agent) bool {
	return len(w.homes) == 0 || slices.Contains(w.homes, w.regions[a.DataCentre])
}

// allows reports whether the flow may go to an agent's data centre.
func (w *requirements) allows(a *agent) bool { return !a.evacuation.Evacuated && w.inHomeRegion(a) }

// choose returns the best agent of a service for a new flow, nil if none may
// take it.
func (r *roster) choose(now time.Duration, w requirements, s Settings, tried []*agent) *agent {
	var best *agent
	least, mean, panicking := 0.0, r.means(w.service, s), r.panicking(w)
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

// acceptsFlows reports whether the agent may take new flows at all.
func (a *agent) acceptsFlows() bool {
	switch a.status.State {
	case inner.StateReady, inner.StateUnproven, inner.StateProbation:
		return true
	}
	return a.statusAt == 0
}

// isFailing reports whether the agent's upstream isFailing what it gets.
func (a *agent) isFailing() bool { return a.status.State == inner.StateFailing }

// panicking reports whether so many upstreams of a service fail that more likely the
// service does, or what is asked of it: then they are used, too, so that the others
// are not overrun.
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

// lastResort returns the agent that takes a flow when all have returned it: the
// least loaded, a leaving one only if there is no other.
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

// running returns how many requests the upstream probably works on: what its
// status said, the less so the older it is, and what the others of the service
// do on average instead. Balancers that all trusted old ones would all choose
// the same upstream.
func (a *agent) running(now time.Duration, mean float64) float64 {
	reported := float64(a.status.Running)
	age := now - a.statusAt
	trust := math.Exp(-age.Seconds() / statusDecay.Seconds())
	return trust*reported + (1-trust)*mean
}

// means are what the upstreams of a service that take new flows do on average.
type means struct {
	// running is the number of requests that one works on, answer the time that one takes
	// for an answer, 0 where that is not to count.
	running float64
	answer  time.Duration
}

// means returns those of a service.
func (r *roster) means(service uint64, s Settings) (m means) {
	running, n, answers := 0.0, 0, 0
	for _, a := range r.byService[service] {
		if !a.acceptsFlows() || a.statusAt == 0 {
			continue
		}
		running += float64(a.status.Running)
		n++
		if a.status.Answer > 0 {
			m.answer += a.status.Answer
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

// slownessLoad returns the extra load of an upstream that takes much longer for an answer
// than its siblings. By its requests alone it looks no busier than they do until its
// slots are taken, and each that it has then is late.
func (m means) slownessLoad(a *agent) float64 {
	if m.answer == 0 {
		return 0
	}
	times := a.status.Answer.Seconds() / m.answer.Seconds()
	return weightSlow * max(0, times-slowThreshold)
}

// distanceLoad returns what distance counts for, in parts of an upstream's slots.
func distanceLoad(slots float64, long bool) float64 {
	if long {
		return max(weightFarLong, farRequests/slots)
	}
	return weightFar
}

// score returns how loaded an agent looks; less is better.
func (a *agent) score(now time.Duration, s Settings, long bool, mean means) float64 {
	slots := float64(max(int(a.status.Slots), a.Slots, 1))
	load := (a.running(now, mean.running) + float64(a.pending)) / slots
	if long {
		load += weightFlow * (float64(a.status.Flows) + float64(a.pending)) / slots
	}
	if a.DataCentre != s.DataCentre {
		load += distanceLoad(slots, long)
	}
	if a.status.Cold {
		load += weightCold
	}
	load += mean.slownessLoad(a)
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
	return load + weightRandom*s.Random.Float64()
}
