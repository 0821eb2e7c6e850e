package role

import (
	"cmp"
	"net/netip"

	"github.com/VictoriaMetrics/metrics"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/policy"
	"github.com/saltbend/saltbend/internal/packetface/watchshare"
)

// This file sends and receives the datagrams with which balancers share watches of the
// store (package watchshare), and sets the source from which the follower receives store
// changes.

var (
	watchRequests    = metrics.NewCounter(`saltbend_packet_watch_requests_total`)
	rejectedMessages = metrics.NewCounter(`saltbend_packet_watch_unreadable_total`)
)

// updatesByPosition counts the store updates of other balancers by their store position
// compared with this balancer's.
var updatesByPosition = map[string]*metrics.Counter{
	"more": metrics.NewCounter(`saltbend_packet_watch_news_total{knows="more"}`),
	"same": metrics.NewCounter(`saltbend_packet_watch_news_total{knows="same"}`),
	"less": metrics.NewCounter(`saltbend_packet_watch_news_total{knows="less"}`),
}

// sourceChanges counts how often a balancer took another balancer as its source (true) or
// began to watch the store itself (false).
var sourceChanges = map[bool]*metrics.Counter{
	true:  metrics.NewCounter(`saltbend_packet_watch_turns_total{to="listen"}`),
	false: metrics.NewCounter(`saltbend_packet_watch_turns_total{to="watch"}`),
}

// fromPeer handles a datagram of another balancer; it reports whether the datagram is of
// a kind that balancers send. Balancers send from the port on which they receive, so
// datagrams from other ports are rejected.
func (b *balancer) fromPeer(from netip.AddrPort, datagram []byte) bool {
	kind := inner.KindOf(datagram)
	if kind != inner.KindWatchRequest && kind != inner.KindStoreUpdate {
		return false
	}
	if from.Port() != b.env.Host.InnerPorts[0] {
		rejectedMessages.Inc()
		return true
	}
	now := b.clock()
	if kind == inner.KindWatchRequest {
		watchRequests.Inc()
		request, err := inner.ParseWatchRequest(datagram)
		if err != nil {
			rejectedMessages.Inc()
			return true
		}
		b.sendWatchShare(b.watchShare.HandleWatchRequest(now, from.Addr(), request))
		return true
	}
	update, err := inner.ParseStoreUpdate(datagram)
	if err != nil {
		rejectedMessages.Inc()
		return true
	}
	b.sendWatchShare(b.watchShare.HandleStoreUpdate(now, from.Addr(), update))
	b.updateSource()
	b.countUpdate(from.Addr(), update)
	return true
}

// countUpdate counts a store update by its position compared with this balancer's. When the
// source first reports a lower position than this balancer has, countUpdate logs that; the
// follower ignores what such a source sends.
func (b *balancer) countUpdate(from netip.Addr, update inner.StoreUpdate) {
	switch order := cmp.Compare(update.AsOf, b.knownUpTo); {
	case order > 0:
		updatesByPosition["more"].Inc()
	case order == 0:
		updatesByPosition["same"].Inc()
	default:
		updatesByPosition["less"].Inc()
		if from == b.source && b.laggingSource != from {
			b.log.Info("Source has fewer store changes than this balancer.", "source", from.String(), "as_of", update.AsOf, "own_as_of", b.knownUpTo)
			b.laggingSource = from
		}
		return
	}
	b.laggingSource = netip.Addr{}
}

// tickWatchShare does the periodic work of sharing watches. mu must be held.
func (b *balancer) tickWatchShare() {
	now := b.clock()
	if !b.env.Policies.On(policy.SharedWatches) {
		b.follower.ReadStore()
		return
	}
	b.sendWatchShare(b.watchShare.Tick(now, b.core.Balancers()))
	b.updateSource()
	if b.watchShare.ShouldReadStore(now) {
		b.follower.ReadStore()
	}
}

// sendWatchShare sends datagrams to other balancers. mu must be held.
func (b *balancer) sendWatchShare(messages []watchshare.Send) {
	for _, m := range messages {
		to := netip.AddrPortFrom(m.To, b.env.Host.InnerPorts[0])
		if m.StoreUpdate == nil {
			send(b.agents, to, inner.AppendWatchRequest(nil, m.WatchRequest))
			continue
		}
		send(b.agents, to, inner.AppendStoreUpdate(nil, m.StoreUpdate))
	}
}

// updateSource passes a changed source to the follower, and informs the follower if the
// source has changes that this balancer lacks. mu must be held.
func (b *balancer) updateSource() {
	source, listens := b.watchShare.Source()
	if listens {
		b.storeAnswered.Store(int64(b.watchShare.Confirmed()))
	}
	if source != b.source {
		before := b.source
		b.source = source
		sourceChanges[listens].Inc()
		b.follower.SetSource(b.controlAddress(source))
		if listens {
			b.log.Info("Receiving store changes from another balancer.", "source", source.String(), "before", before.String())
		} else {
			b.log.Info("Watching the store directly.", "before", before.String())
		}
	}
	if b.watchShare.Behind() {
		b.follower.SourceChanged()
	}
}

// hasListeners reports whether other balancers receive store changes from this one.
func (b *balancer) hasListeners() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.watchShare.Listeners(b.clock()) > 0
}

// seedHosts returns the hosts of the seeds.
func seedHosts(seeds []netip.AddrPort) []netip.Addr {
	hosts := make([]netip.Addr, len(seeds))
	for i, seed := range seeds {
		hosts[i] = seed.Addr()
	}
	return hosts
}
