package gossip

import (
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/member"
)

// forwardLimit is the largest number of new records of one exchange that are
// forwarded as transitions.
const forwardLimit = 32

// isMemberNotice reports whether the action is a notice that one member joined or
// changed its state.
func isMemberNotice(a Action) bool {
	n, ok := a.(Notice)
	return ok && (n.Kind == NoticeJoined || n.Kind == NoticeState)
}

// reconcile sends a digest to one random balancer per digest period.
func (e *Engine) reconcile(now time.Time) {
	if !e.isBalancer() || now.Before(e.nextDigest) {
		return
	}
	e.nextDigest = now.Add(e.jitter(e.timing.Digest))
	to, found := e.randomPeer(now)
	if !found {
		// No peer is known. Retry soon, so that a joining process fetches the
		// table quickly.
		e.nextDigest = now.Add(e.jitter(findInterval))
		return
	}
	e.emit(SendDigest{To: to, Message: Digest{From: e.self.Control, Root: e.table.Digest().Root()}})
}

const (
	// recentlyGone is the time for which a balancer that was declared gone often
	// gets a digest; after that it rarely does.
	recentlyGone = 15 * time.Minute
	// anyBalancerOneIn: of the digests that are not sent to a balancer declared
	// gone, one in anyBalancerOneIn is sent to any balancer instead of a neighbour.
	anyBalancerOneIn = 4
	// recentlyGoneOneIn: one in recentlyGoneOneIn digests is sent to a balancer
	// declared gone within recentlyGone, if there is one.
	recentlyGoneOneIn = 2
	// goneOneIn: of the other digests, one in goneOneIn is sent to any balancer
	// declared gone, if there is one.
	goneOneIn = 8
)

// randomPeer returns the balancer for the next digest. Mostly this is a
// neighbour, to which a connection is already open. Sometimes it is any balancer,
// which repairs differences that do not spread over the sparse graph. Sometimes
// it is one that was declared gone: two halves of a fleet that have declared each
// other gone would otherwise never merge.
func (e *Engine) randomPeer(now time.Time) (netip.AddrPort, bool) {
	if gone, ok := e.pick(e.table.DeclaredGoneBalancers(now.Add(-recentlyGone))); ok && e.rand.IntN(recentlyGoneOneIn) == 0 {
		return gone, true
	}
	if gone, ok := e.pick(e.table.DeclaredGoneBalancers(time.Time{})); ok && e.rand.IntN(goneOneIn) == 0 {
		return gone, true
	}
	if near := e.neighbours(); len(near) > 0 && e.rand.IntN(anyBalancerOneIn) != 0 {
		return near[e.rand.IntN(len(near))], true
	}
	if peer, ok := e.pick(e.table.Balancers()); ok {
		return peer, true
	}
	if len(e.join) == 0 {
		return netip.AddrPort{}, false
	}
	return e.join[e.rand.IntN(len(e.join))], true
}

// pick returns a random one of the members, never the process itself.
func (e *Engine) pick(members []member.Member) (netip.AddrPort, bool) {
	members = slices.DeleteFunc(slices.Clone(members), func(m member.Member) bool { return m.Control == e.self.Control })
	if len(members) == 0 {
		return netip.AddrPort{}, false
	}
	return members[e.rand.IntN(len(members))].Control, true
}

// HandleDigest compares the sender's digest with that of this process's table
// and returns the table's bucket hashes if the digests differ.
func (e *Engine) HandleDigest(_ time.Time, d Digest) DigestReply {
	reply := DigestReply{Equal: d.Root == e.table.Digest().Root()}
	if !reply.Equal {
		reply.Buckets = e.table.Digest().Buckets()
	}
	return reply
}

// DigestDone processes the reply to a digest. It starts an exchange of the
// buckets that differ, as many as one message should carry, if the byte budget
// allows it.
func (e *Engine) DigestDone(now time.Time, from netip.AddrPort, r DigestReply) {
	if r.Equal {
		return
	}
	differ := e.table.Digest().DifferingBuckets(r.Buckets)
	if len(differ) == 0 {
		return
	}
	part := e.firstBuckets(differ)
	records := e.table.InBuckets(part)
	if !e.tryCharge(now, messageBytes+recordBytes*len(records)) {
		return
	}
	if len(part) < len(differ) {
		e.nextDigest = now.Add(findInterval)
	}
	e.emit(SendExchange{To: from, Message: Exchange{From: e.self.Control, Buckets: part, Members: records}})
}

// firstBuckets returns the buckets to exchange first: as many as one message
// should carry, chosen at random. A process that has just joined requests all of
// them, because it cannot place new flows without the table.
func (e *Engine) firstBuckets(differ []int) []int {
	if !e.tableFetched {
		return differ
	}
	e.rand.Shuffle(len(differ), func(i, j int) { differ[i], differ[j] = differ[j], differ[i] })
	perBucket := max(1, e.table.Live()/member.DigestBuckets)
	return differ[:min(len(differ), max(1, maxBatch/perBucket))]
}

// HandleExchange merges the sender's records and returns the records of the same
// buckets that the sender lacks or has in an older version.
func (e *Engine) HandleExchange(now time.Time, x Exchange) Exchange {
	sent := make(map[netip.AddrPort]member.Member, len(x.Members))
	for _, m := range x.Members {
		sent[m.Control] = m
	}
	reply := e.corrections(x.Members)
	for _, m := range e.table.InBuckets(x.Buckets) {
		if theirs, ok := sent[m.Control]; !ok || m.Supersedes(theirs) {
			reply.Members = append(reply.Members, m)
		}
	}
	e.mergeExchange(now, x)
	e.charge(now, messageBytes+recordBytes*len(reply.Members))
	return reply
}

// ExchangeDone merges the records in the reply, and sends corrections for those
// that are out of date.
func (e *Engine) ExchangeDone(now time.Time, x Exchange) {
	o := e.corrections(x.Members)
	e.mergeExchange(now, x)
	e.tableFetched = true
	if len(o.Members)+len(o.Suspicions) > 0 {
		e.emit(SendExchange{To: x.From, Message: o})
	}
}

// corrections returns corrections of records that the sender of the records has as
// live and this process has as gone. A member that announced its own departure is gone: the
// reply carries its record. A member that was declared gone may in fact be live:
// the reply carries a suspicion, so that the member is probed and can refute.
func (e *Engine) corrections(records []member.Member) Exchange {
	out := Exchange{From: e.self.Control}
	for _, m := range records {
		known, ok := e.table.Get(m.Control)
		switch {
		case !ok || known.State != member.StateGone || !known.Supersedes(m):
		case known.Declared:
			out.Suspicions = append(out.Suspicions, suspicionOf(m, e.self.Control, member.Unreachable))
		default:
			out.Members = append(out.Members, known)
		}
	}
	return out
}

// mergeExchange merges the records of an exchange. Up to forwardLimit new records
// are forwarded at once. More are not forwarded, because the other balancers
// probably have them already or get them by their own exchanges.
func (e *Engine) mergeExchange(now time.Time, x Exchange) {
	queued := e.outbox
	for _, m := range x.Members {
		e.merge(now, m)
	}
	if added := e.outbox.waiting() - queued.waiting(); added > forwardLimit {
		e.outbox = queued
		e.actions = slices.DeleteFunc(e.actions, isMemberNotice)
		e.emit(Notice{Kind: NoticeTableReceived, Count: added})
	}
	for _, s := range x.Suspicions {
		e.mergeSuspicion(now, s)
		e.scheduleProbe(now, s)
	}
}
