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

// Listing is a balancer's copy of the store's keys.
type Listing struct {
	// agents are the valid entries of agents by their keys.
	agents map[string]steer.Agent
	// entries are the keys of the configuration, the agents and the settled era, as the
	// store has them.
	entries map[string]platform.Item
	// Config is the text of the newest configuration, ConfigAt its position in the store.
	Config   []byte
	ConfigAt store.Position
	// AsOf is the position up to which every change is known.
	AsOf store.Position
	// evacuations are the operators' requests to evacuate data centres.
	evacuations evacuation.Record
	// newestAgent is the highest position of any agent's entry that was applied.
	newestAgent store.Position
	// settledEra is the era that a balancer last recorded as settled in the store.
	settledEra uint64
}

// Shared is the form in which balancers send each other their listings, encoded as JSON.
type Shared struct {
	AsOf    store.Position
	Entries []platform.Item
}

// NewListing returns a Listing of all keys of the store, and the errors of ignored
// entries. asOf is the store's position before the first of the keys was read.
func NewListing(items []platform.Item, asOf store.Position) (*Listing, []error) {
	l := emptyListing()
	return l, l.Apply(items, asOf)
}

func emptyListing() *Listing {
	return &Listing{agents: make(map[string]steer.Agent), entries: make(map[string]platform.Item)}
}

