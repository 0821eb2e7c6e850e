package gate

import (
	"fmt"
	"time"

	"github.com/saltbend/saltbend/platform"
)

// The platform assigns the address of an upstream that has ended to another one, possibly
// of another service. A flow for the previous service must not be opened there, while an
// open flow must not end because of a claim that turns out to be wrong. So as long as it is
// uncertain which service runs at the address, the upstream gets no new flows, which can go
// to other upstreams, and open flows continue. It is uncertain
//   - from the time on at which the address may have been reassigned, counted from the last
//     heartbeat of the current instance, until the next one;
//   - after an instance of another service has claimed the address by a heartbeat, until
//     the current instance reports again or the other one is adopted.

// settledRebuttals is the number of the current instance's heartbeats after a claim, as far
// apart as regular ones, after which further claims are ignored while those heartbeats
// continue: one alone may have been delayed.
const settledRebuttals = 2

// dispute is the state of claims to the upstream's address by instances of another service
// since the current instance was adopted.
type dispute struct {
	// open is true while a claim is neither rebutted nor confirmed; claimed is true once
	// there has been a claim.
	open, claimed bool
	// rebuttals counts the current instance's heartbeats since the first claim;
	// lastRebuttal is when the last of them was counted.
	rebuttals    int
	lastRebuttal time.Duration
}

// ownerUncertain reports whether an upstream of another service may be running at the
// address.
func (g *Gate) ownerUncertain(now time.Duration) bool {
	return g.dispute.open || g.mayBeReassigned(now)
}

// mayBeReassigned reports whether the address may have been reassigned since the last
// heartbeat of the current instance, or since the agent's start if there has been none.
func (g *Gate) mayBeReassigned(now time.Duration) bool {
	delay := g.settings.AddressReuseDelay
	if delay == 0 {
		return false
	}
	// A heartbeat is not expected before the interval is over, and it may be late.
	overdue := g.settings.HeartbeatInterval + g.settings.HeartbeatInterval/confirmDivisor
	return now-g.upstream.lastHeartbeat >= max(delay, overdue)
}

// HandleClaim handles a heartbeat before it is known whether its service exists. It only
// stops new flows if the heartbeat comes from an instance of another service.
func (g *Gate) HandleClaim(now time.Duration, beat platform.Heartbeat) *Result {
	g.resetResult()
	g.noteClaim(now, beat)
	return &g.out
}

// HandleUncheckedHeartbeat handles a heartbeat of an instance of another service that could
// not be checked against the configuration. It counts as a claim to the address. contested
// is false if the current instance has ended or is overdue; the heartbeat must then be
// processed as usual.
func (g *Gate) HandleUncheckedHeartbeat(now time.Duration, beat platform.Heartbeat) (result *Result, contested bool) {
	g.resetResult()
	if g.upstream.unknown() || g.overdue(now) {
		return &g.out, false
	}
	g.noteClaim(now, beat)
	return &g.out, true
}

// noteClaim opens a dispute if a heartbeat comes from an instance of another service. A
// claim is ignored if earlier ones were rebutted by several heartbeats and the last of them
// is too recent for the address to have been reassigned since: another program may go on
// naming a wrong service, and must not keep a running upstream without new flows.
func (g *Gate) noteClaim(now time.Duration, beat platform.Heartbeat) {
	d := &g.dispute
	if d.open || g.sameService(beat) || beat.Instance.MayBeSame(g.upstream.instance) {
		return
	}
	if d.rebuttals >= settledRebuttals && now-g.upstream.lastHeartbeat < g.settings.AddressReuseDelay {
		g.note(now, Note{Kind: KindUpstream, Reason: "ignored rebutted claim of " + claimant(beat)})
		return
	}
	d.open, d.claimed = true, true
	g.note(now, Note{Kind: KindUpstream, Reason: "contested by " + claimant(beat)})
	g.announce(now)
}

// rebutClaims records a heartbeat of the current instance, which ends an open dispute. If
// the address may have been reassigned before the heartbeat, it may be a delayed heartbeat
// of an instance that has ended, and the next one is awaited.
func (g *Gate) rebutClaims(now time.Duration) {
	d := &g.dispute
	if d.open && g.mayBeReassigned(now) {
		g.note(now, Note{Kind: KindUpstream, Reason: "still contested, possibly delayed heartbeat of " + g.upstream.instance.String()})
		return
	}
	g.candidate = candidate{}
	if !d.claimed {
		return
	}
	if d.rebuttals == 0 || now-d.lastRebuttal >= g.settings.HeartbeatInterval/confirmDivisor {
		d.rebuttals, d.lastRebuttal = min(d.rebuttals+1, settledRebuttals), now
	}
	if d.open {
		d.open = false
		g.note(now, Note{Kind: KindUpstream, Reason: "no longer contested, heartbeat of " + g.upstream.instance.String()})
		g.announce(now)
	}
}

// claimant names the sender of a claim in logs. The service may be any text of another
// program.
func claimant(beat platform.Heartbeat) string {
	return fmt.Sprintf("%s of service %.80s", beat.Instance, beat.Service)
}
