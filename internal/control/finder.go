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

// EventSeedsRead tells that addresses to join at were read from the store.
const EventSeedsRead event.Kind = "seeds-read"

// finder looks for addresses to join at while no known balancer answers.
type finder struct {
	busy bool
	// requested asks for a search as soon as the back-off allows.
	requested bool
	next      time.Time
	backoff   seed.Backoff
}

// findPeers reads the seeds from the store, in one call, with back-off.
func (n *Node) findPeers(now time.Time) {
	f := &n.finder
	if n.options.Store == nil || f.busy || now.Before(f.next) {
		return
	}
	f.busy, f.requested = true, false
	go n.listSeeds()
}

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

// mergeAddrs returns a and those of b that a lacks.
func mergeAddrs(a, b []netip.AddrPort) []netip.AddrPort {
	out := slices.Clone(a)
	for _, addr := range b {
		if !slices.Contains(out, addr) {
			out = append(out, addr)
		}
	}
	return out
}
