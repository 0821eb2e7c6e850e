package control

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/adopt"
	"github.com/saltbend/saltbend/internal/event"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/record"
	"github.com/saltbend/saltbend/internal/seed"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/internal/wait"
)

// Events about seeds.
const (
	EventSeedTaken event.Kind = "seed-lease-taken"
	EventSeedLost  event.Kind = "seed-lease-lost"
)

// storeTimeout limits one call to the store. It does not apply to watches.
const storeTimeout = 3 * time.Second

// seedRecord is the value of a seed's key in the store: the process that holds
// the lease.
type seedRecord struct {
	Control     netip.AddrPort `json:"control"`
	Incarnation uint64         `json:"incarnation"`
}

// parseSeedRecord parses and validates the value of a seed's key.
func parseSeedRecord(value []byte) (seedRecord, error) {
	var h seedRecord
	if err := json.Unmarshal(value, &h); err != nil {
		return h, errors.Wrap(err, "control: seed record")
	}
	if !validAddr(h.Control) {
		return h, errInvalid
	}
	return h, nil
}

// seedState is the state of the process's lease as a seed. The goroutine that owns the
// control state uses it.
type seedState struct {
	machine *seed.Machine
	value   []byte
	held    bool
	stop    context.CancelFunc // ends the watch
}

func newSeedState(n *Node) seedState {
	self := n.options.Self
	value, _ := json.Marshal(seedRecord{self.Control, self.Incarnation}) // cannot fail with plain fields
	return seedState{machine: seed.New(n.rand, n.options.SeedLease), value: value}
}

// runStoreTasks starts the calls to the store that are due.
func (n *Node) runStoreTasks(now time.Time) {
	if n.options.Store == nil {
		return
	}
	n.readUntilServing(now)
	if n.finder.requested {
		n.findPeers(now)
	}
	if n.options.Self.Role != member.RoleBalancer {
		return
	}
	n.applyLease(now)
	if a := n.seeding.machine.Decide(now, n.seedInput(now)); a.Kind != seed.None {
		go n.seedCall(a)
	}
}

// seedInput returns the input for the next decision about the lease.
func (n *Node) seedInput(now time.Time) seed.Input {
	self := n.engine.Self()
	in := seed.Input{Rank: -1, Age: seed.Stale}
	if self.State == member.StateReady {
		in.Rank = member.Rank(self, n.engine.Table().Balancers())
	}
	if r := n.adopt.Reading(now); r != nil {
		in.Age = r.Age
	}
	return in
}

// applyLease starts watching the configuration when the process gets the lease,
// and stops when it loses it.
func (n *Node) applyLease(now time.Time) {
	s := &n.seeding
	held := s.machine.Holding(now)
	if held == s.held {
		return
	}
	s.held = held
	if !held {
		s.stop()
		n.recordEvent(EventSeedLost, n.options.Self.DataCentre)
		return
	}
	ctx, cancel := context.WithCancel(n.ctx)
	s.stop = cancel
	n.recordEvent(EventSeedTaken, n.options.Self.DataCentre)
	go n.watchConfig(ctx)
}

// seedCall makes one call to the store about the lease.
func (n *Node) seedCall(a seed.Action) {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	sent := n.options.Now()
	key := seed.Key(n.options.Self.DataCentre, a.Slot)
	var entry store.Entry
	var err error
	switch a.Kind {
	case seed.Claim, seed.Extend:
		entry, err = n.options.Store.Swap(ctx, key, n.seeding.value, a.Revision, n.seeding.machine.Lease())
	case seed.Inspect:
		entry, err = n.options.Store.Get(ctx, key)
	case seed.Release:
		err = n.options.Store.Delete(ctx, key, a.Revision)
	}
	result := n.seedResult(a, entry, err)
	n.post(func(now time.Time) {
		n.recordStoreContact(now, err)
		n.seeding.machine.Done(now, sent, a, result, entry.Revision)
		if a.Kind == seed.Claim && result != seed.Unavailable {
			// Other holders may belong to a part of the fleet that this process has not
			// joined yet. Search for them: of two processes that claim a slot, the later
			// one finds the record of the earlier one.
			n.finder.requested = true
		}
	})
	if result == seed.Held {
		// Use a new timeout: the first call may have used up its own if the store is
		// slow.
		reading, done := context.WithTimeout(n.ctx, storeTimeout)
		defer done()
		n.readConfig(reading)
	}
}

// seedResult returns the result of a call about the lease.
func (n *Node) seedResult(a seed.Action, entry store.Entry, err error) seed.Result {
	switch {
	case err == nil && a.Kind == seed.Inspect:
		h, parseErr := parseSeedRecord(entry.Value)
		if parseErr == nil && h.Control == n.options.Self.Control && h.Incarnation == n.options.Self.Incarnation {
			return seed.Held
		}
		return seed.Taken
	case err == nil && a.Kind == seed.Release, errors.Is(err, store.ErrNotFound):
		return seed.Free
	case err == nil:
		return seed.Held
	case errors.Is(err, store.ErrConflict):
		return seed.Taken
	case errors.Is(err, store.ErrUnavailable):
		return seed.Unavailable
	}
	return seed.Unknown
}

// recordStoreContact records whether the store answered, and when it last did.
func (n *Node) recordStoreContact(now time.Time, err error) {
	reached := err == nil || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrConflict)
	n.store.Reachable = reached
	if reached {
		n.store.LastContact = now
	}
}

// readConfig reads the configuration from the store once.
func (n *Node) readConfig(ctx context.Context) {
	sent := n.options.Now()
	entry, err := n.options.Store.Get(ctx, record.Key)
	n.post(func(now time.Time) { n.handleReading(now, sent, entry, err) })
}

// handleReading processes the outcome of a read of the configuration.
func (n *Node) handleReading(now, sent time.Time, entry store.Entry, err error) {
	n.recordStoreContact(now, err)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return
	}
	if err == nil {
		n.adoptValue(entry.Value, entry.Revision)
	}
	n.adopt.RecordReading(adopt.Reading{Revision: entry.Revision, Age: now.Sub(sent)}, now)
}

// watchConfig adopts each change of the configuration in the store until ctx
// ends.
func (n *Node) watchConfig(ctx context.Context) {
	backoff := storeBackoff()
	random := newRand(n.options.Self)
	after := n.revision()
	for ctx.Err() == nil {
		entry, err := n.options.Store.Watch(ctx, record.Key, after)
		if err != nil {
			_ = wait.For(ctx, backoff.Next(random)) // the loop condition checks ctx
			continue
		}
		backoff.Reset()
		after = entry.Revision
		// The age of the answer is unknown, so it does not count as a reading.
		n.post(func(now time.Time) {
			n.recordStoreContact(now, nil)
			n.adoptValue(entry.Value, entry.Revision)
		})
	}
}

// storeBackoff returns the back-off between calls to the store.
func storeBackoff() seed.Backoff { return seed.Backoff{Min: time.Second, Max: 30 * time.Second} }
