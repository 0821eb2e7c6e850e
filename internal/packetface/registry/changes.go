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
	// maxKeptChanges and maxKeptBytes bound the changes that are kept for others: more
	// than a release of a large service makes within the seconds that a listener may
	// be behind, and a few configurations.
	maxKeptChanges = 1024
	maxKeptBytes   = 2 << 20
)

// changes are the last changes of the store in their order. The zero value knows none.
type changes struct {
	// from is the position after which all are kept, to that up to which; they are of one
	// era.
	from, to store.Position
	items    []platform.Item
	bytes    int
}

// add keeps changes after which every one up to the position is known.
func (c *changes) add(more []platform.Item, to store.Position) {
	c.items = append(c.items, more...)
	for _, item := range more {
		c.bytes += len(item.Value)
	}
	c.to = max(c.to, to)
	for len(c.items) > maxKeptChanges || c.bytes > maxKeptBytes {
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
}

// answer returns what a listener lacks that knows every change up to a position.
func (l *changeLog) answer(after store.Position) Changes {
	if items, ok := l.changes.since(after); ok {
		return Changes{AsOf: l.changes.to, Items: items}
	}
	all := Changes{AsOf: l.shared.AsOf, Whole: true}
	all.Items = l.shared.Entries
	return all
}

func (f *Follower) serveChanges(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	f.serve(w, func() any { return f.log.Load().answer(store.Position(after)) })
}

// Listen lets the follower learn from the balancer at a control address, or watch the
// store itself if there is none.
func (f *Follower) Listen(source netip.AddrPort) {
	f.source.Store(&source)
	ring(f.news)
}

// News tells that the balancer that is listened to knows of changes.
func (f *Follower) News() { ring(f.news) }

// listensTo returns the balancer to learn from; ok is false while the store is
// watched.
func (f *Follower) listensTo() (source netip.AddrPort, ok bool) {
	if p := f.source.Load(); p != nil && p.IsValid() {
		return *p, true
	}
	return netip.AddrPort{}, false
}

// listen waits for news of a balancer and takes over the changes that it knows. On a
// hint of something newer it asks the store if the balancer does not tell of it soon.
func (f *Follower) listen(ctx context.Context, source netip.AddrPort) error {
	select {
	case <-ctx.Done():
		return nil
	case <-f.news:
	case <-f.hints:
		return f.listenAfterHint(ctx, source)
	}
	if now, ok := f.listensTo(); !ok || now != source {
		return nil // the caller's loop goes on with the other
	}
	return f.takeChanges(ctx, source)
}

func (f *Follower) listenAfterHint(ctx context.Context, source netip.AddrPort) error {
	timer := time.NewTimer(hintAfter)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return nil
	case <-f.news:
		return f.takeChanges(ctx, source)
	case <-timer.C:
		return f.readAfterHint(ctx)
	}
}

// takeChanges asks a balancer for the changes since the own listing. Where it does not
// answer, the store is read: a failing source must not keep news away.
func (f *Follower) takeChanges(ctx context.Context, source netip.AddrPort) error {
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
		f.takeWhole(answer.Items, answer.AsOf)
		return nil
	}
	f.at = answer.AsOf
	f.apply(answer.Items, answer.AsOf)
	return nil
}

// apply takes over changes of the store, from a watch or from another balancer.
func (f *Follower) apply(items []platform.Item, asOf store.Position) {
	f.report(f.listing.Apply(items, asOf))
	f.kept.add(items, asOf)
	f.takeHint() // one that came before is of these changes
	f.changed()
}

// errStopsWatching says that a watch was given up as another balancer's is shared.
var errStopsWatching = errors.New("registry: another balancer's watch is shared")
