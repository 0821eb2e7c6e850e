package steer

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/search"
	"github.com/saltbend/saltbend/internal/store"
)

// roster holds all agents and what is known of the list that they come from.
type roster struct {
	agents    map[netip.AddrPort]*agent
	byService map[uint64][]*agent
	list      []*agent
	// byID are the agents by their ids. An entry is nil if its id is in the list free and
	// may be reused.
	byID []*agent
	free []search.ID
	// absentCount is how many agents were absent at the last tick.
	absentCount int
	// removed are agents that were removed and may be restored.
	removed map[netip.AddrPort]removedAgent
	// firstListAt is when the first list of the store's present era was applied, 0 for
	// not yet.
	firstListAt time.Duration
	// warmups are, by service, the longest warm-ups in the entries of agents.
	warmups map[uint64]time.Duration
	// estimates are, by service, the warm-ups estimated from the reports of agents whose
	// upstreams started before the agents did.
	estimates map[uint64]estimate
	// age is how recent the list is, newestReported the highest position of an entry that
	// an agent has reported.
	age            ListAge
	newestReported store.Position
}

// ListAge is how recent a list of agents is, in positions of the store.
type ListAge struct {
	// AsOf is the position up to which the list contains every change.
	AsOf store.Position
	// Newest is the highest position of an entry that the list has contained. It changes
	// less often than AsOf, which rises with every other change too, so processes
	// exchange Newest.
	Newest store.Position
	// Relisting is set for some time after the store was restored from a copy: agents
	// whose entries it lost may be missing.
	Relisting bool
}

// max returns the higher positions of both. Relisting comes from the one with the higher
// AsOf, from o if they are equal.
func (l ListAge) max(o ListAge) ListAge {
	out := ListAge{AsOf: max(l.AsOf, o.AsOf), Newest: max(l.Newest, o.Newest), Relisting: o.Relisting}
	if l.AsOf > o.AsOf {
		out.Relisting = l.Relisting
	}
	return out
}

// outdated reports whether an agent has reported an entry that the list may lack.
func (r *roster) outdated() bool { return r.newestReported > r.age.AsOf }

// removedAgent is an agent that was removed, and until when it is remembered.
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

// assignID gives an agent an id that no other agent has.
func (r *roster) assignID(a *agent) {
	if last := len(r.free) - 1; last >= 0 {
		a.id, r.free = r.free[last], r.free[:last]
		r.byID[a.id] = a
		return
	}
	a.id = search.ID(len(r.byID))
	r.byID = append(r.byID, a)
}

// remove removes an agent. No search may contain its id any more, as the id is reused.
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

// slots returns how many slots the agent's upstream has, as far as is known: the larger of
// the numbers in the agent's status and in its entry in the store, which has the number
// that the previous instance reported. If both are 0, the number of another agent of the
// service is used, as the upstreams of a service are alike.
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
