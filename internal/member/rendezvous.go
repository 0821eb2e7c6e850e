package member

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// asymmetryFactor makes the weight of (a, b) differ from that of (b, a). With
// symmetric weights, neighbours would choose each other and form separate
// clusters.
const asymmetryFactor = 0x9E3779B97F4A7C15

// Witnesses is the number of balancers that watch one member.
const Witnesses = 3

// Candidates are addresses among which rendezvous hashing chooses. All processes
// with the same candidates make the same choice, and adding or removing a
// candidate changes only the choices that include it. Candidates are immutable.
type Candidates struct {
	addrs  []netip.AddrPort
	hashes []uint64
}

// NewCandidates returns the addresses of the members as candidates.
func NewCandidates(members []Member) *Candidates {
	c := &Candidates{
		addrs:  make([]netip.AddrPort, len(members)),
		hashes: make([]uint64, len(members)),
	}
	for i := range members {
		c.addrs[i] = members[i].Control
		c.hashes[i] = hashAddr(members[i].Control)
	}
	return c
}

// Choose returns the k candidates with the highest weights for key, highest
// first. It omits key itself and the candidates for which skip returns true; skip
// may be nil.
func (c *Candidates) Choose(key netip.AddrPort, k int, skip func(netip.AddrPort) bool) []netip.AddrPort {
	type scored struct {
		score uint64
		at    int
	}
	best := make([]scored, 0, k+1)
	from := hashAddr(key) * asymmetryFactor
	for i, h := range c.hashes {
		score := mix(from ^ h)
		if len(best) == k && score <= best[k-1].score {
			continue
		}
		if c.addrs[i] == key || skip != nil && skip(c.addrs[i]) {
			continue
		}
		at := len(best)
		for at > 0 && best[at-1].score < score {
			at--
		}
		best = slices.Insert(best, at, scored{score, i})
		best = best[:min(len(best), k)]
	}
	out := make([]netip.AddrPort, len(best))
	for i, s := range best {
		out[i] = c.addrs[s.at]
	}
	return out
}

// IsChosen reports whether candidate is among the k chosen for key. It usually
// examines only a few candidates.
func (c *Candidates) IsChosen(key netip.AddrPort, k int, candidate netip.AddrPort) bool {
	if key == candidate {
		return false
	}
	from := hashAddr(key) * asymmetryFactor
	own := mix(from ^ hashAddr(candidate))
	higher := 0
	for i, h := range c.hashes {
		if mix(from^h) <= own || c.addrs[i] == key {
			continue
		}
		higher++
		if higher == k {
			return false
		}
	}
	return true
}

// Neighbours returns the k balancers to which self forwards transitions: its
// successor on a ring of hashes, which keeps the graph connected, and k-1
// balancers chosen by rendezvous hashing, which keep the number of hops low.
func (c *Candidates) Neighbours(self netip.AddrPort, k int) []netip.AddrPort {
	out := c.Choose(self, k, nil)
	next, found := c.successor(self)
	if !found || slices.Contains(out, next) {
		return out
	}
	return append(out[:min(len(out), k-1)], next)
}

// successor returns the candidate that follows self on the ring of hashes.
func (c *Candidates) successor(self netip.AddrPort) (next netip.AddrPort, found bool) {
	from := hashAddr(self)
	var least uint64
	for i, h := range c.hashes {
		if c.addrs[i] == self {
			continue
		}
		if distance := h - from; !found || distance < least {
			next, least, found = c.addrs[i], distance, true
		}
	}
	return next, found
}

// Rank returns the position of self, counted from 0, among the ready balancers of
// its data centre, in an order that differs between data centres. It returns -1
// if self is not one of them.
func Rank(self Member, balancers []Member) int {
	rank := 0
	found := false
	key := xxhash.Sum64String(self.DataCentre) * asymmetryFactor
	own := mix(key ^ hashAddr(self.Control))
	for _, b := range balancers {
		if b.DataCentre != self.DataCentre || b.State != StateReady {
			continue
		}
		if b.Control == self.Control {
			found = true
		} else if mix(key^hashAddr(b.Control)) > own {
			rank++
		}
	}
	if !found {
		return -1
	}
	return rank
}

// mix is the finalizer of SplitMix64. Each input bit affects all output bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
