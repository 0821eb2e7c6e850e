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

// A balancer that listens to another one (package watchshare) asks it for the changes
// since its own listing, in the order in which the store made them.

const (
	changesPath = "/packet/changes"
	// minRecentChanges and maxKeptBytes bound the changes that are kept for others: as many as
	// there are keys, or minRecentChanges. With more, everything would be the shorter answer.
	minRecentChanges    = 256
	maxRecentBytes = 2 << 20
)

// changes are the last changes of the store in their order. The zero value knows none.
type changes struct {
	// from is the position after which all are kept, to that up to which; they are of one
	// era.
	from, to store.Position
	items    []platform.Item
	bytes    int
}

// add keeps changes after which every one up to the position is known. keys is the number
// of keys that the store holds.
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

// since returns the changes after a position; ok is false where some are no longer kept,
// and for a position of an era before.
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

// Changes is what a balancer answers one that listens to it.
type Changes struct {
	AsOf store.Position
	// Whole tells that Items are all keys, and not changes.
	Whole bool
	Items []platform.Item
}

// changeLog is the newest listing with the changes that led to it, for others. It never
// changes.
type changeLog struct {
	shared  *Shared
	changes changes
	// listing and full are the listing as it is told to those that ask for it, and
	// to listeners that lack too much.
	listing, full document
}

// all returns the answer to a listener that lacks too much.
func (l *changeLog) all() Changes {
	return Changes{AsOf: l.shared.AsOf, Whole: true, Items: l.shared.Entries}
}

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

// Listen lets the follower learn from the balancer at a control address, or watch the
// store itself if there is none.
func (f *Follower) Listen(source netip.AddrPort) {
	f.unconfirmed.Store(!source.IsValid())
	f.source.Store(&source)
	signal(f.sourceSignal)
}

// News tells that the balancer that is listened to knows of changes.
func (f *Follower) News() { signal(f.sourceSignal) }

// currentSource returns the balancer to learn from; ok is false while the store is
// watched.
func (f *Follower) currentSource() (source netip.AddrPort, ok bool) {
	if p := f.source.Load(); p != nil && p.IsValid() {
		return *p, true
	}
	return netip.AddrPort{}, false
}

// followSource waits for news of a balancer and takes over the changes that it knows. On a
// hint of something newer it asks the store if the balancer does not tell of it soon.
func (f *Follower) followSource(ctx context.Context, source netip.AddrPort) error {
	select {
	case <-ctx.Done():
		return nil
	case <-f.sourceSignal:
	case <-f.hints:
		return f.awaitSourceAfterHint(ctx, source)
	}
	if now, ok := f.currentSource(); !ok || now != source {
		return nil // the caller's loop goes on with the other
	}
	return f.fetchChanges(ctx, source)
}

// ReadStore tells a follower that waits for a source to read the store itself.
func (f *Follower) ReadStore() { signal(f.readStore) }

// awaitSource waits until there is a balancer to listen to; ok is false where the store
// is to be read instead.
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

// awaitSourceBriefly waits a little for a balancer to listen to before the first watch: where
// there is a snapshot the fleet is large, and one is found soon.
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

// sourceWaitTimeout is well within the time for which the reading before it counts as new.
const sourceWaitTimeout = 500 * time.Millisecond

// loadFromSource takes over all that another balancer knows.
func (f *Follower) loadFromSource(ctx context.Context, source netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, sourceLoadTimeout)
	defer cancel()
	var answer Changes
	if err := f.fetch(ctx, source, changesPath+"?after=0", &answer); err != nil {
		return err
	}
	if !answer.Whole {
		return errors.New("registry: the source does not know everything")
	}
	f.replaceListing(answer.Items, answer.AsOf)
	f.Log.Info("Listing taken from the source.", "source", source.String(), "as_of", answer.AsOf, "agents", len(f.listing.agents), "config_at", f.listing.ConfigAt)
	return nil
}

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

// fetchChanges asks a balancer for the changes since the own listing. Where it does not
// answer, the store is read: a failing source must not keep news away.
func (f *Follower) fetchChanges(ctx context.Context, source netip.AddrPort) error {
	var answer Changes
	path := changesPath + "?after=" + strconv.FormatUint(uint64(f.listing.AsOf), 10)
	if err := f.fetch(ctx, source, path, &answer); err != nil {
		f.Log.Warn("Source not reached, reading the store.", "source", source.String(), "error", err.Error())
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

// apply takes over changes of the store, from a watch or from another balancer.
func (f *Follower) apply(items []platform.Item, asOf store.Position) {
	f.report(f.listing.Apply(items, asOf))
	f.recent.add(items, asOf, len(f.listing.entries))
	f.clearHint() // one that came before is of these changes
	f.deliver()
}

// errSourceAvailable says that a watch was given up as another balancer's is shared.
var errSourceAvailable = errors.New("registry: another balancer's watch is shared")
