package registry

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/saltbend/saltbend/internal/packetface/evacuation"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

// Listing is a balancer's copy of what the store holds.
type Listing struct {
	agents map[string]steer.Agent
	// entries are the configuration and the agents as the store has them.
	entries map[string]platform.Item
	// Config is the text of the newest configuration, ConfigRevision the
	// store's revision of it.
	Config         []byte
	ConfigRevision uint64
	// AsOf is the store's revision up to which every change is known.
	AsOf uint64
	// evacuations are the operators' requests to empty data centres.
	evacuations evacuation.Record
	// newestAgent is the highest revision of an agent's entry seen.
	newestAgent uint64
}

// Shared is what balancers tell each other of their listings.
type Shared struct {
	AsOf    uint64
	Entries []platform.Item
}

// NewListing returns a Listing of all keys that a reading showed, and the
// store's revision before the first of them was read.
func NewListing(items []platform.Item, asOf uint64) (*Listing, []error) {
	l := emptyListing()
	return l, l.Apply(items, asOf)
}

func emptyListing() *Listing {
	return &Listing{agents: make(map[string]steer.Agent), entries: make(map[string]platform.Item)}
}

// Apply takes over changes in their order, after which every change up to the
// revision is known. Errors tell of entries that no agent wrote: they change nothing of
// what is known of the agent at the address, but that its entry is to be written anew.
func (l *Listing) Apply(changes []platform.Item, asOf uint64) (unreadable []error) {
	l.AsOf = max(l.AsOf, asOf)
	l.evacuations.Apply(evacuations(changes), asOf)
	for _, change := range changes {
		if change.Revision < l.entries[change.Key].Revision {
			continue // a peer has told of a newer one
		}
		switch {
		case change.Key == platform.ConfigKey && !change.Removed:
			l.Config, l.ConfigRevision = change.Value, change.Revision
			l.entries[change.Key] = change
		case !strings.HasPrefix(change.Key, agentPrefix):
		case change.Removed:
			delete(l.agents, change.Key)
			delete(l.entries, change.Key)
		default:
			agent, err := parseEntry(change)
			if err != nil {
				l.damage(change.Key)
				unreadable = append(unreadable, err)
				continue
			}
			l.agents[change.Key] = agent
			l.entries[change.Key] = change
			l.newestAgent = max(l.newestAgent, change.Revision)
		}
	}
	return unreadable
}

// evacuations returns the requests to empty data centres.
func (s *Shared) evacuations() (out []evacuation.Request) {
	for _, change := range evacuations(s.Entries) {
		out = append(out, change.Request)
	}
	return out
}

// damage notes that an agent's entry was overwritten by another writer.
func (l *Listing) damage(key string) {
	if agent, ok := l.agents[key]; ok {
		agent.Damaged = true
		l.agents[key] = agent
	}
}

// Age returns how new the list of agents is. An entry above AsOf was read before
// all that came before it.
func (l *Listing) Age() steer.ListAge {
	return steer.ListAge{AsOf: l.AsOf, Newest: min(l.newestAgent, l.AsOf)}
}

// Shared returns the configuration, the requests to empty data centres and the agents
// as the store has them.
func (l *Listing) Shared() Shared {
	all := slices.Collect(maps.Values(l.entries))
	for _, request := range l.evacuations.Requests() {
		entry := store.Entry{Key: platform.EvacuationKey(request.DataCentre), Revision: request.Revision}
		all = append(all, platform.Item{Entry: entry})
	}
	slices.SortFunc(all, func(a, b platform.Item) int { return cmp.Compare(a.Key, b.Key) })
	return Shared{AsOf: l.AsOf, Entries: all}
}

// Evacuations returns the operators' requests to empty data centres.
func (l *Listing) Evacuations() evacuation.Record { return l.evacuations.Clone() }

// evacuations returns the changes that ask to empty a data centre or take that back.
func evacuations(changes []platform.Item) (out []evacuation.Change) {
	for _, change := range changes {
		if name, ok := platform.EvacuatedDataCentre(change.Key); ok {
			request := evacuation.Request{DataCentre: name, Revision: change.Revision}
			out = append(out, evacuation.Change{Request: request, Withdrawn: change.Removed})
		}
	}
	return out
}

// Merge takes over what is newer in another's listing. No agent is removed: what
// the other lacks may be newer than its listing. It reports whether anything
// was newer.
func (l *Listing) Merge(other Shared) (changed bool, unreadable []error) {
	changed = other.AsOf > l.AsOf
	changed = l.evacuations.Replace(other.evacuations(), other.AsOf) || changed
	var newer []platform.Item
	for _, entry := range other.Entries {
		if _, is := platform.EvacuatedDataCentre(entry.Key); is {
			continue // the record has it
		}
		if entry.Revision > l.entries[entry.Key].Revision {
			newer = append(newer, entry)
		}
	}
	return changed || len(newer) > 0, l.Apply(newer, other.AsOf)
}

// Agents returns all agents in the order of their addresses.
func (l *Listing) Agents() []steer.Agent {
	out := make([]steer.Agent, 0, len(l.agents))
	for _, a := range l.agents {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b steer.Agent) int { return a.Addr.Compare(b.Addr) })
	return out
}
