// Package registry is what the packet face keeps in the platform's store: an
// entry for each agent, under a lease. Publisher decides for an agent which
// call of the store is due; Listing keeps a balancer's copy of all entries.
// Both are pure; Agent and Follower make the calls.
package registry

import (
	"encoding/json"
	"net/netip"
	"strings"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/steer"
)

// agentPrefix starts the key of each agent's entry; its address follows.
const agentPrefix = "saltbend/agents/"

// maxEntryBytes bounds the text of an entry.
const maxEntryBytes = 1024

// Entry is what the store holds about an agent. It tells where the agent is and what
// it serves, not which process or which life of its upstream: so it stays as it is
// when those start anew, and no balancer has to hear of that from the store.
type Entry struct {
	Addr       netip.AddrPort `json:"addr"`
	Service    string         `json:"service"`
	DataCentre string         `json:"dc"`
	Slots      int            `json:"slots"`
}

// ErrEntry says that an entry could not be read.
var ErrEntry = errors.New("registry: unreadable entry")

func agentKey(addr netip.AddrPort) string { return agentPrefix + addr.String() }

// encode returns the entry's text. It can't fail: all its fields have one.
func (e *Entry) encode() []byte {
	text, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return text
}

// parseEntry reads the entry of a key.
func parseEntry(key string, value []byte) (steer.Agent, error) {
	var e Entry
	if len(value) > maxEntryBytes {
		return steer.Agent{}, errors.Wrapf(ErrEntry, "%d bytes", len(value))
	}
	if err := json.Unmarshal(value, &e); err != nil {
		return steer.Agent{}, errors.Wrap(ErrEntry, err.Error())
	}
	if !e.Addr.IsValid() || key != agentKey(e.Addr) || e.Service == "" {
		return steer.Agent{}, errors.Wrapf(ErrEntry, "key %s", strings.TrimPrefix(key, agentPrefix))
	}
	return steer.Agent{
		Addr: e.Addr, Service: inner.ServiceID(e.Service), DataCentre: e.DataCentre, Slots: max(e.Slots, 0),
	}, nil
}
