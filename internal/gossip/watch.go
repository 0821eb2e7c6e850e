package gossip

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/member"
)

const (
	// missShare is the number of halves of a renewal period after which a
	// silent member is probed.
	missShare = 3
	// probesToDeclare is the number of probes in a row that an unreachable
	// member must have left unanswered. The first one raises the suspicion, so
	// that the member hears of it while the others are under way.
	probesToDeclare = 2
	// graceShare is the number of renewal periods between the first suspicion
	// and the declaration. A member needs one to hear of it and refute; a cut
	// needs that long until all that it hides are suspected.
	graceShare = 2
	// flapMemory is the time after which a member's returns are forgotten, and
	// maxFlaps bounds how often they double the grace.
	flapMemory = 10 * time.Minute
	maxFlaps   = 4
)

// watch is what a witness keeps about one member.
type watch struct {
	// renewed is the last renewal here, probeAt when the next probe is due and
	// failedAt when the last one failed.
	renewed, probeAt, failedAt time.Time
	probing                    bool
	// failed counts the probes in a row without answer.
	failed     int
	suspecting bool
	flaps      int
	returned   time.Time
	// once marks the watch of a member that this balancer is no witness of: it
	// ends with the first answer or news.
	once bool
	// kept is when the panic threshold last kept the member.
	kept time.Time
}

// watch does the duties of a witness: probe the silent, suspect those who do
// not answer, declare gone whom enough witnesses suspect.
func (e *Engine) watch(now time.Time) {
	if !e.isBalancer() {
		return
	}
	e.forgiveOwnPause(now)
	e.chooseWatched(now)
	for _, addr := range sortedAddrs(e.watched) {
		w := e.watched[addr]
		if !w.probing && !now.Before(w.probeAt) {
			w.probing = true
			e.probe(addr)
		}
	}
	e.declare(now)
}

// sortedAddrs returns the keys in order, so that a replay does the same.
func sortedAddrs[V any](m map[netip.AddrPort]V) []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(m), netip.AddrPort.Compare)
}

// probe asks a member whether it lives, and tells it that it is suspected: it
// refutes that at once when the probe gets through.
func (e *Engine) probe(addr netip.AddrPort) {
	p := Probe{To: addr}
	if m, ok := e.table.Get(addr); ok && e.suspects.Suspected(m) {
		x := suspicionOf(m, e.self.Control, member.Unreachable)
		p.Suspicion = &x
	}
	e.do(p)
}

// silence is the time without a renewal after which a member is probed.
func (e *Engine) silence() time.Duration { return e.timing.Renew * missShare / 2 }

// forgiveOwnPause gives all members a fresh start when this process itself has
// not run for a while.
func (e *Engine) forgiveOwnPause(now time.Time) {
	if !e.lastWatch.IsZero() && now.Sub(e.lastWatch) > e.timing.Renew {
		for _, w := range e.watched {
			w.probeAt = now.Add(e.silence())
		}
	}
	e.lastWatch = now
}

// chooseWatched works out again of whom this balancer is a witness, when the
// set of balancers that can witness has changed. Suspected ones cannot: the
// witnesses of a member may have died with it.
func (e *Engine) chooseWatched(now time.Time) {
	set := e.table.BalancerSet() ^ e.suspects.BalancerSet()
	if set == e.watchedSet {
		return
	}
	e.watchedSet = set
	e.able = member.NewCandidates(e.ableBalancers())
	for _, m := range e.table.Agents() {
		e.assign(now, m)
	}
	for _, m := range e.table.Balancers() {
		e.assign(now, m)
	}
}

// ableBalancers returns the live balancers that nobody suspects.
func (e *Engine) ableBalancers() []member.Member {
	return slices.DeleteFunc(slices.Clone(e.table.Balancers()), e.suspects.Suspected)
}

// watchRecord takes a changed record into account.
func (e *Engine) watchRecord(now time.Time, m, before member.Member) {
	if !e.isBalancer() {
		return
	}
	if m.State == member.StateGone {
		if w := e.watched[m.Control]; w != nil && !m.Declared {
			delete(e.watched, m.Control)
		}
		return
	}
	w := e.watched[m.Control]
	if w == nil {
		e.assign(now, m)
		w = e.watched[m.Control]
	}
	if w == nil {
		return
	}
	if w.once {
		delete(e.watched, m.Control)
		return
	}
	w.suspecting, w.failed = false, 0
	if before.Declared && before.Incarnation == m.Incarnation {
		w.probeAt = now.Add(e.silence())
		w.flaps = min(w.flaps+1, maxFlaps)
		w.returned = now
	}
}

// assign watches the member if this balancer is one of its witnesses.
func (e *Engine) assign(now time.Time, m member.Member) {
	if m.Control == e.self.Control {
		return
	}
	if !e.able.Chooses(m.Control, member.Witnesses, e.self.Control) {
		delete(e.watched, m.Control)
		return
	}
	if known := e.watched[m.Control]; known == nil || known.once {
		e.watched[m.Control] = &watch{probeAt: now.Add(e.silence())}
	}
}

// checkLater probes a member that others have declared gone and that this
// balancer holds for live, unless the member refutes that soon. Its witnesses
// no longer watch it, so nobody else would.
func (e *Engine) checkLater(now time.Time, x member.Suspicion) {
	m, known := e.table.Get(x.Control)
	if known && m.State != member.StateGone && e.watched[x.Control] == nil && e.suspects.Suspected(m) {
		e.watched[x.Control] = &watch{once: true, probeAt: now.Add(e.jitter(2 * e.timing.Renew * graceShare))}
	}
}

// heardFrom notes a renewal.
func (e *Engine) heardFrom(now time.Time, m member.Member) {
	if w := e.watched[m.Control]; w != nil {
		w.renewed, w.probeAt = now, now.Add(e.silence())
		w.failed, w.suspecting = 0, false
	}
}

// inTouch reports whether the member has lately renewed at this process, or
// answered its renewal.
func (e *Engine) inTouch(now time.Time, addr netip.AddrPort) bool {
	last := e.cursors[addr].at
	if w := e.watched[addr]; w != nil && w.renewed.After(last) {
		last = w.renewed
	}
	return now.Sub(last) < e.silence()
}

// Suspected returns the number of members that a witness takes for dead.
func (e *Engine) Suspected() int { return len(e.suspects.Verdicts()) }

// Witnessed returns the records of the members that this balancer watches, in
// order of address.
func (e *Engine) Witnessed() []member.Member {
	out := make([]member.Member, 0, len(e.watched))
	for _, addr := range sortedAddrs(e.watched) {
		if m, ok := e.table.Get(addr); ok && m.State != member.StateGone {
			out = append(out, m)
		}
	}
	return out
}
