package gossip

import (
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/member"
)

// findInterval is the least time between two searches for peers.
const findInterval = time.Second

// announce renews at the witnesses when the period is over or the process's
// own record has changed.
func (e *Engine) announce(now time.Time) {
	if now.Before(e.nextAnnounce) {
		return
	}
	e.nextAnnounce = now.Add(e.jitter(e.timing.Renew))
	e.chooseWitnesses(now)
	for _, w := range e.witnesses {
		c := e.cursors[w]
		e.do(SendAnnounce{To: w, Message: Announce{Self: e.self, Epoch: c.epoch, Cursor: c.seq}})
	}
}

// chooseWitnesses settles where the process renews.
func (e *Engine) chooseWitnesses(now time.Time) {
	next := e.candidates(now)
	if len(next) == 0 {
		e.findPeers(now)
		next = slices.DeleteFunc(slices.Clone(e.join), func(a netip.AddrPort) bool { return a == e.self.Control })
	}
	for _, old := range e.witnesses {
		if !slices.Contains(next, old) {
			delete(e.cursors, old)
		}
	}
	e.witnesses = next
}

// candidates returns the chosen witnesses among the balancers that answer.
func (e *Engine) candidates(now time.Time) []netip.AddrPort {
	usable := slices.DeleteFunc(e.table.Balancers(), func(b member.Member) bool {
		return now.Before(e.avoid[b.Control])
	})
	var out []netip.AddrPort
	for _, m := range member.Rendezvous(e.self.Control, usable, member.Witnesses) {
		out = append(out, m.Control)
	}
	return out
}

func (e *Engine) findPeers(now time.Time) {
	if now.Before(e.nextFind) {
		return
	}
	e.nextFind = now.Add(e.jitter(findInterval))
	e.do(FindPeers{})
}

// AnnounceDone takes in a balancer's answer to the renewal sent.
func (e *Engine) AnnounceDone(now time.Time, from netip.AddrPort, sent Announce, r AnnounceReply) {
	delete(e.avoid, from)
	e.cursors[from] = cursor{r.Epoch, r.Cursor, now}
	for _, m := range r.Members {
		e.merge(now, m)
	}
	if r.Suspected && sent.Self.Version == e.self.Version && e.self.State != member.StateGone {
		e.outbid(now, e.self)
	}
}

// AnnounceFailed notes that a balancer did not answer. Another one takes its
// place at once.
func (e *Engine) AnnounceFailed(now time.Time, to netip.AddrPort) {
	e.avoid[to] = now.Add(e.timing.Avoid)
	if slices.Contains(e.witnesses, to) && len(e.candidates(now)) > 0 {
		e.nextAnnounce = now
	}
}

// HandleAnnounce answers a renewal.
func (e *Engine) HandleAnnounce(now time.Time, a Announce) AnnounceReply {
	from := a.Self.Control
	e.heardFrom(now, a.Self)
	e.merge(now, a.Self)
	e.table.NoteRevision(from, a.Self.Incarnation, a.Self.Revision)
	reply := AnnounceReply{Epoch: e.self.Incarnation, Cursor: e.table.Seq()}
	if known, ok := e.table.Get(from); ok && known.Supersedes(a.Self) {
		reply.Members = append(reply.Members, known)
	}
	reply.Suspected = e.suspects.Suspected(a.Self)
	reply.Members = append(reply.Members, e.news(a)...)
	return reply
}

// news returns what changed for the sender of a renewal since its cursor.
func (e *Engine) news(a Announce) []member.Member {
	since := a.Cursor
	if a.Epoch != e.self.Incarnation {
		since = 0
	}
	var out []member.Member
	if a.Self.Role == member.RoleAgent {
		out = e.table.ServiceSince(a.Self.Service, since)
	}
	if e.table.BalancerSeq() <= since {
		return out
	}
	for _, b := range e.table.BalancersSince(since) {
		if b.State == member.StateGone {
			out = append(out, b)
		}
	}
	return append(out, member.Rendezvous(a.Self.Control, e.table.Balancers(), balancerSample)...)
}
