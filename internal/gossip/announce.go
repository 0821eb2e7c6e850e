package gossip

import (
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/member"
)

// findInterval is the minimum time between two searches for peers, and the period
// of digest attempts while the process knows no peer.
const findInterval = time.Second

// announce sends a renewal to the witnesses when the renewal period has elapsed
// or the process's own record has changed.
func (e *Engine) announce(now time.Time) {
	if now.Before(e.nextAnnounce) {
		return
	}
	e.nextAnnounce = now.Add(e.jitter(e.timing.Renew))
	e.chooseWitnesses(now)
	for _, w := range e.witnesses {
		c := e.cursors[w]
		e.emit(SendAnnounce{To: w, Message: Announce{Self: e.self, Epoch: c.epoch, Cursor: c.seq}})
	}
}

// chooseWitnesses selects the balancers at which the process renews. Without a
// candidate it asks for peers and falls back to the join addresses.
func (e *Engine) chooseWitnesses(now time.Time) {
	next := e.candidates(now)
	if len(next) == 0 {
		e.findPeers(now)
		next = slices.DeleteFunc(slices.Clone(e.join), func(a netip.AddrPort) bool { return a == e.self.Control })
	} else {
		next = append(next, e.unansweredJoins(now, next)...)
	}
	e.witnesses = e.withAnsweringWitness(now, next)
}

// unansweredJoins returns the join addresses that have not answered yet, except
// those already chosen and those backed off. The process keeps announcing itself
// to the returned addresses even when other balancers have announced themselves to
// the process first: otherwise the process and those balancers could remain a
// separate group from the rest of the fleet.
func (e *Engine) unansweredJoins(now time.Time, chosen []netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(e.join), func(a netip.AddrPort) bool {
		_, answered := e.cursors[a]
		return a == e.self.Control || answered || now.Before(e.backoffs[a].until) || slices.Contains(chosen, a)
	})
}

// withAnsweringWitness adds one of the previous witnesses when none of the newly
// chosen ones has answered recently, because a network partition may hide all the
// new ones.
func (e *Engine) withAnsweringWitness(now time.Time, next []netip.AddrPort) []netip.AddrPort {
	answered := func(a netip.AddrPort) bool { return now.Sub(e.cursors[a].at) < e.renewalTimeout() }
	if slices.ContainsFunc(next, answered) {
		return next
	}
	if i := slices.IndexFunc(e.witnesses, answered); i >= 0 {
		next = append(next, e.witnesses[i])
	}
	return next
}

// backoff records until when a balancer that did not answer is skipped, and how
// often that time has been doubled.
type backoff struct {
	until     time.Time
	doublings int
}

// maxBackoffDoublings limits how often the time doubles for which a balancer is
// skipped.
const maxBackoffDoublings = 3

// backOff skips a balancer that did not answer, for twice as long after each
// failure. A probe from the balancer, or a merged record that says it is live,
// ends the back-off.
func (e *Engine) backOff(now time.Time, addr netip.AddrPort) {
	s := e.backoffs[addr]
	s.until = now.Add(e.timing.Backoff << s.doublings)
	s.doublings = min(s.doublings+1, maxBackoffDoublings)
	e.backoffs[addr] = s
}

// candidates returns the witnesses chosen among the balancers that are not backed
// off.
func (e *Engine) candidates(now time.Time) []netip.AddrPort {
	return e.balancers().Choose(e.self.Control, member.Witnesses, func(b netip.AddrPort) bool {
		return now.Before(e.backoffs[b].until)
	})
}

// findPeers emits FindPeers, at most once per findInterval.
func (e *Engine) findPeers(now time.Time) {
	if now.Before(e.nextFind) {
		return
	}
	e.nextFind = now.Add(e.jitter(findInterval))
	e.emit(FindPeers{})
}

// AnnounceDone processes a balancer's reply to the renewal sent.
func (e *Engine) AnnounceDone(now time.Time, from netip.AddrPort, sent Announce, r AnnounceReply) {
	delete(e.backoffs, from)
	e.cursors[from] = cursor{r.Epoch, r.Cursor, now}
	for _, m := range r.Members {
		e.merge(now, m)
	}
	if r.Suspected && sent.Self.Version == e.self.Version && e.self.State != member.StateGone {
		e.supersede(now, e.self)
	}
}

// AnnounceFailed records that a balancer did not answer a renewal. If the balancer
// is a witness and another candidate exists, the next renewal is due at once and goes
// to the replacement.
func (e *Engine) AnnounceFailed(now time.Time, to netip.AddrPort) {
	e.backOff(now, to)
	if slices.Contains(e.witnesses, to) && len(e.candidates(now)) > 0 {
		e.nextAnnounce = now
	}
}

// HandleAnnounce processes a renewal and returns the reply.
func (e *Engine) HandleAnnounce(now time.Time, a Announce) AnnounceReply {
	from := a.Self.Control
	e.noteRenewal(now, a.Self)
	e.merge(now, a.Self)
	e.table.NoteRevision(from, a.Self.Incarnation, a.Self.Revision)
	reply := AnnounceReply{Epoch: e.self.Incarnation, Cursor: e.table.Seq()}
	if known, ok := e.table.Get(from); ok && known.Supersedes(a.Self) {
		reply.Members = append(reply.Members, known)
	}
	reply.Suspected = e.suspects.Suspected(a.Self)
	reply.Members = append(reply.Members, e.updatesFor(a)...)
	return reply
}

// updatesFor returns the records that the sender of a renewal needs: for an
// agent, the changes to its service since its cursor; for any sender, if a
// balancer has changed since then, the gone balancers and a sample of the live
// ones.
func (e *Engine) updatesFor(a Announce) []member.Member {
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
	for _, addr := range e.balancers().Choose(a.Self.Control, balancerSampleSize, nil) {
		if b, ok := e.table.Get(addr); ok {
			out = append(out, b)
		}
	}
	return out
}
