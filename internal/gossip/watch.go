package gossip

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/member"
)

const (
	// missedHalfPeriods is the number of halves of a renewal period without a
	// renewal after which a member is probed.
	missedHalfPeriods = 3
	// probesToDeclare is the number of consecutive probes that an unreachable
	// member must fail to answer before it is declared gone. The first failure
	// raises the suspicion, so that the member can learn of it while further
	// probes are under way.
	probesToDeclare = 2
	// gracePeriods is the number of renewal periods between the first suspicion of
	// an unreachable member and its declaration. A member needs one renewal period
	// to learn of the suspicion and refute it; after the start of a network
	// partition, it takes one renewal period until all members hidden by the
	// partition are suspected. If the member's host refuses connections, the time
	// is one renewal period divided by gracePeriods.
	gracePeriods = 2
	// flapWindow is the time without a further return after which the returns of a
	// member that was declared gone no longer count.
	flapWindow = 10 * time.Minute
	// maxFlaps limits how often such returns double the time from the first
	// suspicion to the declaration.
	maxFlaps = 4
)

// watch is the state that a witness keeps about one member.
type watch struct {
	// renewed is the time of the member's last renewal at this balancer, probeAt
	// the time when the next probe is due, failedAt the time of the last failed
	// probe.
	renewed, probeAt, failedAt time.Time
	probing                    bool
	// failed counts the consecutive probes without an answer.
	failed     int
	suspecting bool
	// flaps counts the member's returns after it was declared gone, up to
	// maxFlaps, and returned is the time of the last one.
	flaps    int
	returned time.Time
	// temporary marks the watch of a member for which this balancer is no
	// witness. The watch ends when the member answers or a newer record of it
	// arrives.
	temporary bool
	// retainedAt is when the panic threshold last retained the member.
	retainedAt time.Time
}

// watch does the work of a witness: it probes silent members, suspects those that
// do not answer, and declares gone those that enough witnesses suspect.
func (e *Engine) watch(now time.Time) {
	if !e.isBalancer() {
		return
	}
	e.resetProbesAfterPause(now)
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

// sortedAddrs returns the keys in order, so that a simulation with the same seed
// runs the same way.
func sortedAddrs[V any](m map[netip.AddrPort]V) []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(m), netip.AddrPort.Compare)
}

// probe emits a probe of the member. If the member is suspected, the probe
// carries the suspicion, so that a member that receives the probe can refute it
// at once.
func (e *Engine) probe(addr netip.AddrPort) {
	p := Probe{To: addr}
	if m, ok := e.table.Get(addr); ok && e.suspects.Suspected(m) {
		x := suspicionOf(m, e.self.Control, member.Unreachable)
		p.Suspicion = &x
	}
	e.emit(p)
}

// renewalTimeout returns the time without a renewal after which a member is
// probed.
func (e *Engine) renewalTimeout() time.Duration { return e.timing.Renew * missedHalfPeriods / 2 }

// resetProbesAfterPause gives all watched members a full renewalTimeout again
// when this process itself has not run for more than a renewal period.
func (e *Engine) resetProbesAfterPause(now time.Time) {
	if !e.lastWatch.IsZero() && now.Sub(e.lastWatch) > e.timing.Renew {
		for _, w := range e.watched {
			w.probeAt = now.Add(e.renewalTimeout())
		}
	}
	e.lastWatch = now
}

// chooseWatched recomputes for which members this balancer is a witness, when the
// set of eligible balancers has changed. A suspected balancer is not eligible,
// because the witnesses of a member may have died together with it.
func (e *Engine) chooseWatched(now time.Time) {
	set := e.table.BalancerSet() ^ e.suspects.BalancerSet()
	if set == e.eligibleSet {
		return
	}
	e.eligibleSet = set
	e.eligible = member.NewCandidates(e.eligibleWitnesses())
	for _, m := range e.table.Agents() {
		e.assign(now, m)
	}
	for _, m := range e.table.Balancers() {
		e.assign(now, m)
	}
}

// eligibleWitnesses returns the live balancers that nobody suspects.
func (e *Engine) eligibleWitnesses() []member.Member {
	return slices.DeleteFunc(slices.Clone(e.table.Balancers()), e.suspects.Suspected)
}

// updateWatch updates the watch of a member after the record m has replaced the
// record before.
func (e *Engine) updateWatch(now time.Time, m, before member.Member) {
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
	if w.temporary {
		delete(e.watched, m.Control)
		return
	}
	w.suspecting, w.failed = false, 0
	if before.Declared && before.Incarnation == m.Incarnation {
		w.probeAt = now.Add(e.renewalTimeout())
		w.flaps = min(w.flaps+1, maxFlaps)
		w.returned = now
	}
}

// assign starts watching the member if this balancer is one of its witnesses, and
// stops watching it otherwise.
func (e *Engine) assign(now time.Time, m member.Member) {
	if m.Control == e.self.Control {
		return
	}
	if !e.eligible.IsChosen(m.Control, member.Witnesses, e.self.Control) {
		delete(e.watched, m.Control)
		return
	}
	if known := e.watched[m.Control]; known == nil || known.temporary {
		e.watched[m.Control] = &watch{probeAt: now.Add(e.renewalTimeout())}
	}
}

// scheduleProbe schedules a probe of the suspected member if this balancer has it
// as live and does not watch it; the probe is skipped if the member refutes
// first. The suspicion comes from a balancer whose table has the member as
// declared gone. The member's witnesses no longer watch it, so no other balancer
// would probe it.
func (e *Engine) scheduleProbe(now time.Time, x member.Suspicion) {
	m, known := e.table.Get(x.Control)
	if known && m.State != member.StateGone && e.watched[x.Control] == nil && e.suspects.Suspected(m) {
		e.watched[x.Control] = &watch{temporary: true, probeAt: now.Add(e.jitter(2 * e.timing.Renew * gracePeriods))}
	}
}

// noteRenewal records a renewal of the member.
func (e *Engine) noteRenewal(now time.Time, m member.Member) {
	if w := e.watched[m.Control]; w != nil {
		w.renewed, w.probeAt = now, now.Add(e.renewalTimeout())
		w.failed, w.suspecting = 0, false
	}
}

// recentlyAnswered reports whether, within renewalTimeout, the member has renewed
// at this process or has answered a renewal of this process.
func (e *Engine) recentlyAnswered(now time.Time, addr netip.AddrPort) bool {
	last := e.cursors[addr].at
	if w := e.watched[addr]; w != nil && w.renewed.After(last) {
		last = w.renewed
	}
	return now.Sub(last) < e.renewalTimeout()
}

// Suspected returns the number of members that at least one witness suspects.
func (e *Engine) Suspected() int { return len(e.suspects.Verdicts()) }

// Witnessed returns the records of the live members that this balancer watches,
// in order of address.
func (e *Engine) Witnessed() []member.Member {
	out := make([]member.Member, 0, len(e.watched))
	for _, addr := range sortedAddrs(e.watched) {
		if m, ok := e.table.Get(addr); ok && m.State != member.StateGone {
			out = append(out, m)
		}
	}
	return out
}
