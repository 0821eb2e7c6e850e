package registry

import (
	"context"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

// A balancer that shares the watch of another one (see package watchshare) is a listener,
// and the other one is its source. The listener requests the changes since its own
// listing; the source returns them in the order in which the store made them.

const (
	changesPath = "/packet/changes"
	// minRecentChanges is the number of changes that are retained for listeners if the store
	// has fewer keys; otherwise as many changes are retained as the store has keys. For a
	// listener that lacks more changes, the full listing is the shorter answer.
	minRecentChanges = 256
	// maxRecentBytes bounds the total size of the values of the retained changes.
	maxRecentBytes = 2 << 20
)

// changes are the most recent changes of the store in their order. The zero value has
// none.
type changes struct {
	// items are all changes after the position in the field from, up to the position in
	// the field to. Both positions are of one era.
	from, to store.Position
	items    []platform.Item
	bytes    int
}

// add appends changes that are complete up to a position, and evicts the oldest ones
// beyond the bounds. keys is the number of keys in the store.
func (c *changes) add(more []platform.Item, to store.Position, keys int) {
	c.items = append(c.items, more...)
	for _, item := range more {
		c.bytes += len(item.Value)
	}
	c.to = max(c.to, to)
	for len(c.items) > max(keys, minRecentChanges) || c.bytes > maxRecentBytes {
		c.from = c.items[0].At
		c.bytes -= len(c.items[0].Value)
		c.items = c.items[1:]
	}
}

// since returns the changes after a position. ok is false if some of them have been
// evicted, or if the position is of an earlier era.
func (c *changes) since(after store.Position) (items []platform.Item, ok bool) {
	if after < c.from {
		return nil, false
	}
	for i, item := range c.items {
		if item.At > after {
			return c.items[i:], true
		}
	}
	return nil, true
}

// Changes is the answer of a source to a listener, encoded as JSON.
type Changes struct {
	// AsOf is the position up to which the answer is complete.
	AsOf store.Position
	// Whole is set if Items are all keys of the listing instead of changes.
	Whole bool
	Items []platform.Item
}

// changeLog is the newest listing with the changes that led to it, as other balancers
// receive it. It is immutable.
type changeLog struct {
	shared  *Shared
	changes changes
	// listing is the encoded answer to a request for the listing. full is the encoded answer
	// to a listener whose missing changes have been evicted.
	listing, full document
}

// all returns the full listing for a listener whose missing changes have been evicted.
func (l *changeLog) all() Changes {
	return Changes{AsOf: l.shared.AsOf, Whole: true, Items: l.shared.Entries}
}

// serveChanges answers a listener with the changes since its position, or with the full
// listing if some of these changes have been evicted.
func (f *Follower) serveChanges(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	log := f.publishedLog(w)
	if log == nil {
		return
	}
	items, ok := log.changes.since(store.Position(after))
	if !ok {
		log.full.write(w, r, func() any { return log.all() })
		return
	}
	writeUncompressed(w, Changes{AsOf: log.changes.to, Items: items})
}

// SetSource sets the source: the control address of the balancer to fetch changes from.
// With an invalid address the follower watches the store itself.
func (f *Follower) SetSource(source netip.AddrPort) {
	f.unconfirmed.Store(!source.IsValid())
	f.source.Store(&source)
	signal(f.sourceSignal)
}

// SourceChanged signals that the source has announced changes.
func (f *Follower) SourceChanged() { signal(f.sourceSignal) }

// currentSource returns the source. ok is false while the follower watches the store
// itself.
func (f *Follower) currentSource() (source netip.AddrPort, ok bool) {
	if p := f.source.Load(); p != nil && p.IsValid() {
		return *p, true
	}
	return netip.AddrPort{}, false
}

// followSource waits until the source announces changes, and fetches them. After a hint
// that something newer exists, followSource reads the store unless the source announces
// changes within hintMinWatchAge.
func (f *Follower) followSource(ctx context.Context, source netip.AddrPort) error {
	select {
	case <-ctx.Done():
		return nil
	case <-f.sourceSignal:
	case <-f.hints:
		return f.awaitSourceAfterHint(ctx, source)
	}
	if now, ok := f.currentSource(); !ok || now != source {
		return nil // Run continues with the current source
	}
	return f.fetchChanges(ctx, source)
}

// ReadStore makes a follower that waits for a source at its start read the store itself.
func (f *Follower) ReadStore() { signal(f.readStore) }

// awaitSource waits until a source is set. ok is false if the store is to be read
// instead.
func (f *Follower) awaitSource(ctx context.Context) (source netip.AddrPort, ok bool) {
	for f.AwaitSource {
		select {
		case <-ctx.Done():
			return netip.AddrPort{}, false
		case <-f.readStore:
			f.AwaitSource = false
		case <-f.sourceSignal:
		}
		if source, ok = f.currentSource(); ok {
			return source, true
		}
	}
	return netip.AddrPort{}, false
}

// awaitSourceBriefly waits up to sourceWaitTimeout for a source before the first watch. A
// snapshot exists only in a large fleet, in which a source is found soon.
func (f *Follower) awaitSourceBriefly(ctx context.Context) {
	timer := time.NewTimer(sourceWaitTimeout)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-f.sourceSignal:
			if _, ok := f.currentSource(); ok {
				signal(f.sourceSignal)
				return
			}
		}
	}
}

