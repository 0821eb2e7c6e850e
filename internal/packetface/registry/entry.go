// Package registry is what the packet face keeps in the platform's store: an
// entry for each agent, under a lease. Publisher decides for an agent which
// call of the store is due; Listing keeps a balancer's copy of all entries.
// Both are pure; Agent and Follower make the calls.
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
	// WarmupMS is how long upstreams of the service were seen to be cold after their start
	// in milliseconds, 0 for not yet.
	WarmupMS int64 `json:"warmup_ms,omitempty"`
}

// maxSlots bounds the slots that an entry may name; more is no agent's word.
const maxSlots = math.MaxUint16

// maxWarmupMS bounds the warm-up that an entry may name, in milliseconds.
const maxWarmupMS = math.MaxUint16

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

// parseEntry reads an agent's entry.
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

// decodeEntry reads an entry. Others may write under the prefix, too: an entry is an
// agent's only if it is whole and kept under a lease.
func decodeEntry(item platform.Item) (Entry, error) {
	if item.Lease == 0 {
		return Entry{}, errors.Wrapf(ErrEntry, "key %.80q: lease is missing", item.Key)
	}
	if len(item.Value) > maxEntryBytes {
		return Entry{}, errors.Wrapf(ErrEntry, "key %.80q: %d bytes", item.Key, len(item.Value))
	}
	var e Entry
	if err := json.Unmarshal(item.Value, &e); err != nil {
		return Entry{}, errors.Wrapf(ErrEntry, "key %.80q: %s", item.Key, err.Error())
	}
	if field := e.wrong(item.Key); field != "" {
		return Entry{}, errors.Wrapf(ErrEntry, "key %.80q: %s is missing or wrong", item.Key, field)
	}
	return e, nil
}

// wrong returns the name of a field that no agent writes so under the key, empty if all
// are right.
func (e *Entry) wrong(key string) string {
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
