package registry

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

// This file reads and writes the snapshot: a key of the store that holds the whole listing
// in compressed form, for balancers that start.
//
// After a simultaneous loss of power all balancers start within half a second, and none
// of them finds another one that is up. If each of them read all entries, the traffic on
// the store's link would grow with the number of balancers times the number of agents: 304
// balancers that each read 678 agents transfer 87 MB, which takes 0.7 s at 1 Gbit/s, during
// which no flow is placed. A snapshot has a twentieth of the size of the entries and takes
// one call; a second call returns the changes since the snapshot.
//
// A balancer whose watch others share writes the snapshot at intervals if something has
// changed. There is a snapshot only if reading all keys takes more than one call.

const (
	// snapshotKey is the key of the snapshot.
	snapshotKey = "saltbend/listing"
	// snapshotMinEntries is the number of entries from which a snapshot is written: the
	// store returns some 500 in one call.
	snapshotMinEntries = 500
	// snapshotInterval is the minimum time between two snapshots. Even with snapshotSpread
	// added, a store that retains 20 s of history can return the changes since the last
	// snapshot.
	snapshotInterval = 8 * time.Second
	// snapshotSpread is the maximum random delay that is added to snapshotInterval, so that
	// one balancer writes the snapshot and the others receive it as a change.
	snapshotSpread = 4 * time.Second
	// maxSnapshotBytes bounds the size of the compressed snapshot. It allows for 20,000
	// agents.
	maxSnapshotBytes = 900 << 10
	// maxListingText bounds the size of the snapshot's uncompressed entries. It allows for
	// 20,000 agents.
	maxListingText = 16 << 20
)

// errSnapshot is returned if the value of snapshotKey is not a valid snapshot.
var errSnapshot = errors.New("registry: unreadable snapshot")

var (
	snapshotsWritten  = metrics.NewCounter(`saltbend_packet_snapshots_total{outcome="written"}`)
	snapshotsUsed     = metrics.NewCounter(`saltbend_packet_snapshots_total{outcome="used"}`)
	snapshotsUnusable = metrics.NewCounter(`saltbend_packet_snapshots_total{outcome="useless"}`)
)

// snapshot describes the snapshot in the store.
type snapshot struct {
	// at is the position of the last change of snapshotKey, 0 if no change is known.
	// covers is the position up to which the snapshot contains every change.
	at, covers store.Position
	// newest is the position of the last change of any other key.
	newest store.Position
	// due is the earliest time for the next snapshot.
	due time.Time
}

// stale reports whether there are changes that the snapshot lacks.
func (s *snapshot) stale() bool { return s.newest > s.covers }

// encodeSnapshot returns the value of a snapshot: the revision up to which it contains
// every change, and the compressed entries.
func encodeSnapshot(s Shared) ([]byte, error) {
	entries, err := compress(s.Entries)
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint64(nil, s.AsOf.Revision()), entries...), nil
}

// decodeSnapshot decodes the value of a snapshot. Its revisions belong to the era of the
// answer that returned it, because the value is part of the history that the store has in
// that era.
func decodeSnapshot(item platform.Item) (s Shared, err error) {
	if len(item.Value) < 8 {
		return Shared{}, errSnapshot
	}
	unzip, err := gzip.NewReader(bytes.NewReader(item.Value[8:]))
	if err != nil {
		return Shared{}, errors.Wrap(errSnapshot, err.Error())
	}
	if err := json.NewDecoder(io.LimitReader(unzip, maxListingText)).Decode(&s.Entries); err != nil {
		return Shared{}, errors.Wrap(errSnapshot, err.Error())
	}
	era := item.At.Era()
	s.AsOf = store.At(era, binary.BigEndian.Uint64(item.Value))
	if s.AsOf >= item.At {
		return Shared{}, errors.Wrapf(errSnapshot, "as of %s, which is not before its write at %s", s.AsOf, item.At)
	}
	for i := range s.Entries {
		s.Entries[i].At = store.At(era, s.Entries[i].At.Revision())
	}
	return s, nil
}

