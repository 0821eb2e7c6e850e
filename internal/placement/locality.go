package placement

import (
	"maps"

	"github.com/saltbend/saltbend/internal/member"
)

// Locality holds a balancer's data centre and the distribution of all balancers
// over the data centres. It is immutable.
//
// The fabric, the network in front of the balancers, gives every balancer an
// equal share of all new flows, so the flows that arrive in a data centre are
// proportional to the number of its balancers. If the agents of that data centre
// have enough capacity, all these flows stay there. Otherwise only the excess goes
// to the data centres with spare capacity, in proportion to their spare
// capacities. If every balancer follows this rule, each agent gets a share of all
// flows in proportion to its weight, and the fewest possible flows cross between
// data centres.
type Locality struct {
	dataCentre string
	// arrivals is the share of all new flows that arrives in each data centre.
	arrivals map[string]float64
}

// NewLocality returns the locality of a balancer in the given data centre.
func NewLocality(dataCentre string, balancers []member.Member) Locality {
	return Locality{dataCentre: dataCentre, arrivals: arrivalsByDataCentre(dataCentre, balancers)}
}

// Equal reports whether l and o give the same shares for the same agents.
func (l Locality) Equal(o Locality) bool {
	return l.dataCentre == o.dataCentre && maps.Equal(l.arrivals, o.arrivals)
}

// shares returns the share of this balancer's new flows that goes to each data
// centre.
func (l Locality) shares(w weights) map[string]float64 {
	own, arrivals := l.dataCentre, l.arrivals
	capacity := w.byDataCentre()
	localShare := min(1, capacity[own]/arrivals[own])
	out := make(map[string]float64, len(capacity))
	if localShare > 0 {
		out[own] = localShare
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
			out[d] = (1 - localShare) * part / spare
		}
	}
	return out
}

// arrivalsByDataCentre returns the fraction of the balancers that is in each data
// centre. Draining and gone balancers do not count. If no balancer of
// ownDataCentre is left, that data centre counts as having one: this
// balancer, which may be missing from its own list.
func arrivalsByDataCentre(ownDataCentre string, balancers []member.Member) map[string]float64 {
	counts := make(map[string]float64)
	total := 0.0
	for i := range balancers {
		if balancers[i].State == member.StateDraining || balancers[i].State == member.StateGone {
			continue
		}
		counts[balancers[i].DataCentre]++
		total++
	}
	if counts[ownDataCentre] == 0 {
		counts[ownDataCentre]++
		total++
	}
	for d := range counts {
		counts[d] /= total
	}
	return counts
}
