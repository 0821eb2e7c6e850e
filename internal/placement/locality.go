package placement

import (
	"maps"

	"github.com/saltbend/saltbend/internal/member"
)

// Locality tells where a balancer stands among the others. It is immutable.
//
// The fabric hands every balancer the same part of all new flows, so a
// data centre's balancers bring it as many flows as there are balancers. As
// long as the capacity there matches, all stay. Where it falls short, only the
// excess leaves, to the data centres with capacity to spare, in proportion to
// it. If every balancer does so, each agent gets its weight's part of all
// flows, and no more flows than needed cross between data centres.
type Locality struct {
	own string
	// arrivals is each data centre's part of all new flows.
	arrivals map[string]float64
}

// NewLocality returns the place of a balancer in the data centre own.
func NewLocality(own string, balancers []member.Member) Locality {
	return Locality{own: own, arrivals: arrivalsByDataCentre(own, balancers)}
}

// Equal reports whether both give the same shares for the same agents.
func (l Locality) Equal(o Locality) bool {
	return l.own == o.own && maps.Equal(l.arrivals, o.arrivals)
}

// shares returns the part of this balancer's new flows that goes to each data
// centre.
func (l Locality) shares(w weights) map[string]float64 {
	own, arrivals := l.own, l.arrivals
	capacity := w.byDataCentre()
	keep := min(1, capacity[own]/arrivals[own])
	out := make(map[string]float64, len(capacity))
	if keep > 0 {
		out[own] = keep
	}
	spare := 0.0
	for d := range capacity {
		spare += max(0, capacity[d]-arrivals[d])
	}
	if spare <= 0 {
		return out // capacity equals arrivals everywhere
	}
	for d := range capacity {
		if part := max(0, capacity[d]-arrivals[d]); part > 0 && d != own {
			out[d] = (1 - keep) * part / spare
		}
	}
	return out
}

// arrivalsByDataCentre returns each data centre's part of the balancers. A
// balancer that the list lacks counts as one in its own data centre.
func arrivalsByDataCentre(own string, balancers []member.Member) map[string]float64 {
	counts := make(map[string]float64)
	total := 0.0
	for i := range balancers {
		if balancers[i].State == member.StateDraining || balancers[i].State == member.StateGone {
			continue
		}
		counts[balancers[i].DataCentre]++
		total++
	}
	if counts[own] == 0 {
		counts[own]++
		total++
	}
	for d := range counts {
		counts[d] /= total
	}
	return counts
}