// Apply applies changes in their order, after which every change up to asOf is known. It
// returns the errors of ignored entries. An invalid entry under the key of a known agent
// leaves the agent as it is, but marks it as damaged so that its entry is written again.
func (l *Listing) Apply(changes []platform.Item, asOf store.Position) (unreadable []error) {
	l.AsOf = max(l.AsOf, asOf)
	l.evacuations.Apply(evacuations(changes), asOf)
	for _, change := range changes {
		if change.Key == platform.ConfigKey && !change.Removed {
			unreadable = append(unreadable, l.applyConfig(change)...)
			continue
		}
		if change.At < l.entries[change.Key].At {
			continue // a newer change of the key came from a peer
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

// applyConfig applies a configuration unless the known one is newer.
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

// ErrOlderConfiguration is returned when the store has a configuration older than the
// known one. The store was restored from an older copy, and the newer configuration has
// to be written again.
var ErrOlderConfiguration = errors.New("registry: configuration older than the known one")

// replaces reports whether a configuration replaces the known one. Within an era the
// position decides. A store that was restored from an older copy has a configuration
// that had been replaced before; so between eras the version in the
// configuration decides, and no process goes back to an older configuration, not even one
// that has just started.
func replaces(c, known platform.Item) bool {
	if !c.At.SameEra(known.At) {
		version, before := platform.ConfigurationVersion(c.Value), platform.ConfigurationVersion(known.Value)
		if version != before {
			return version > before
		}
	}
	return c.At >= known.At
}

// differences returns the changes that lead from the listing to a later reading of all
// keys: keys that are newer than the known position, and missing keys as removed at the
// position of the reading. Keys retained from an earlier era until they are written again
// do not count as missing.
func (l *Listing) differences(all []platform.Item, known, asOf store.Position) (out []platform.Item) {
	present := make(map[string]bool, len(all))
	for _, item := range all {
		present[item.Key] = true
		if item.At > known {
			out = append(out, item)
		}
	}
	for _, item := range l.Shared().Entries {
		if !present[item.Key] && item.At.SameEra(asOf) {
			out = append(out, platform.Item{Key: item.Key, At: asOf, Removed: true})
		}
	}
	slices.SortStableFunc(out, func(a, b platform.Item) int { return cmp.Compare(a.At, b.At) })
	return out
}

// Inherit retains from the previous listing what a restored store lacks, until operators
// have written it again.
func (l *Listing) Inherit(before *Listing) {
	if config, ok := before.entries[platform.ConfigKey]; ok {
		l.applyConfig(config) // an older configuration is ignored without an error
	}
	l.evacuations.CarryOver(&before.evacuations)
	l.settle()
}

// Settled reports whether the era of the listing is settled: the time in which agents and
// operators write again what a restore of the store has lost is over. A balancer records
// the settled era in the store, so that a process that starts after the record was written
// need not wait for this time to pass, and one that starts earlier does wait.
func (l *Listing) Settled() bool { return l.settledEra == l.AsOf.Era() }

// settle drops the evacuations that are known only from earlier eras, if the listing's era
// is settled: the time for operators to write them again is then over.
func (l *Listing) settle() {
	if l.Settled() {
		l.evacuations.Settle()
	}
}

// settledWrite returns the write that records the listing's era as settled.
func (l *Listing) settledWrite() platform.Write {
	return platform.Write{Key: settledKey, Expected: l.entries[settledKey].At, Value: strconv.AppendUint(nil, l.AsOf.Era(), 10)}
}

// settledKey is the key of the era that was recorded last as settled, a decimal number.
const settledKey = "saltbend/settled-era"

// parseEra decodes the value of settledKey. It returns 0 for a value that no balancer
// writes.
func parseEra(text []byte) uint64 {
	era, err := strconv.ParseUint(string(text), 10, 64)
	if err != nil {
		return 0
	}
	return era
}

// evacuations returns the requests to evacuate data centres.
func (s *Shared) evacuations() (out []evacuation.Request) {
	for _, change := range evacuations(s.Entries) {
		out = append(out, change.Request)
	}
	return out
}

// markDamaged records that another program has overwritten an agent's entry.
func (l *Listing) markDamaged(key string) {
	if agent, ok := l.agents[key]; ok {
		agent.Damaged = true
		l.agents[key] = agent
	}
}

// Age returns how recent the list of agents is. An agent's entry may be newer than AsOf,
// as AsOf is the position before the first key was read; Newest is limited to AsOf.
func (l *Listing) Age() steer.ListAge {
	return steer.ListAge{AsOf: l.AsOf, Newest: min(l.newestAgent, l.AsOf), Relisting: !l.Settled()}
}

// Shared returns the listing in the form in which it is sent to other balancers: the
// entries as the store has them, and the requests to evacuate data centres.
func (l *Listing) Shared() Shared {
	all := slices.Collect(maps.Values(l.entries))
	for _, request := range l.evacuations.Requests() {
		all = append(all, platform.Item{Key: platform.EvacuationKey(request.DataCentre), At: request.At})
	}
	slices.SortFunc(all, func(a, b platform.Item) int { return cmp.Compare(a.Key, b.Key) })
	return Shared{AsOf: l.AsOf, Entries: all}
}

// Evacuations returns a copy of the operators' requests to evacuate data centres.
func (l *Listing) Evacuations() evacuation.Record { return l.evacuations.Clone() }

// evacuations returns those of the changes that request or withdraw an evacuation.
func evacuations(changes []platform.Item) (out []evacuation.Change) {
	for _, change := range changes {
		if name, ok := platform.EvacuatedDataCentre(change.Key); ok {
			request := evacuation.Request{DataCentre: name, At: change.At}
			out = append(out, evacuation.Change{Request: request, Withdrawn: change.Removed})
		}
	}
	return out
}

// Merge applies what is newer in the listing of another balancer. It removes no agent,
// because an agent that the other listing lacks may have registered after that listing was
// made. It reports whether anything was newer.
func (l *Listing) Merge(other Shared) (changed bool, unreadable []error) {
	changed = other.AsOf > l.AsOf
	changed = l.evacuations.Replace(other.evacuations(), other.AsOf) || changed
	var newer []platform.Item
	for _, entry := range other.Entries {
		if _, is := platform.EvacuatedDataCentre(entry.Key); is {
			continue // evacuations.Replace has applied it above
		}
		if l.lacks(entry) {
			newer = append(newer, entry)
		}
	}
	return changed || len(newer) > 0, l.Apply(newer, other.AsOf)
}

// lacks reports whether an entry of another balancer's listing is newer than what this
// listing knows of its key.
func (l *Listing) lacks(entry platform.Item) bool {
	known := l.entries[entry.Key]
	if entry.Key == platform.ConfigKey {
		return entry.At != known.At && replaces(entry, known)
	}
	if known.At == 0 {
		return entry.At > l.AsOf // an older entry is known to be removed
	}
	return entry.At > known.At
}

// Agents returns all agents, ordered by address.
func (l *Listing) Agents() []steer.Agent {
	out := make([]steer.Agent, 0, len(l.agents))
	for _, a := range l.agents {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b steer.Agent) int { return a.Addr.Compare(b.Addr) })
	return out
}