// readSnapshot returns a listing built from the snapshot and the changes since.
func (f *Follower) readSnapshot(ctx context.Context) (*Listing, []error, error) {
	item, now, err := f.Store.Get(ctx, snapshotKey)
	if err != nil {
		return nil, nil, err
	}
	shared, err := decodeSnapshot(item)
	if err != nil {
		return nil, nil, err
	}
	from := shared.AsOf
	if item.At.Revision() == from.Revision()+1 {
		from = item.At // nothing changed between the listing and its snapshot, so the store need not have that history
	}
	listing, unreadable := NewListing(shared.Entries, from)
	if now == from {
		return listing, unreadable, nil // no change since the snapshot
	}
	changes, asOf, err := f.Store.Watch(ctx, allKeys, from, confirmWait)
	if err != nil {
		return nil, nil, err
	}
	if !asOf.SameEra(from) {
		return nil, nil, errors.Wrapf(store.ErrUnavailable, "registry: changes at %s are of another era than the snapshot at %s", asOf, from)
	}
	unreadable = append(unreadable, listing.Apply(f.filterSnapshot(changes), asOf)...)
	return listing, unreadable, nil
}

// loadFromSnapshot loads the listing from the snapshot and the changes since. It reports
// whether there is a usable snapshot.
func (f *Follower) loadFromSnapshot(ctx context.Context) bool {
	listing, unreadable, err := f.readSnapshot(ctx)
	if errors.Is(err, store.ErrNotFound) {
		return false
	}
	if err != nil {
		snapshotsUnusable.Inc()
		f.Log.Info("Snapshot not used.", "error", err.Error())
		return false
	}
	snapshotsUsed.Inc()
	f.report(unreadable)
	f.listing, f.watchFrom = listing, listing.AsOf
	f.recent = changes{from: f.watchFrom, to: f.watchFrom}
	f.noteEra(summary{})
	f.Log.Info("Snapshot read.", "as_of", f.watchFrom, "agents", len(listing.agents), "config_at", listing.ConfigAt)
	f.clearHint()
	f.deliver()
	return true
}

// filterSnapshot returns the changes without those of the snapshot's key, which only
// starting balancers need, and updates what is known of the snapshot.
func (f *Follower) filterSnapshot(changes []platform.Item) []platform.Item {
	others := changes[:0:0]
	for _, c := range changes {
		if c.Key == snapshotKey {
			f.snapshot.update(c)
			continue
		}
		f.snapshot.newest = max(f.snapshot.newest, c.At)
		others = append(others, c)
	}
	return others
}

// update records a change of the snapshot's key.
func (s *snapshot) update(c platform.Item) {
	s.at, s.covers = c.At, 0
	if !c.Removed && len(c.Value) >= 8 {
		s.covers = store.At(c.At.Era(), binary.BigEndian.Uint64(c.Value))
	}
	s.due = time.Now().Add(snapshotInterval + rand.N(snapshotSpread))
}

// writeSnapshot writes the snapshot if it is due. A listener, or a balancer whose watch
// nobody shares, leaves the snapshot to other balancers.
func (f *Follower) writeSnapshot(ctx context.Context) {
	s := &f.snapshot
	if _, listens := f.currentSource(); listens || f.listing == nil || !s.stale() || time.Now().Before(s.due) || !f.isShared() {
		return
	}
	if !f.listing.wantsSnapshot() {
		return
	}
	s.due = time.Now().Add(snapshotInterval + rand.N(snapshotSpread))
	text, err := encodeSnapshot(f.listing.Shared())
	if err != nil || len(text) > maxSnapshotBytes {
		f.Log.Warn("Snapshot is too large or can't be encoded.", "bytes", len(text), "entries", len(f.listing.entries))
		return
	}
	at, err := f.Store.Apply(ctx, platform.Write{Key: snapshotKey, Expected: s.at, Value: text})
	switch {
	case err == nil:
		snapshotsWritten.Inc()
		f.Log.Info("Snapshot written.", "at", at, "as_of", f.listing.AsOf, "entries", len(f.listing.entries), "bytes", len(text))
	case !errors.Is(err, store.ErrConflict): // on a conflict another balancer has written the snapshot
		f.Log.Warn("Snapshot not written.", "as_of", f.listing.AsOf, "error", err.Error())
	}
}

// wantsSnapshot reports whether the listing is large and all its entries are of the
// current era. Entries retained from an earlier era are not in the store.
func (l *Listing) wantsSnapshot() bool {
	if len(l.entries) < snapshotMinEntries || !l.Settled() {
		return false
	}
	for _, entry := range l.entries {
		if !entry.At.SameEra(l.AsOf) {
			return false
		}
	}
	return true
}
