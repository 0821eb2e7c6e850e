// Package placement chooses the agent of a new flow by weighted rendezvous
// hashing. The choice depends only on the members and the key, so every balancer
// of a data centre chooses the same agent for the same flow.
package placement

import (
	"encoding/binary"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/saltbend/saltbend/internal/member"
)

// Set holds the agents of one service that may get new flows, each with its share
// of them. It is immutable and safe for concurrent use.
type Set struct {
	groups []group
	panics bool
}

// group holds the agents that have the same share of new flows.
type group struct {
	entries []entry
	// inverseShare is 1 divided by the share of each agent of the group.
	inverseShare float64
}

type entry struct {
	addr netip.AddrPort
	seed uint64
}

// NewSet returns the set for a balancer with the given locality. The new flows are
// distributed over the ready agents by weight and data centre, as described at
// Locality. Draining and gone agents get no new flows, nor do agents without an
// IPv4 data address.
//
// An agent reports weight 0 while its upstream seems unhealthy. If no ready agent has
// a weight above 0, or the fraction of those that have is below threshold (0 to 1),
// health is ignored and all ready agents get flows: faulty health reports are then
// more likely than the failure of so many upstreams at once. If no agent is ready, the
// starting agents get the flows: their reported state may be out of date, and an
// agent that can't serve a request can still answer that the request was not run.
// The method Panics reports whether one of these two cases holds.
func NewSet(locality Locality, agents []member.Member, threshold float64) *Set {
	w, panics := candidates(agents, threshold)
	return &Set{groups: groups(agents, w, locality.shares(w)), panics: panics}
}

// weights holds the weights of some agents of a list.
type weights []agentWeight

// agentWeight is the weight and the data centre of one agent; index is its position
// in the list of agents.
type agentWeight struct {
	index      int
	dataCentre string
	weight     float64
}

// fullWeight is the weight of an agent whose upstream is warmed up.
const fullWeight = 1000

// candidates returns the agents that may get new flows. panics is set if they
// include unhealthy or starting agents because too few are healthy or none is
// ready.
func candidates(agents []member.Member, threshold float64) (w weights, panics bool) {
	ready := inState(agents, member.StateReady)
	healthy := slices.DeleteFunc(slices.Clone(ready), func(x agentWeight) bool { return x.weight == 0 })
	if len(healthy) > 0 && float64(len(healthy)) >= threshold*float64(len(ready)) {
		return healthy, false
	}
	if len(ready) > 0 {
		return ready.replaceZeroWeights(), true
	}
	starting := inState(agents, member.StateStarting)
	return starting.replaceZeroWeights(), len(starting) > 0
}

func inState(agents []member.Member, state member.State) weights {
	var w weights
	for i := range agents {
		a := &agents[i]
		if a.State == state && a.Data.Addr().Is4() {
			w = append(w, agentWeight{index: i, dataCentre: a.DataCentre, weight: float64(max(a.Weight, 0))})
		}
	}
	return w
}

// replaceZeroWeights sets weights of 0 to fullWeight.
func (w weights) replaceZeroWeights() weights {
	for i := range w {
		if w[i].weight == 0 {
			w[i].weight = fullWeight
		}
	}
	return w
}

func (w weights) byDataCentre() map[string]float64 {
	sums := make(map[string]float64)
	total := 0.0
	for _, x := range w {
		sums[x.dataCentre] += x.weight
		total += x.weight
	}
	for d := range sums {
		sums[d] /= total
	}
	return sums
}

// groups returns the agents with a share of the new flows above 0, those with equal
// shares in one group. The parameter share holds the share of each data centre; its
// agents divide that in proportion to their weights.
func groups(agents []member.Member, w weights, share map[string]float64) []group {
	sums := make(map[string]float64)
	for _, x := range w {
		sums[x.dataCentre] += x.weight
	}
	var out []group
	for _, x := range w {
		s := share[x.dataCentre] * x.weight / sums[x.dataCentre]
		if s <= 0 {
			continue
		}
		a := &agents[x.index]
		i := slices.IndexFunc(out, func(g group) bool { return g.inverseShare == 1/s })
		if i < 0 {
			i = len(out)
			out = append(out, group{inverseShare: 1 / s})
		}
		out[i].entries = append(out[i].entries, entry{addr: a.Data, seed: agentSeed(a.Control)})
	}
	return out
}

// agentSeed returns the hash of an agent's control address. It does not change if
// the agent restarts, so a restart does not change the placement of new flows.
func agentSeed(a netip.AddrPort) uint64 {
	var b [18]byte
	ip := a.Addr().As16()
	copy(b[:], ip[:])
	binary.BigEndian.PutUint16(b[16:], a.Port())
	return xxhash.Sum64(b[:])
}

// Len returns the number of agents that may get new flows.
func (s *Set) Len() int {
	n := 0
	for i := range s.groups {
		n += len(s.groups[i].entries)
	}
	return n
}

// Panics reports whether the set includes unhealthy or starting agents because too
// few agents are healthy or none is ready.
func (s *Set) Panics() bool {
	return s.panics
}

// Choose returns the data address of the agent for a flow's key; ok is false if
// the set is empty. Choose does not allocate. It computes one hash per agent and,
// if the agents have different shares, one logarithm per group of equal shares.
func (s *Set) Choose(key uint64) (agent netip.AddrPort, ok bool) {
	if len(s.groups) == 1 {
		best, _ := s.groups[0].best(key) // all shares are equal
		return best.addr, true
	}
	earliest := math.Inf(1)
	var best *entry
	for i := range s.groups {
		g := &s.groups[i]
		e, hash := g.best(key)
		// The hash gives each agent an exponentially distributed arrival time with
		// its share as the rate. An agent then arrives first with a probability equal
		// to its share. Within a group, the agent with the largest hash arrives first.
		if arrival := -math.Log(uniform(hash)) * g.inverseShare; arrival < earliest {
			earliest, best = arrival, e
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}
	return best.addr, true
}

// best returns the agent with the largest hash of the key.
func (g *group) best(key uint64) (*entry, uint64) {
	at, largest := 0, uint64(0)
	for i := range g.entries {
		if h := mix(key ^ g.entries[i].seed); h >= largest {
			at, largest = i, h
		}
	}
	return &g.entries[at], largest
}

// uniform maps a 64-bit hash to a number above 0 and at most 1.
func uniform(h uint64) float64 {
	const scale = 1.0 / (1 << 53)
	return (float64(h>>11) + 0.5) * scale
}

// mix spreads each input bit over all output bits (the finalizer of
// SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9E3779B97F4A7C15
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}
