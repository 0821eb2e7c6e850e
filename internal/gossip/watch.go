package gossip

import (
	"math/bits"
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/member"
)

const (
	// missShare is the number of halves of a renewal period after which a
	// silent member is probed.
	missShare = 3
	// probesToSuspect is the number of probes in a row that must get no answer.
	probesToSuspect = 2
	// graceShare is the number of renewal periods between the first suspicion
	// and the declaration. A member needs one to hear of it and refute; a cut
	// needs that long until all that it hides are suspected.
	graceShare = 2
	// quorum is the number of witnesses that declare a member gone.
	quorum = 2
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
	for addr, w := range e.watched {
		if !w.probing && !now.Before(w.probeAt) {
			w.probing = true
			e.probe(addr)
		}
	}
	e.declare(now)
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
// set of balancers has changed.
func (e *Engine) chooseWatched(now time.Time) {
	set := e.table.BalancerSet()
	if set == e.watchedSet {
		return
	}
	e.watchedSet = set
	balancers := e.table.Balancers()
	for _, m := range append(e.table.Agents(), balancers...) {
		e.assign(now, m, balancers)
	}
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
		e.assign(now, m, e.table.Balancers())
		w = e.watched[m.Control]
	}
	if w == nil {
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
func (e *Engine) assign(now time.Time, m member.Member, balancers []member.Member) {
	if m.Control == e.self.Control {
		return
	}
	for _, w := range member.Rendezvous(m.Control, balancers, member.Witnesses) {
		if w.Control != e.self.Control {
			continue
		}
		if e.watched[m.Control] == nil {
			e.watched[m.Control] = &watch{probeAt: now.Add(e.silence())}
		}
		return
	}
	delete(e.watched, m.Control)
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

// ProbeDone takes in the outcome of a probe; evidence is zero when the member
// answered.
func (e *Engine) ProbeDone(now time.Time, addr netip.AddrPort, evidence member.Evidence) {
	w := e.watched[addr]
	if w == nil {
		return
	}
	w.probing = false
	m, known := e.table.Get(addr)
	if !known || m.State == member.StateGone {
		delete(e.watched, addr)
		return
	}
	if evidence == 0 {
		w.failed, w.suspecting = 0, false
		w.probeAt = now.Add(e.silence())
		return
	}
	if now.Before(w.probeAt) {
		return // it renewed meanwhile
	}
	w.failed++
	w.failedAt = now
	w.probeAt = now.Add(e.timing.Renew / 2)
	if evidence == member.Refused || w.failed >= probesToSuspect {
		e.suspect(now, m, evidence)
	}
}

// suspect spreads that this witness takes the member for dead.
func (e *Engine) suspect(now time.Time, m member.Member, evidence member.Evidence) {
	x := suspicionOf(m, e.self.Control, evidence)
	w := e.watched[m.Control]
	w.suspecting = true
	news := e.suspects.Add(x, now)
	if news {
		e.do(Notice{Kind: NoticeSuspected, Member: m})
	}
	// Repeated ever more rarely, for those who have missed it.
	if news || bits.OnesCount(uint(w.failed)) == 1 {
		e.pendingSuspicions = append(e.pendingSuspicions, x)
	}
}

func suspicionOf(m member.Member, witness netip.AddrPort, evidence member.Evidence) member.Suspicion {
	return member.Suspicion{
		Control:     m.Control,
		Incarnation: m.Incarnation,
		Version:     m.Version,
		Witness:     witness,
		Evidence:    evidence,
	}
}

// takeSuspicion merges another witness's suspicion and passes news on. A
// suspicion of this process itself is refuted.
func (e *Engine) takeSuspicion(now time.Time, x member.Suspicion) {
	if x.Control == e.self.Control {
		e.HandleProbe(now, x.Witness, &x)
		return
	}
	if e.suspects.Add(x, now) && e.isBalancer() {
		e.pendingSuspicions = append(e.pendingSuspicions, x)
	}
}

// HandleProbe takes a balancer's probe in: the way to it is open again, and a
// suspicion that it brings is refuted.
func (e *Engine) HandleProbe(now time.Time, from netip.AddrPort, x *member.Suspicion) {
	delete(e.avoid, from)
	if x == nil || e.self.State == member.StateGone {
		return
	}
	if x.Control == e.self.Control && x.Incarnation == e.self.Incarnation && x.Version == e.self.Version {
		e.outbid(now, e.self)
	}
}

// declare declares members gone that enough witnesses suspect. Only a witness
// that itself suspects the member does so, and none that the panic threshold
// keeps is declared.
func (e *Engine) declare(now time.Time) {
	verdicts := e.suspects.Verdicts()
	if len(verdicts) == 0 {
		e.noteKept(0)
		return
	}
	need := min(quorum, e.table.LiveBalancers()-1)
	panicked := member.NewPanic(e.table, verdicts)
	kept := 0
	for _, v := range verdicts {
		w := e.watched[v.Member.Control]
		if w == nil || !w.suspecting {
			continue
		}
		keep := panicked.Keeps(v, now)
		if keep {
			w.kept = now
		}
		switch {
		case len(v.Witnesses) < max(1, need):
		case keep:
			kept++
		case now.Sub(later(v.Since, w.kept)) >= e.grace(now, w, v.Evidence):
			gone := v.Member
			gone.State, gone.Declared = member.StateGone, true
			e.merge(now, gone)
		}
	}
	e.noteKept(kept)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// grace is the time from the first suspicion to the declaration. It starts
// anew when the panic threshold keeps a member no longer: while a cut heals,
// some of the hidden are back before the others. It doubles with each return of a member that had been declared gone.
func (e *Engine) grace(now time.Time, w *watch, evidence member.Evidence) time.Duration {
	if now.Sub(w.returned) > flapMemory {
		w.flaps = 0
	}
	grace := e.timing.Renew * graceShare
	if evidence == member.Refused {
		grace = e.timing.Renew / graceShare
	}
	return grace << w.flaps
}

func (e *Engine) noteKept(kept int) {
	switch {
	case kept > 0 && e.kept == 0:
		e.do(Notice{Kind: NoticeKept, Count: kept})
	case kept == 0 && e.kept > 0:
		e.do(Notice{Kind: NoticeKeptEnd})
	}
	e.kept = kept
}

// Suspected returns the number of members that a witness takes for dead.
func (e *Engine) Suspected() int { return len(e.suspects.Verdicts()) }

// Witnessed returns the records of the members that this balancer watches, in
// order of address.
func (e *Engine) Witnessed() []member.Member {
	out := make([]member.Member, 0, len(e.watched))
	for addr := range e.watched {
		if m, ok := e.table.Get(addr); ok && m.State != member.StateGone {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b member.Member) int { return a.Control.Compare(b.Control) })
	return out
}
