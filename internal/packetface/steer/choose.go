package steer

import (
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
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
	// weightRandom breaks ties, so that balancers do not all choose alike.
	weightRandom = 0.05
	// An agent that was never heard, is suspected, or is leaving gets flows
	// only if none is better.
	weightUnheard  = 100
	weightSuspect  = 200
	weightDraining = 400
)

// choose returns the best agent of a service for a new flow, nil if none may
// take it.
func (r *roster) choose(now time.Duration, service uint64, s Settings, tried []*agent, long bool) *agent {
	var best *agent
	least := 0.0
	for _, a := range r.byService[service] {
		if !a.takes() || slices.Contains(tried, a) {
			continue
		}
		score := a.score(now, s, long)
		if best == nil || score < least {
			best, least = a, score
		}
	}
	return best
}

// takes reports whether the agent may take new flows at all.
func (a *agent) takes() bool {
	return a.status.State == inner.StateReady || a.statusAt == 0
}

// last returns the agent that takes a flow when all have returned it: the
// least loaded, a leaving one only if there is no other.
func (r *roster) last(now time.Duration, service uint64, s Settings) *agent {
	var best *agent
	least := 0.0
	for _, a := range r.byService[service] {
		if a.status.State == inner.StateDown || a.status.State == inner.StateSilent || a.suspect(now) {
			continue
		}
		score := a.score(now, s, false)
		if !a.takes() {
			score += weightDraining
		}
		if best == nil || score < least {
			best, least = a, score
		}
	}
	return best
}

// farness returns what distance counts for, in parts of an upstream's slots.
func farness(slots float64, long bool) float64 {
	if long {
		return max(weightFarLong, farRequests/slots)
	}
	return weightFar
}

// score returns how loaded an agent looks; less is better.
func (a *agent) score(now time.Duration, s Settings, long bool) float64 {
	slots := float64(max(int(a.status.Slots), a.Slots, 1))
	load := (float64(a.status.Running) + float64(a.pending)) / slots
	if long {
		load += weightFlow * (float64(a.status.Flows) + float64(a.pending)) / slots
	}
	if a.DataCentre != s.DataCentre {
		load += farness(slots, long)
	}
	if a.status.Cold {
		load += weightCold
	}
	if a.heard == 0 {
		load += weightUnheard
	}
	if a.suspect(now) {
		load += weightSuspect
	}
	return load + weightRandom*s.Random.Float64()
}