// sourceWaitTimeout is how long a balancer that has loaded the snapshot waits for a source.
// It is well below watchshare.StaleAfter, the time for which the loaded state counts as up
// to date.
const sourceWaitTimeout = 500 * time.Millisecond

// loadFromSource loads the first listing from the source.
func (f *Follower) loadFromSource(ctx context.Context, source netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, sourceLoadTimeout)
	defer cancel()
	var answer Changes
	if err := f.fetch(ctx, source, changesPath+"?after=0", &answer); err != nil {
		return err
	}
	if !answer.Whole {
		return errors.New("registry: source balancer returned changes instead of its full listing")
	}
	f.replaceListing(answer.Items, answer.AsOf)
	f.Log.Info("Loaded the listing from the source balancer.", "source", source.String(), "as_of", answer.AsOf, "agents", len(f.listing.agents), "config_at", f.listing.ConfigAt)
	return nil
}

// awaitSourceAfterHint fetches changes if the source announces some within
// hintMinWatchAge, and reads the store otherwise.
func (f *Follower) awaitSourceAfterHint(ctx context.Context, source netip.AddrPort) error {
	timer := time.NewTimer(hintMinWatchAge)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil
	case <-f.sourceSignal:
		return f.fetchChanges(ctx, source)
	case <-timer.C:
		return f.readAfterHint(ctx)
	}
}

// fetchChanges fetches from the source the changes since this balancer's listing. If the
// source does not answer, fetchChanges reads the store, so that a failed source does not
// delay changes.
func (f *Follower) fetchChanges(ctx context.Context, source netip.AddrPort) error {
	var answer Changes
	path := changesPath + "?after=" + strconv.FormatUint(uint64(f.listing.AsOf), 10)
	if err := f.fetch(ctx, source, path, &answer); err != nil {
		f.Log.Warn("Fetching changes from the source balancer failed; reading the store.", "source", source.String(), "error", err.Error())
		return f.read(ctx)
	}
	if answer.AsOf <= f.listing.AsOf {
		return nil
	}
	if answer.Whole {
		f.replaceListing(answer.Items, answer.AsOf)
		return nil
	}
	f.watchFrom = answer.AsOf
	f.apply(answer.Items, answer.AsOf)
	return nil
}

// apply applies changes of the store that came from a watch or from the source.
func (f *Follower) apply(items []platform.Item, asOf store.Position) {
	f.report(f.listing.Apply(items, asOf))
	f.recent.add(items, asOf, len(f.listing.entries))
	f.clearHint() // an earlier hint is about these changes
	f.deliver()
}

// errSourceAvailable is returned when a watch is cancelled because the follower has a
// source now.
var errSourceAvailable = errors.New("registry: watch cancelled to follow a source balancer")
