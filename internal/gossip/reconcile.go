package gossip

import (
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/member"
)

// passOnLimit is the number of records of one exchange up to which they are
// passed on as transitions.
const passOnLimit = 32

// isMemberNews reports whether the action notes one member's joining or change.
func isMemberNews(a Action) bool {
	n, ok := a.(Notice)
	return ok && (n.Kind == NoticeJoined || n.Kind == NoticeState)
}

// reconcile compares tables with a random balancer once a period.
func (e *Engine) reconcile(now time.Time) {
	if !e.isBalancer() || now.Before(e.nextDigest) {
		return
	}
	e.nextDigest = now.Add(e.jitter(e.timing.Digest))
	to, found := e.randomPeer(now)
	if !found {
		// Alone: try again soon, so that a joining process learns quickly.
		e.nextDigest = now.Add(e.jitter(findInterval))
		return
	}
	e.do(SendDigest{To: to, Message: Digest{From: e.self.Control, Root: e.table.Digest().Root()}})
}

const (
	// recentDeath is the time for which a balancer that was declared gone is
	// tried often; later it is tried rarely.
	recentDeath = 15 * time.Minute
	// anyShare, recentShare and rareShare: one in so many digests goes to any
	// balancer, to one lately declared gone, to one declared gone at all.
	anyShare    = 4
	recentShare = 2
	rareShare   = 8
)

// randomPeer mostly returns a neighbour, with which a connection is open; now
// and then any balancer, which heals what a sparse graph cannot; and now and
// then one that was declared gone, without which two halves that declared each
// other gone would never meet again.
func (e *Engine) randomPeer(now time.Time) (netip.AddrPort, bool) {
	if gone, ok := e.pick(e.table.DeclaredBalancers(now.Add(-recentDeath))); ok && e.rand.IntN(recentShare) == 0 {
		return gone, true
	}
	if gone, ok := e.pick(e.table.DeclaredBalancers(time.Time{})); ok && e.rand.IntN(rareShare) == 0 {
		return gone, true
	}
	if near := e.neighbours(); len(near) > 0 && e.rand.IntN(anyShare) != 0 {
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

// pick returns one of the members at random, but not the process itself.
func (e *Engine) pick(members []member.Member) (netip.AddrPort, bool) {
	members = slices.DeleteFunc(slices.Clone(members), func(m member.Member) bool { return m.Control == e.self.Control })
	if len(members) == 0 {
		return netip.AddrPort{}, false
	}
	return members[e.rand.IntN(len(members))].Control, true
}

// HandleDigest answers whether both sides know the same live members.
func (e *Engine) HandleDigest(_ time.Time, d Digest) DigestReply {
	reply := DigestReply{Equal: d.Root == e.table.Digest().Root()}
	if !reply.Equal {
		reply.Buckets = e.table.Digest().Buckets()
	}
	return reply
}

// DigestDone takes in the answer to a digest and exchanges the records of the
// buckets that differ, as many as the budget allows.
func (e *Engine) DigestDone(now time.Time, from netip.AddrPort, r DigestReply) {
	if r.Equal {
		return
	}
	differ := e.table.Digest().Differ(r.Buckets)
	if len(differ) == 0 {
		return
	}
	part := e.firstBuckets(differ)
	records := e.table.InBuckets(part)
	if !e.afford(now, messageBytes+recordBytes*len(records)) {
		return
	}
	if len(part) < len(differ) {
		e.nextDigest = now.Add(findInterval)
	}
	e.do(SendExchange{To: from, Message: Exchange{From: e.self.Control, Buckets: part, Members: records}})
}

// firstBuckets returns as many of the buckets as one message should carry, at
// random. A process that has just joined takes all: without the table it can
// place no new flow.
func (e *Engine) firstBuckets(differ []int) []int {
	if !e.joined {
		return differ
	}
	e.rand.Shuffle(len(differ), func(i, j int) { differ[i], differ[j] = differ[j], differ[i] })
	perBucket := max(1, e.table.Live()/member.DigestBuckets)
	return differ[:min(len(differ), max(1, maxBatch/perBucket))]
}

// HandleExchange merges the sender's records and returns its own of the same
// buckets that the sender lacks.
func (e *Engine) HandleExchange(now time.Time, x Exchange) Exchange {
	sent := make(map[netip.AddrPort]member.Member, len(x.Members))
	for _, m := range x.Members {
		sent[m.Control] = m
	}
	reply := e.objections(x.Members)
	for _, m := range e.table.InBuckets(x.Buckets) {
		if theirs, ok := sent[m.Control]; !ok || m.Supersedes(theirs) {
			reply.Members = append(reply.Members, m)
		}
	}
	e.learn(now, x)
	e.charge(now, messageBytes+recordBytes*len(reply.Members))
	return reply
}

// ExchangeDone merges the other side's records and tells it which of them are
// out of date.
func (e *Engine) ExchangeDone(now time.Time, x Exchange) {
	o := e.objections(x.Members)
	e.learn(now, x)
	e.joined = true
	if len(o.Members)+len(o.Suspicions) > 0 {
		e.do(SendExchange{To: x.From, Message: o})
	}
}

// objections returns what the other side has to know of members that it holds
// for live and this process for gone. Who announced its end is gone; who was
// declared gone here lives perhaps, and gets the chance to refute.
func (e *Engine) objections(records []member.Member) Exchange {
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

// learn merges the records of an exchange. A few are passed on at once; many
// are left to the exchanges of the others, which are likely to know them.
func (e *Engine) learn(now time.Time, x Exchange) {
	queued := e.outbox
	for _, m := range x.Members {
		e.merge(now, m)
	}
	if news := e.outbox.waiting() - queued.waiting(); news > passOnLimit {
		e.outbox = queued
		e.actions = slices.DeleteFunc(e.actions, isMemberNews)
		e.do(Notice{Kind: NoticeLearned, Count: news})
	}
	for _, s := range x.Suspicions {
		e.takeSuspicion(now, s)
		e.checkLater(now, s)
	}
}
