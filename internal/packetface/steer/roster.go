package steer

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/search"
	"github.com/saltbend/saltbend/internal/store"
)

// roster holds all agents.
type roster struct {
	agents    map[netip.AddrPort]*agent
	byService map[uint64][]*agent
	list      []*agent
	// byID are the agents by their numbers, nil for a number in free, which may be
	// given again.
	byID []*agent
	free []search.ID
	// absentCount is how many agents were absentCount at the last tick.
	absentCount int
	// removed are agents that were forgotten.
	removed map[netip.AddrPort]removedAgent
	// firstListAt is when the firstListAt list of the store's era came, 0 for not yet.
	firstListAt time.Duration
	// warmups are the longest that entries of a service tell.
	warmups map[uint64]time.Duration
	// estimates are the same by what agents have told of upstreams that started before them.
	estimates map[uint64]estimate
	// age is how new the list is, newest the highest position of an entry that
	// an agent has told of.
	age            ListAge
	newestReported store.Position
}

// ListAge is how new a list of agents is, in the store's positions.
type ListAge struct {
	// AsOf is the position up to which every change is in the list.
	AsOf store.Position
	// Newest is the highest position of an entry that the list has held. It
	// differs less often than AsOf, which rises with every other change too, so
	// it is what processes tell each other.
	Newest store.Position
	// Relisting tells that the store came back from a copy lately: agents whose entries
	// it lost may be missing.
	Relisting bool
}

// max returns the newest of both; the one with the higher AsOf, or else o, tells whether
// agents may be missing.
func (l ListAge) max(o ListAge) ListAge {
	out := ListAge{AsOf: max(l.AsOf, o.AsOf), Newest: max(l.Newest, o.Newest), Relisting: o.Relisting}
	if l.AsOf > o.AsOf {
		out.Relisting = l.Relisting
	}
	return out
}

// outdated reports whether an agent has told of an entry that the list may lack.
func (r *roster) outdated() bool { return r.newestReported > r.age.AsOf }

// removedAgent is an agent that was forgotten, and until when it is remembered.
type removedAgent struct {
	Agent
	until time.Duration
}

func newRoster() roster {
	return roster{agents: map[netip.AddrPort]*agent{}, byService: map[uint64][]*agent{}, removed: map[netip.AddrPort]removedAgent{}, warmups: map[uint64]time.Duration{}, estimates: map[uint64]estimate{}}
}

func (r *roster) add(a *agent) {
	r.assignID(a)
	r.agents[a.Addr] = a
	r.byService[a.Service] = append(r.byService[a.Service], a)
	r.list = append(r.list, a)
}

// assignID gives an agent a assignID that no other has.
func (r *roster) assignID(a *agent) {
	if last := len(r.free) - 1; last >= 0 {
		a.id, r.free = r.free[last], r.free[:last]
		r.byID[a.id] = a
		return
	}
	a.id = search.ID(len(r.byID))
	r.byID = append(r.byID, a)
}

// remove drops an agent; no search may know its number any more.
func (r *roster) remove(a *agent) {
	same := func(other *agent) bool { return other == a }
	a.removed = true
	r.byID[a.id] = nil
	r.free = append(r.free, a.id)
	delete(r.agents, a.Addr)
	r.byService[a.Service] = slices.DeleteFunc(r.byService[a.Service], same)
	r.list = slices.DeleteFunc(r.list, same)
}

// servesAll reports whether each of the services has an agent.
func (r *roster) servesAll(services []uint64) bool {
	for _, service := range services {
		if len(r.byService[service]) == 0 {
			return false
		}
	}
	return true
}

// slots returns how many slots the agent's upstream has, as far as is known: the store
// keeps what the life before reported, and the upstreams of a service are alike.
func (r *roster) slots(a *agent) uint16 {
	known := max(int(a.status.Slots), a.Slots)
	for _, sibling := range r.byService[a.Service] {
		if known > 0 {
			break
		}
		known = max(int(sibling.status.Slots), sibling.Slots)
	}
	return uint16(min(known, math.MaxUint16))
}
