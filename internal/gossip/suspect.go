package gossip

import (
	"math/bits"
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/member"
)

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
	if evidence == 0 && w.once {
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
	e.suspect(now, m, evidence)
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

// takeSuspicion merges another witness's suspicion and passes news on. A
// suspicion of this process itself is refuted.
func (e *Engine) takeSuspicion(now time.Time, x member.Suspicion) {
	if x.Control == e.self.Control {
		e.HandleProbe(now, x.Witness, &x)
		return
	}
	if e.suspects.Add(x, now) && e.isBalancer() {
		e.outbox.suspicions = append(e.outbox.suspicions, x)
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
		case v.Witnesses < member.Needed(e.table, verdicts, v.Member, now):
		case keep:
			kept++
		case v.Evidence == member.Unreachable && w.failed < probesToDeclare:
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
