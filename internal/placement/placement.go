// Package placement chooses the agent of a new flow by weighted rendezvous
// hashing. It is pure: the same members and the same key give the same agent,
// at every balancer of a data centre.
package placement

import (
	"encoding/binary"
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/saltbend/saltbend/internal/member"
)

// Set holds the agents of one service that may get new flows, with the share
// of each. It is immutable and safe for concurrent use.
type Set struct {
	entries []entry
	panics  bool
}

type entry struct {
	addr netip.AddrPort
	seed uint64
	// inverse is one over the agent's share of new flows.
	inverse float64
}

// NewSet returns the set for a balancer in the data centre own. Draining and
// gone agents get nothing, nor do agents without an IPv4 data address. Ready agents share by Weight; their data centre
// matters as shares tells. If no ready agent has a weight, all ready and
// starting agents share equally: the fleet's view may be wrong, and an agent
// can still answer that a request was not run. Panics reports that case.
func NewSet(own string, balancers, agents []member.Member) *Set {
	ready := weightOfReady(agents)
	if len(ready) > 0 {
		return &Set{entries: entries(agents, ready, shares(own, balancers, ready))}
	}
	last := weightOfLastResort(agents)
	return &Set{entries: entries(agents, last, shares(own, balancers, last)), panics: len(last) > 0}
}

// weights holds the weight of agents by their place in the list.
type weights []weighted

type weighted struct {
	place      int
	dataCentre string
	weight     float64
}

func weightOfReady(agents []member.Member) weights {
	var w weights
	for i := range agents {
		a := &agents[i]
		if a.State == member.StateReady && a.Weight > 0 && a.Data.Addr().Is4() {
			w = append(w, weighted{place: i, dataCentre: a.DataCentre, weight: float64(a.Weight)})
		}
	}
	return w
}

func weightOfLastResort(agents []member.Member) weights {
	var w weights
	for i := range agents {
		a := &agents[i]
		known := a.State == member.StateReady || a.State == member.StateStarting
		if known && a.Data.Addr().Is4() {
			w = append(w, weighted{place: i, dataCentre: a.DataCentre, weight: 1})
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

func entries(agents []member.Member, w weights, share map[string]float64) []entry {
	sums := make(map[string]float64)
	for _, x := range w {
		sums[x.dataCentre] += x.weight
	}
	var out []entry
	for _, x := range w {
		s := share[x.dataCentre] * x.weight / sums[x.dataCentre]
		a := &agents[x.place]
		if s <= 0 {
			continue
		}
		out = append(out, entry{addr: a.Data, seed: seed(a.Control), inverse: 1 / s})
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
	return len(s.entries)
}

// Panics reports that no agent is known to be ready and that the set holds the
// others for want of better.
func (s *Set) Panics() bool {
	return s.panics
}

// Choose returns the data address of the agent for a flow's key; ok is false
// if there is none. It costs one hash and one logarithm per agent and
// allocates nothing.
func (s *Set) Choose(key uint64) (agent netip.AddrPort, ok bool) {
	best := math.Inf(1)
	at := -1
	for i := range s.entries {
		e := &s.entries[i]
		// The first arrival among exponential clocks, whose rates are the
		// shares, falls on each agent with just its share.
		if arrival := exponential(mix(key^e.seed)) * e.inverse; arrival < best {
			best, at = arrival, i
		}
	}
	if at < 0 {
		return netip.AddrPort{}, false
	}
	return s.entries[at].addr, true
}

// exponential turns 64 random bits into a sample with mean 1.
func exponential(h uint64) float64 {
	const scale = 1.0 / (1 << 53)
	return -math.Log((float64(h>>11) + 0.5) * scale)
}

// mix spreads each input bit over all output bits (the finalizer of
// SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9E3779B97F4A7C15
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}
