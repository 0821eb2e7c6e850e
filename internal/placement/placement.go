// Package placement chooses the agent of a new flow by weighted rendezvous
// hashing. It is pure: the same members and the same key give the same agent,
// at every balancer of a data centre.
package placement

import (
	"encoding/binary"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/saltbend/saltbend/internal/member"
)

// Set holds the agents of one service that may get new flows, with the share
// of each. It is immutable and safe for concurrent use.
type Set struct {
	groups []group
	panics bool
}

// group holds the agents of one share.
type group struct {
	entries []entry
	// inverse is one over the share of new flows that each agent has.
	inverse float64
}

type entry struct {
	addr netip.AddrPort
	seed uint64
}

// NewSet returns the set for a balancer at the given place. Ready agents share
// by Weight; their data centre matters as Locality tells. Draining and gone
// agents get nothing, nor do agents without an IPv4 data address.
//
// An agent gives itself weight 0 while its upstream looks unhealthy. If less
// than threshold (0 to 1) of the ready agents have a weight, health is ignored,
// as it is more likely to mislead than so many upstreams are to fail at once.
// If no agent is ready, the starting ones share: the fleet's view may be late,
// and an agent can still answer that a request was not run. Panics reports
// either case.
func NewSet(at Locality, agents []member.Member, threshold float64) *Set {
	w, panics := candidates(agents, threshold)
	return &Set{groups: groups(agents, w, at.shares(w)), panics: panics}
}

// weights holds the weight of agents by their place in the list.
type weights []weighted

type weighted struct {
	place      int
	dataCentre string
	weight     float64
}

// fullWeight is that of an agent with a warm upstream.
const fullWeight = 1000

// candidates returns the agents that share, and whether that is for want of
// better ones.
func candidates(agents []member.Member, threshold float64) (w weights, panics bool) {
	ready := inState(agents, member.StateReady)
	healthy := slices.DeleteFunc(slices.Clone(ready), func(x weighted) bool { return x.weight == 0 })
	if len(healthy) > 0 && float64(len(healthy)) >= threshold*float64(len(ready)) {
		return healthy, false
	}
	if len(ready) > 0 {
		return ready.orFull(), true
	}
	starting := inState(agents, member.StateStarting)
	return starting.orFull(), len(starting) > 0
}

func inState(agents []member.Member, state member.State) weights {
	var w weights
	for i := range agents {
		a := &agents[i]
		if a.State == state && a.Data.Addr().Is4() {
			w = append(w, weighted{place: i, dataCentre: a.DataCentre, weight: float64(max(a.Weight, 0))})
		}
	}
	return w
}

// orFull gives the full weight to agents that have none.
func (w weights) orFull() weights {
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

// groups puts the agents of one share together.
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
		a := &agents[x.place]
		i := slices.IndexFunc(out, func(g group) bool { return g.inverse == 1/s })
		if i < 0 {
			i = len(out)
			out = append(out, group{inverse: 1 / s})
		}
		out[i].entries = append(out[i].entries, entry{addr: a.Data, seed: seed(a.Control)})
	}
	return out
}

// seed identifies an agent by its control address, so that a restart moves no
// flows.
func seed(a netip.AddrPort) uint64 {
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

// Panics reports that the set holds agents that do not look well, for want of
// better ones.
func (s *Set) Panics() bool {
	return s.panics
}

// Choose returns the data address of the agent for a flow's key; ok is false
// if there is none. It allocates nothing and costs one hash per agent and one
// logarithm per group of agents with one share, if there is more than one.
func (s *Set) Choose(key uint64) (agent netip.AddrPort, ok bool) {
	if len(s.groups) == 1 {
		best, _ := s.groups[0].best(key) // all shares are equal
		return best.addr, true
	}
	first := math.Inf(1)
	var best *entry
	for i := range s.groups {
		g := &s.groups[i]
		e, hash := g.best(key)
		// The first arrival among exponential clocks, whose rates are the
		// shares, falls on each agent with just its share. Within a group, the
		// largest hash arrives first.
		if arrival := -math.Log(uniform(hash)) * g.inverse; arrival < first {
			first, best = arrival, e
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

// uniform turns 64 random bits into a number above 0 and at most 1.
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
