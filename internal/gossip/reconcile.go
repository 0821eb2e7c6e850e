package gossip

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/member"
)

// passOnLimit is the number of records of one exchange up to which they are
// passed on as transitions.
const passOnLimit = 32

// reconcile compares tables with a random balancer once a period.
func (e *Engine) reconcile(now time.Time) {
	if !e.isBalancer() || now.Before(e.nextDigest) {
		return
	}
	e.nextDigest = now.Add(e.jitter(e.timing.Digest))
	to, found := e.randomPeer()
	if !found {
		// Alone: try again soon, so that a joining process learns quickly.
		e.nextDigest = now.Add(e.jitter(findInterval))
		return
	}
	e.do(SendDigest{To: to, Message: Digest{From: e.self.Control, Root: e.table.Digest().Root()}})
}

// randomPeer mostly returns a neighbour, with which a connection is open, and
// now and then any balancer, which heals what a sparse graph cannot.
func (e *Engine) randomPeer() (netip.AddrPort, bool) {
	const anyShare = 4
	from := member.Neighbours(e.self.Control, e.table.Balancers(), fanOut)
	if e.rand.IntN(anyShare) == 0 {
		from = e.table.Balancers()
	}
	peers := make([]netip.AddrPort, 0, len(from))
	for _, m := range from {
		if m.Control != e.self.Control {
			peers = append(peers, m.Control)
		}
	}
	if len(peers) == 0 {
		peers = e.join
	}
	if len(peers) == 0 {
		return netip.AddrPort{}, false
	}
	return peers[e.rand.IntN(len(peers))], true
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
	e.rand.Shuffle(len(differ), func(i, j int) { differ[i], differ[j] = differ[j], differ[i] })
	perBucket := max(1, e.table.Live()/member.DigestBuckets)
	part := differ[:min(len(differ), max(1, maxBatch/perBucket))]
	records := e.table.InBuckets(part)
	if !e.budget.AllowN(now, messageBytes+recordBytes*len(records)) {
		return
	}
	if len(part) < len(differ) {
		e.nextDigest = now.Add(findInterval)
	}
	e.do(SendExchange{To: from, Message: Exchange{From: e.self.Control, Buckets: part, Members: records}})
}

// HandleExchange merges the sender's records and returns its own of the same
// buckets, and the newer ones of those that the sender holds.
func (e *Engine) HandleExchange(now time.Time, x Exchange) Exchange {
	reply := Exchange{From: e.self.Control, Buckets: x.Buckets}
	same := make(map[netip.AddrPort]member.Member, len(x.Members))
	for _, m := range x.Members {
		same[m.Control] = m
		if known, ok := e.table.Get(m.Control); ok && known.State == member.StateGone && known.Supersedes(m) {
			reply.Members = append(reply.Members, known)
		}
	}
	for _, m := range e.table.InBuckets(x.Buckets) {
		if sent, ok := same[m.Control]; !ok || m.Supersedes(sent) {
			reply.Members = append(reply.Members, m)
		}
	}
	e.learn(now, x.Members)
	e.budget.AllowN(now, messageBytes+recordBytes*len(reply.Members))
	return reply
}

// ExchangeDone merges the other side's records.
func (e *Engine) ExchangeDone(now time.Time, x Exchange) { e.learn(now, x.Members) }

// learn merges records of an exchange. A few are passed on at once; many are
// left to the exchanges of the others, which are likely to know them.
func (e *Engine) learn(now time.Time, records []member.Member) {
	queued := len(e.pending)
	for _, m := range records {
		e.merge(now, m)
	}
	if len(e.pending)-queued > passOnLimit {
		e.pending = e.pending[:queued]
	}
}
