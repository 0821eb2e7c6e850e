package control

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/event"
	"github.com/saltbend/saltbend/internal/seed"
)

// EventSeedsRead: addresses to join at were read from the store.
const EventSeedsRead event.Kind = "seeds-read"

// finder is the state of the search for addresses to join at. A search starts
// when no known balancer answers, or when one is requested.
type finder struct {
	busy bool
	// requested is set if a search is to start as soon as the back-off allows it.
	requested bool
	next      time.Time
	backoff   seed.Backoff
}

// findPeers reads the seeds' addresses from the store with one call, unless a
// search is running or the back-off has not elapsed.
func (n *Node) findPeers(now time.Time) {
	f := &n.finder
	if n.options.Store == nil || f.busy || now.Before(f.next) {
		return
	}
	f.busy, f.requested = true, false
	go n.listSeeds()
}

// listSeeds reads the seeds from the store and sets them as addresses to join at.
func (n *Node) listSeeds() {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	entries, err := n.options.Store.List(ctx, seed.Prefix)
	found := make([]netip.AddrPort, 0, len(entries))
	for _, e := range entries {
		if h, err := parseSeedRecord(e.Value); err == nil && h.Control != n.options.Self.Control {
			found = append(found, h.Control)
		}
	}
	n.post(func(now time.Time) {
		n.recordStoreContact(now, err)
		f := &n.finder
		f.busy = false
		f.next = now.Add(f.backoff.Next(n.rand))
		if err != nil || len(found) == 0 {
			return
		}
		n.recordEvent(EventSeedsRead, fmt.Sprintf("%d addresses", len(found)))
		n.engine.SetJoin(mergeAddrs(n.options.Join, found))
	})
}

// mergeAddrs returns the addresses in a, followed by those in b that are not in
// a.
func mergeAddrs(a, b []netip.AddrPort) []netip.AddrPort {
	out := slices.Clone(a)
	for _, addr := range b {
		if !slices.Contains(out, addr) {
			out = append(out, addr)
		}
	}
	return out
}
