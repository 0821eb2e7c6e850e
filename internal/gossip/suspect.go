package gossip

import (
	"math/bits"
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/member"
)

// ProbeDone processes the outcome of a probe. evidence is zero if the member
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
	if evidence == 0 && w.temporary {
		delete(e.watched, addr)
		return
	}
	if evidence == 0 {
		w.failed, w.suspecting = 0, false
		w.probeAt = now.Add(e.renewalTimeout())
		return
	}
	if now.Before(w.probeAt) {
		return // the member renewed while the probe was under way
	}
	w.failed++
	w.failedAt = now
	w.probeAt = now.Add(e.timing.Renew / 2)
	e.suspect(now, m, evidence)
}

// suspect records and spreads that this witness suspects the member of being
// dead.
func (e *Engine) suspect(now time.Time, m member.Member, evidence member.Evidence) {
	x := suspicionOf(m, e.self.Control, evidence)
	w := e.watched[m.Control]
	w.suspecting = true
	added := e.suspects.Add(x, now)
	if added {
		e.emit(Notice{Kind: NoticeSuspected, Member: m})
	}
	// Repeat the suspicion after 2, 4, 8 and so on failed probes, for balancers that
	// have missed it.
	if added || bits.OnesCount(uint(w.failed)) == 1 {
		e.outbox.suspicions = append(e.outbox.suspicions, x)
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

// mergeSuspicion adds another witness's suspicion and forwards it if it is new.
// If the suspicion concerns this process, the process refutes it.
func (e *Engine) mergeSuspicion(now time.Time, x member.Suspicion) {
	if x.Control == e.self.Control {
		e.HandleProbe(now, x.Witness, &x)
		return
	}
	if e.suspects.Add(x, now) && e.isBalancer() {
		e.outbox.suspicions = append(e.outbox.suspicions, x)
	}
}

// HandleProbe processes a balancer's probe. The probe shows that the network path
// between the two is open, so the back-off of that balancer ends. If the probe
// carries a suspicion of this process, the process refutes it.
func (e *Engine) HandleProbe(now time.Time, from netip.AddrPort, x *member.Suspicion) {
	delete(e.backoffs, from)
	if x == nil || e.self.State == member.StateGone {
		return
	}
	if x.Control == e.self.Control && x.Incarnation == e.self.Incarnation && x.Version == e.self.Version {
		e.supersede(now, e.self)
	}
}

// declare declares the members gone that enough witnesses suspect. This process
// must itself be a witness that suspects the member, and the panic threshold must
// not retain the member.
func (e *Engine) declare(now time.Time) {
	verdicts := e.suspects.Verdicts()
	if len(verdicts) == 0 {
		e.setRetained(0)
		return
	}
	threshold := member.NewPanic(e.table, verdicts)
	retained := 0
	for _, v := range verdicts {
		w := e.watched[v.Member.Control]
		if w == nil || !w.suspecting {
			continue
		}
		retain := threshold.Retains(v, now)
		if retain {
			w.retainedAt = now
		}
		switch {
		case v.Witnesses < member.RequiredWitnesses(e.table, verdicts, v.Member, now):
		case retain:
			retained++
		case v.Evidence == member.Unreachable && w.failed < probesToDeclare:
		case now.Sub(later(v.Since, w.retainedAt)) >= e.grace(now, w, v.Evidence):
			gone := v.Member
			gone.State, gone.Declared = member.StateGone, true
			e.merge(now, gone)
		}
	}
	e.setRetained(retained)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// grace returns the time from the first suspicion to the declaration. The time
// starts again when the panic threshold stops retaining a member, because while a
// network partition heals, some of the hidden members become reachable before
// others. The time doubles each time that the member returns after it was declared
// gone.
func (e *Engine) grace(now time.Time, w *watch, evidence member.Evidence) time.Duration {
	if now.Sub(w.returned) > flapWindow {
		w.flaps = 0
	}
	grace := e.timing.Renew * gracePeriods
	if evidence == member.Refused {
		grace = e.timing.Renew / gracePeriods
	}
	return grace << w.flaps
}

// setRetained records how many members the panic threshold retains, and emits a
// notice when it starts or stops retaining any.
func (e *Engine) setRetained(retained int) {
	switch {
	case retained > 0 && e.retained == 0:
		e.emit(Notice{Kind: NoticeRetained, Count: retained})
	case retained == 0 && e.retained > 0:
		e.emit(Notice{Kind: NoticeRetainedEnd})
	}
	e.retained = retained
}
