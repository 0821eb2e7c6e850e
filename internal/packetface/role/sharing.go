package role

import (
	"cmp"
	"net/netip"

	"github.com/VictoriaMetrics/metrics"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/policy"
	"github.com/saltbend/saltbend/internal/packetface/watchshare"
)

// A balancer's part in sharing the watches of the store: it carries the messages of
// package watchshare and tells the follower whom to learn from.

var (
	followRequests = metrics.NewCounter(`saltbend_packet_watch_requests_total`)
	strangeNews    = metrics.NewCounter(`saltbend_packet_watch_unreadable_total`)
)

// newsKnows counts news by what their sender knows, compared with this balancer.
var newsKnows = map[string]*metrics.Counter{
	"more": metrics.NewCounter(`saltbend_packet_watch_news_total{knows="more"}`),
	"same": metrics.NewCounter(`saltbend_packet_watch_news_total{knows="same"}`),
	"less": metrics.NewCounter(`saltbend_packet_watch_news_total{knows="less"}`),
}

// turns counts how often a balancer began to watch or to listen.
var turns = map[bool]*metrics.Counter{
	true:  metrics.NewCounter(`saltbend_packet_watch_turns_total{to="listen"}`),
	false: metrics.NewCounter(`saltbend_packet_watch_turns_total{to="watch"}`),
}

// fromPeer takes a message of another balancer; it reports whether the datagram was
// one. Balancers send from the port at which they are reached, others are passed over.
func (b *balancer) fromPeer(from netip.AddrPort, datagram []byte) bool {
	kind := inner.KindOf(datagram)
	if kind != inner.KindFollow && kind != inner.KindNews {
		return false
	}
	if from.Port() != b.env.Host.InnerPorts[0] {
		strangeNews.Inc()
		return true
	}
	now := b.clock()
	if kind == inner.KindFollow {
		followRequests.Inc()
		follow, err := inner.ParseFollow(datagram)
		if err != nil {
			strangeNews.Inc()
			return true
		}
		b.sendShare(b.share.Request(now, from.Addr(), follow))
		return true
	}
	news, err := inner.ParseNews(datagram)
	if err != nil {
		strangeNews.Inc()
		return true
	}
	b.sendShare(b.share.News(now, from.Addr(), news))
	b.followShare()
	b.compareNews(from.Addr(), news)
	return true
}

// compareNews counts news by whether their sender knows more of the store than this
// balancer, and tells when the source begins to know less: what it tells then is not
// taken over.
func (b *balancer) compareNews(from netip.Addr, news inner.News) {
	switch order := cmp.Compare(news.AsOf, b.listed); {
	case order > 0:
		newsKnows["more"].Inc()
	case order == 0:
		newsKnows["same"].Inc()
	default:
		newsKnows["less"].Inc()
		if from == b.source && b.lesser != from {
			b.log.Info("Source knows less than this balancer.", "source", from.String(), "as_of", news.AsOf, "own_as_of", b.listed)
			b.lesser = from
		}
		return
	}
	b.lesser = netip.Addr{}
}

// tickShare does what is due for sharing by time alone. The caller holds mu.
func (b *balancer) tickShare() {
	now := b.clock()
	if !b.env.Policies.On(policy.SharedWatches) {
		b.follower.ReadStore()
		return
	}
	b.sendShare(b.share.Tick(now, b.core.Balancers()))
	b.followShare()
	if b.share.ReadsStore(now) {
		b.follower.ReadStore()
	}
}

// sendShare sends messages to other balancers. The caller holds mu.
func (b *balancer) sendShare(messages []watchshare.Send) {
	for _, m := range messages {
		to := netip.AddrPortFrom(m.To, b.env.Host.InnerPorts[0])
		if m.News == nil {
			send(b.agents, to, inner.AppendFollow(nil, m.Follow))
			continue
		}
		send(b.agents, to, inner.AppendNews(nil, m.News))
	}
}

// followShare tells the follower whom to learn from when that has changed, and of
// news. The caller holds mu.
func (b *balancer) followShare() {
	source, listens := b.share.Source()
	if listens {
		b.storeHeard.Store(int64(b.share.Confirmed()))
	}
	if source != b.source {
		before := b.source
		b.source = source
		turns[listens].Inc()
		b.follower.Listen(b.peerAt(source))
		if listens {
			b.log.Info("Listens to another balancer's watch.", "source", source.String(), "before", before.String())
		} else {
			b.log.Info("Watches the store itself.", "before", before.String())
		}
	}
	if b.share.Behind() {
		b.follower.News()
	}
}

// shared reports whether others rely on this process's watches.
func (b *balancer) shared() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.share.Listeners(b.clock()) > 0
}

// seedHosts returns the hosts of the seeds.
func seedHosts(seeds []netip.AddrPort) []netip.Addr {
	hosts := make([]netip.Addr, len(seeds))
	for i, seed := range seeds {
		hosts[i] = seed.Addr()
	}
	return hosts
}
