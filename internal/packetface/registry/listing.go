package registry

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"

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
	// Config is the text of the newest configuration, ConfigAt the store's position of
	// it.
	Config   []byte
	ConfigAt store.Position
	// AsOf is the store's position up to which every change is known.
	AsOf store.Position
	// evacuations are the operators' requests to empty data centres.
	evacuations evacuation.Record
	// newestAgent is the highest position of an agent's entry seen.
	newestAgent store.Position
	// settledEra is the era that a balancer has noted as settled last.
	settledEra uint64
}

// Shared is what balancers tell each other of their listings.
type Shared struct {
	AsOf    store.Position
	Entries []platform.Item
}

// NewListing returns a Listing of all keys that a reading showed, and the
// store's position before the first of them was read.
func NewListing(items []platform.Item, asOf store.Position) (*Listing, []error) {
	l := emptyListing()
	return l, l.Apply(items, asOf)
}

func emptyListing() *Listing {
	return &Listing{agents: make(map[string]steer.Agent), entries: make(map[string]platform.Item)}
}

// Apply takes over changes in their order, after which every change up to the
// position is known. Errors tell of entries that no agent wrote: they change nothing of
// what is known of the agent at the address, but that its entry is to be written anew.
func (l *Listing) Apply(changes []platform.Item, asOf store.Position) (unreadable []error) {
	l.AsOf = max(l.AsOf, asOf)
	l.evacuations.Apply(evacuations(changes), asOf)
	for _, change := range changes {
		if change.Key == platform.ConfigKey && !change.Removed {
			unreadable = append(unreadable, l.applyConfig(change)...)
			continue
		}
		if change.At < l.entries[change.Key].At {
			continue // a peer has told of a newer one
		}
		switch {
		case change.Key == settledKey && !change.Removed:
			l.entries[change.Key] = change
			l.settledEra = parseEra(change.Value)
		case !strings.HasPrefix(change.Key, agentPrefix):
		case change.Removed:
			delete(l.agents, change.Key)
			delete(l.entries, change.Key)
		default:
			agent, err := parseEntry(change)
			if err != nil {
				l.markDamaged(change.Key)
				unreadable = append(unreadable, err)
				continue
			}
			l.agents[change.Key] = agent
			l.entries[change.Key] = change
			l.newestAgent = max(l.newestAgent, change.At)
		}
	}
	l.settle()
	return unreadable
}

// applyConfig takes over a configuration unless it is older than the one that is known.
func (l *Listing) applyConfig(change platform.Item) (rejected []error) {
	known := l.entries[platform.ConfigKey]
	if !replaces(change, known) {
		if change.At > known.At {
			rejected = append(rejected, errors.Wrapf(ErrOlderConfiguration, "at %s, known at %s", change.At, known.At))
		}
		return rejected
	}
	l.Config, l.ConfigAt = change.Value, change.At
	l.entries[platform.ConfigKey] = change
	return nil
}

// ErrOlderConfiguration says that the store offers a configuration that is older than
// the one that is known: it came back from a copy, and the newer one is to be written
// again.
var ErrOlderConfiguration = errors.New("registry: older configuration")

// replaces reports whether a configuration takes the place of another one. Within an
// era the store orders them. After it came back from a copy it offers what was replaced
// before, so between eras their own versions decide, and a configuration in force does
// not go back in any process, also one that starts.
func replaces(c, known platform.Item) bool {
	if !c.At.SameEra(known.At) {
		version, before := platform.ConfigurationVersion(c.Value), platform.ConfigurationVersion(known.Value)
		if version != before {
			return version > before
		}
	}
	return c.At >= known.At
}

// differences returns the changes that lead from what was known at a position to a reading of all
// keys: what is newer there, and what is missing as removed at the position of the
// reading. What is kept of an earlier era until it is written again is not missing.
func (l *Listing) differences(all []platform.Item, known, asOf store.Position) (out []platform.Item) {
	there := make(map[string]bool, len(all))
	for _, item := range all {
		there[item.Key] = true
		if item.At > known {
			out = append(out, item)
		}
	}
	for _, item := range l.Shared().Entries {
		if !there[item.Key] && item.At.SameEra(asOf) {
			out = append(out, platform.Item{Key: item.Key, At: asOf, Removed: true})
		}
	}
	slices.SortStableFunc(out, func(a, b platform.Item) int { return cmp.Compare(a.At, b.At) })
	return out
}

// Inherit keeps what the listing before this one knew and a copy of the store lacks,
// until operators have written it again.
func (l *Listing) Inherit(before *Listing) {
	if config, ok := before.entries[platform.ConfigKey]; ok {
		l.applyConfig(config) // an older one is no news
	}
	l.evacuations.Inherit(&before.evacuations)
	l.settle()
}

// Settled reports whether all that a return of the store from a copy lost has had its
// time to be written again. It is noted in the store itself, so that a process that
// starts later need not wait, and one that starts in between does.
func (l *Listing) Settled() bool { return l.settledEra == l.AsOf.Era() }

// settle drops what was kept for operators to write again, once they have had their time.
func (l *Listing) settle() {
	if l.Settled() {
		l.evacuations.Settle()
	}
}

// settledWrite returns the write that notes the listing's era as settled.
func (l *Listing) settledWrite() platform.Write {
	return platform.Write{Key: settledKey, Expected: l.entries[settledKey].At, Value: strconv.AppendUint(nil, l.AsOf.Era(), 10)}
}

// settledKey is the key of the era that was noted as settled last, as a decimal number.
const settledKey = "saltbend/settled-era"

// parseEra reads the value of settledKey, 0 for that of another writer.
func parseEra(text []byte) uint64 {
	era, err := strconv.ParseUint(string(text), 10, 64)
	if err != nil {
		return 0
	}
	return era
}

// evacuations returns the requests to empty data centres.
func (s *Shared) evacuations() (out []evacuation.Request) {
	for _, change := range evacuations(s.Entries) {
		out = append(out, change.Request)
	}
	return out
}

// markDamaged notes that an agent's entry was overwritten by another writer.
func (l *Listing) markDamaged(key string) {
	if agent, ok := l.agents[key]; ok {
		agent.Damaged = true
		l.agents[key] = agent
	}
}

// Age returns how new the list of agents is. An entry above AsOf was read before
// all that came before it.
func (l *Listing) Age() steer.ListAge {
	return steer.ListAge{AsOf: l.AsOf, Newest: min(l.newestAgent, l.AsOf), Relisting: !l.Settled()}
}

// Shared returns the configuration, the requests to empty data centres and the agents
// as the store has them.
func (l *Listing) Shared() Shared {
	all := slices.Collect(maps.Values(l.entries))
	for _, request := range l.evacuations.Requests() {
		all = append(all, platform.Item{Key: platform.EvacuationKey(request.DataCentre), At: request.At})
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
			request := evacuation.Request{DataCentre: name, At: change.At}
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
		if l.lacks(entry) {
			newer = append(newer, entry)
		}
	}
	return changed || len(newer) > 0, l.Apply(newer, other.AsOf)
}

// lacks reports whether an entry of another's listing is newer than the own one.
func (l *Listing) lacks(entry platform.Item) bool {
	known := l.entries[entry.Key]
	if entry.Key == platform.ConfigKey {
		return entry.At != known.At && replaces(entry, known)
	}
	if known.At == 0 {
		return entry.At > l.AsOf // or it is known to be gone
	}
	return entry.At > known.At
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
