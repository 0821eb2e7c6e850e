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
	} else {
		next = append(next, e.unjoined(now, next)...)
	}
	e.witnesses = e.keepInTouch(now, next)
}

// unjoined returns the addresses to join at that have not answered yet, without
// the chosen ones. Others may announce themselves first; who then gave up its
// own addresses could stay apart from the rest of the fleet with them.
func (e *Engine) unjoined(now time.Time, chosen []netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(e.join), func(a netip.AddrPort) bool {
		_, answered := e.cursors[a]
		return a == e.self.Control || answered || now.Before(e.avoid[a].until) || slices.Contains(chosen, a)
	})
}

// keepInTouch adds one of the former witnesses when none of the chosen has
// answered yet: they may all be behind a cut.
func (e *Engine) keepInTouch(now time.Time, next []netip.AddrPort) []netip.AddrPort {
	touched := func(a netip.AddrPort) bool { return now.Sub(e.cursors[a].at) < e.silence() }
	if slices.ContainsFunc(next, touched) {
		return next
	}
	if i := slices.IndexFunc(e.witnesses, touched); i >= 0 {
		next = append(next, e.witnesses[i])
	}
	return next
}

// shunned says until when a balancer that did not answer is passed over.
type shunned struct {
	until time.Time
	times int
}

// maxShuns bounds how often the time doubles for which a balancer is passed
// over.
const maxShuns = 3

// shun passes over a balancer that did not answer, ever longer. A probe from
// it, or news of it, ends that at once.
func (e *Engine) shun(now time.Time, addr netip.AddrPort) {
	s := e.avoid[addr]
	s.until = now.Add(e.timing.Avoid << s.times)
	s.times = min(s.times+1, maxShuns)
	e.avoid[addr] = s
}

// candidates returns the chosen witnesses among the balancers that answer.
func (e *Engine) candidates(now time.Time) []netip.AddrPort {
	return e.balancers().Choose(e.self.Control, member.Witnesses, func(b netip.AddrPort) bool {
		return now.Before(e.avoid[b].until)
	})
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
	e.shun(now, to)
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
	for _, addr := range e.balancers().Choose(a.Self.Control, balancerSample, nil) {
		if b, ok := e.table.Get(addr); ok {
			out = append(out, b)
		}
	}
	return out
}
