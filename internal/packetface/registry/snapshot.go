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

// A snapshot of the listing in the store, for balancers that start.
//
// The load it is made for: a common loss of power, after which all balancers start within
// half a second and know no other that is up. If each read all entries, the store's link
// would carry balancers times agents: 304 readings of 678 agents are 87 MB, 0.7 s at 1
// Gbit/s, in which no flow is placed. A snapshot is a twentieth of that, in one call; the
// changes since come with a second one.
//
// A balancer that others rely on writes it once a while when something has changed. It
// is kept only where a reading takes more than one call.

const (
	// snapshotKey is the key of the snapshot.
	snapshotKey = "saltbend/listing"
	// snapshotMinEntries is the number of entries from which on there is one: the store tells
	// some 500 in one call.
	snapshotMinEntries = 500
	// snapshotInterval is the time between two snapshots, spread by snapshotSpread so that
	// one balancer writes it and the others hear of that. A store that keeps the history
	// of 20 s can then tell what has changed since.
	snapshotInterval  = 8 * time.Second
	snapshotSpread = 4 * time.Second
	// maxSnapshotBytes bounds its compressed and its plain text: 20,000 agents.
	maxSnapshotBytes = 900 << 10
	maxListingText   = 16 << 20
)

// errSnapshot says that what stands under the key is no snapshot.
var errSnapshot = errors.New("registry: unreadable snapshot")

var (
	snapshotsWritten = metrics.NewCounter(`saltbend_packet_snapshots_total{outcome="written"}`)
	snapshotsUsed    = metrics.NewCounter(`saltbend_packet_snapshots_total{outcome="used"}`)
	snapshotsUnusable = metrics.NewCounter(`saltbend_packet_snapshots_total{outcome="useless"}`)
)

// snapshot is what a balancer knows of the one in the store.
type snapshot struct {
	// at is the position of the key's last change, 0 for none, covers the one up to which
	// it holds every change.
	at, covers store.Position
	// newest is the position of the last change of anything else.
	newest store.Position
	// due is when it may be written.
	due time.Time
}

// stale reports whether something has changed that the snapshot lacks.
func (s *snapshot) stale() bool { return s.newest > s.covers }

// encodeSnapshot returns the text of a listing: the revision up to which it holds every
// change, and the compressed entries.
func encodeSnapshot(s Shared) ([]byte, error) {
	entries, err := compress(s.Entries)
	if err != nil {
		return nil, err
	}
	return append(binary.BigEndian.AppendUint64(nil, s.AsOf.Revision()), entries...), nil
}

// decodeSnapshot reads the text that an answer of the store brought. Its revisions hold in
// the era of that answer, as the text is part of the history that it tells of.
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
		return Shared{}, errors.Wrapf(errSnapshot, "as of %s, written at %s", s.AsOf, item.At)
	}
	for i := range s.Entries {
		s.Entries[i].At = store.At(era, s.Entries[i].At.Revision())
	}
	return s, nil
}

// readSnapshot reads everything by way of the snapshot: that, and the changes since.
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
		from = item.At // nothing came between: the store need not have that change any more
	}
	listing, unreadable := NewListing(shared.Entries, from)
	if now == from {
		return listing, unreadable, nil // nothing has changed since
	}
	changes, asOf, err := f.Store.Watch(ctx, allKeys, from, confirmWait)
	if err != nil {
		return nil, nil, err
	}
	if !asOf.SameEra(from) {
		return nil, nil, errors.Wrapf(store.ErrUnavailable, "registry: changes at %s, snapshot at %s", asOf, from)
	}
	unreadable = append(unreadable, listing.Apply(f.filterSnapshot(changes), asOf)...)
	return listing, unreadable, nil
}

// loadFromSnapshot takes over the snapshot and the changes since; it reports whether
// there is one that can be used.
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

// filterSnapshot returns changes without those of the snapshot, and notes what they tell of
// it. Nobody else needs them.
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

// update takes over a change of the snapshot.
func (s *snapshot) update(c platform.Item) {
	s.at, s.covers = c.At, 0
	if !c.Removed && len(c.Value) >= 8 {
		s.covers = store.At(c.At.Era(), binary.BigEndian.Uint64(c.Value))
	}
	s.due = time.Now().Add(snapshotInterval + rand.N(snapshotSpread))
}

// writeSnapshot writes the snapshot when it is due; a balancer that listens, or that
// nobody relies on, leaves that to others.
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
	case !errors.Is(err, store.ErrConflict): // or another balancer was faster
		f.Log.Warn("Snapshot not written.", "as_of", f.listing.AsOf, "error", err.Error())
	}
}

// wantsSnapshot reports whether the listing is large, and all of it of one era: what is
// kept from an earlier one is not in the store.
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
