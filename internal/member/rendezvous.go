package member

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// oddFactor makes the weight of (a, b) differ from that of (b, a); symmetric
// weights would let neighbours choose each other and fall into clusters.
const oddFactor = 0x9E3779B97F4A7C15

// Witnesses is the number of balancers that watch one member.
const Witnesses = 3

// Rendezvous returns the k members of candidates with the highest weight for
// key, highest first, leaving key itself out. Every process that knows the
// same candidates chooses the same, and a candidate that comes or goes moves
// only its own share.
func Rendezvous(key netip.AddrPort, candidates []Member, k int) []Member {
	return choose(key, candidates, k)
}

// Rank returns the place of self among the balancers of its data centre that
// are ready, from 0, in an order that differs between data centres; -1 when it
// is none of them.
func Rank(self Member, balancers []Member) int {
	rank := 0
	found := false
	key := xxhash.Sum64String(self.DataCentre) * oddFactor
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

// choose returns the k candidates other than key with the highest weights.
func choose(key netip.AddrPort, candidates []Member, k int) []Member {
	type scored struct {
		score uint64
		at    int
	}
	best := make([]scored, 0, k+1)
	from := hashAddr(key) * oddFactor
	for i := range candidates {
		if candidates[i].Control == key {
			continue
		}
		s := scored{mix(from ^ hashAddr(candidates[i].Control)), i}
		at, _ := slices.BinarySearchFunc(best, s, func(a, b scored) int {
			if a.score > b.score {
				return -1
			}
			return 1
		})
		if at == k {
			continue
		}
		best = slices.Insert(best, at, s)
		best = best[:min(len(best), k)]
	}
	out := make([]Member, len(best))
	for i, s := range best {
		out[i] = candidates[s.at]
	}
	return out
}

// mix is the finalizer of SplitMix64: it spreads every input bit.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// Neighbours returns the balancers to which self passes transitions on: its
// successor on a ring of hashes, which keeps the graph connected, and k-1
// chosen by rendezvous, which keep it shallow.
func Neighbours(self netip.AddrPort, balancers []Member, k int) []Member {
	out := Rendezvous(self, balancers, k)
	next, found := successor(self, balancers)
	if !found {
		return out
	}
	for _, m := range out {
		if m.Control == next.Control {
			return out
		}
	}
	out = out[:min(len(out), k-1)]
	return append(out, next)
}

// successor returns the balancer whose hash follows that of self, cyclically.
func successor(self netip.AddrPort, balancers []Member) (next Member, found bool) {
	from := hashAddr(self)
	var least uint64
	for _, b := range balancers {
		if b.Control == self {
			continue
		}
		distance := hashAddr(b.Control) - from
		if !found || distance < least {
			next, least, found = b, distance, true
		}
	}
	return next, found
}
