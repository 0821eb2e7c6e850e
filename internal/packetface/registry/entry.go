// Package registry keeps the packet face's data in the platform's store: one entry for
// each agent, written under a lease, beside the configuration and the operators' requests
// to evacuate data centres. An agent is the process on a host with upstreams that
// receives flows; a balancer assigns flows to agents.
//
// Publisher decides which call of the store is due for the entry of an agent. Listing is a
// balancer's copy of the store's keys. Neither makes calls; EntryKeeper and Follower do. A
// seed is a balancer that the settings name as a first contact.
//
// The store numbers its changes by revisions. If it is restored from an older copy,
// revisions repeat; an era counts these restores, and a store.Position is an era with a
// revision.
package registry

import (
	"encoding/json"
	"math"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/platform"
)

// agentPrefix starts the key of each agent's entry. The rest of the key is the agent's
// address.
const agentPrefix = "saltbend/agents/"

// maxEntryBytes bounds the encoded size of an entry.
const maxEntryBytes = 1024

// Entry is what the store holds about an agent: where the agent is and what it serves. An
// entry does not identify the run of the agent's process or of its upstream, so it stays the
// same when either restarts, and balancers need no update from the store.
type Entry struct {
	Addr       netip.AddrPort `json:"addr"`
	Service    string         `json:"service"`
	DataCentre string         `json:"dc"`
	Slots      int            `json:"slots"`
	// WarmupMS is the time in milliseconds for which upstreams of the service have been
	// observed to be cold after their start, 0 if it is not known yet.
	WarmupMS int64 `json:"warmup_ms,omitempty"`
}

// maxSlots bounds the slots of an entry; no agent writes more.
const maxSlots = math.MaxUint16

// maxWarmupMS bounds the warm-up time of an entry, in milliseconds.
const maxWarmupMS = math.MaxUint16

// ErrEntry is returned for an entry that cannot be decoded or that no agent has written.
var ErrEntry = errors.New("registry: invalid entry")

func agentKey(addr netip.AddrPort) string { return agentPrefix + addr.String() }

// encode returns the entry as JSON. It cannot fail, because JSON can represent every
// value of its fields.
func (e *Entry) encode() []byte {
	text, err := json.Marshal(e)
	if err != nil {
		panic(err)
	}
	return text
}

// parseEntry decodes the entry of an agent.
func parseEntry(item platform.Item) (steer.Agent, error) {
	e, err := decodeEntry(item)
	if err != nil {
		return steer.Agent{}, err
	}
	return steer.Agent{
		Addr: e.Addr, Service: inner.ServiceID(e.Service), DataCentre: e.DataCentre, Slots: e.Slots,
		Warmup: time.Duration(e.WarmupMS) * time.Millisecond,
	}, nil
}

// decodeEntry decodes and validates an entry. Other programs may write keys with the same
// prefix, so an entry counts as an agent's only if all its fields are valid and it has a
// lease.
func decodeEntry(item platform.Item) (Entry, error) {
	if item.Lease == 0 {
		return Entry{}, errors.Wrapf(ErrEntry, "key %.80q: lease is missing", item.Key)
	}
	if len(item.Value) > maxEntryBytes {
		return Entry{}, errors.Wrapf(ErrEntry, "key %.80q: value too large, %d bytes", item.Key, len(item.Value))
	}
	var e Entry
	if err := json.Unmarshal(item.Value, &e); err != nil {
		return Entry{}, errors.Wrapf(ErrEntry, "key %.80q: %s", item.Key, err.Error())
	}
	if field := e.invalidField(item.Key); field != "" {
		return Entry{}, errors.Wrapf(ErrEntry, "key %.80q: %s is missing or invalid", item.Key, field)
	}
	return e, nil
}

// invalidField returns the name of a field whose value no agent writes under the key, or an
// empty string if all are valid.
func (e *Entry) invalidField(key string) string {
	switch {
	case !e.Addr.IsValid() || key != agentKey(e.Addr):
		return "addr"
	case e.Service == "":
		return "service"
	case e.DataCentre == "":
		return "dc"
	case e.Slots < 0 || e.Slots > maxSlots:
		return "slots"
	case e.WarmupMS < 0 || e.WarmupMS > maxWarmupMS:
		return "warmup_ms"
	}
	return ""
}
