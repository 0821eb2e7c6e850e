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

// Events of seeds.
const (
	EventSeedTaken event.Kind = "seed-lease-taken"
	EventSeedLost  event.Kind = "seed-lease-lost"
)

// storeTimeout bounds one call to the store other than a watch.
const storeTimeout = 3 * time.Second

// seedRecord is the value of a seed's key.
type seedRecord struct {
	Control     netip.AddrPort `json:"control"`
	Incarnation uint64         `json:"incarnation"`
}

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

// seedState is the shell around the decisions of a seed. It belongs to the
// state's goroutine.
type seedState struct {
	machine *seed.Machine
	value   []byte
	held    bool
	stop    context.CancelFunc // ends the watch
}

func newSeedState(n *Node) seedState {
	self := n.options.Self
	value, _ := json.Marshal(seedRecord{self.Control, self.Incarnation}) // of plain fields: cannot fail
	return seedState{machine: seed.New(n.rand, n.options.SeedLease), value: value}
}

// runStoreTasks does at the store what is due.
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

// seedInput tells what the decision about the lease rests on.
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

// applyLease watches the configuration for as long as the lease is held.
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

// seedCall makes one call about the lease.
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
			// Other holders may belong to a part of the fleet not met yet. Of
			// two that claim, the later one sees the earlier.
			n.finder.requested = true
		}
	})
	if result == seed.Held {
		// A slow store may have used up the time of the first call.
		reading, done := context.WithTimeout(n.ctx, storeTimeout)
		defer done()
		n.readConfig(reading)
	}
}

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

// recordStoreContact keeps whether and when the store answered.
func (n *Node) recordStoreContact(now time.Time, err error) {
	reached := err == nil || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrConflict)
	n.store.Reachable = reached
	if reached {
		n.store.LastContact = now
	}
}

// readConfig reads the configuration once.
func (n *Node) readConfig(ctx context.Context) {
	sent := n.options.Now()
	entry, err := n.options.Store.Get(ctx, record.Key)
	n.post(func(now time.Time) { n.handleReading(now, sent, entry, err) })
}

// handleReading takes in what a read of the configuration showed.
func (n *Node) handleReading(now, sent time.Time, entry store.Entry, err error) {
	n.recordStoreContact(now, err)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return
	}
	if err == nil {
		n.adoptValue(entry.Value, entry.Revision)
	}
	n.adopt.Read(adopt.Reading{Revision: entry.Revision, Age: now.Sub(sent)}, now)
}

// watchConfig takes each change of the configuration in until ctx ends.
func (n *Node) watchConfig(ctx context.Context) {
	backoff := storeBackoff()
	random := newRand(n.options.Self)
	after := n.revision()
	for ctx.Err() == nil {
		entry, err := n.options.Store.Watch(ctx, record.Key, after)
		if err != nil {
			_ = wait.For(ctx, backoff.Next(random)) // the loop sees the end of ctx
			continue
		}
		backoff.Reset()
		after = entry.Revision
		// How old the answer is, is not known: it is no reading.
		n.post(func(now time.Time) {
			n.recordStoreContact(now, nil)
			n.adoptValue(entry.Value, entry.Revision)
		})
	}
}

func storeBackoff() seed.Backoff { return seed.Backoff{Least: time.Second, Most: 30 * time.Second} }
