package registry

import (
	"cmp"
	"slices"
	"strings"

	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/platform"
)

// Listing is a balancer's copy of what the store holds.
type Listing struct {
	agents map[string]steer.Agent
	// Config is the text of the newest configuration, ConfigRevision the
	// store's revision of it.
	Config         []byte
	ConfigRevision uint64
	// AgentsRevision is the revision of the newest entry of an agent.
	AgentsRevision uint64
}

// NewListing returns a Listing of all keys that a reading showed.
func NewListing(items []platform.Item) (*Listing, []error) {
	l := &Listing{agents: make(map[string]steer.Agent)}
	return l, l.Apply(items)
}

// Apply takes over changes in their order. Errors tell of entries that could
// not be read; they count as missing.
func (l *Listing) Apply(changes []platform.Item) (unreadable []error) {
	for _, change := range changes {
		switch {
		case change.Key == platform.ConfigKey && !change.Removed:
			l.Config, l.ConfigRevision = change.Value, change.Revision
		case !strings.HasPrefix(change.Key, agentPrefix):
		case change.Removed:
			delete(l.agents, change.Key)
		default:
			agent, err := parseEntry(change.Key, change.Value)
			if err != nil {
				delete(l.agents, change.Key)
				unreadable = append(unreadable, err)
				continue
			}
			l.agents[change.Key] = agent
			l.AgentsRevision = max(l.AgentsRevision, change.Revision)
		}
	}
	return unreadable
}

// Agents returns all agents in the order of their addresses.
func (l *Listing) Agents() []steer.Agent {
	out := make([]steer.Agent, 0, len(l.agents))
	for _, a := range l.agents {
		out = append(out, a)
	}
	slices.SortFunc(out, func(a, b steer.Agent) int { return cmp.Or(a.Addr.Compare(b.Addr)) })
	return out
}
