package gate

import (
	"fmt"
	"time"

	"github.com/saltbend/saltbend/platform"
)

// Registration is the desired content of the agent's entry in the store.
type Registration struct {
	// Listed is true if the agent is to be listed. Ended is true if there must be no entry
	// for its address, whoever wrote it. Both are false before the first heartbeat unless
	// the upstream is known to have ended.
	Listed, Ended bool
	// Upstream identifies the instance of the upstream; it is empty before the first
	// heartbeat.
	Upstream string
	// Service and DataCentre are those reported by the upstream; DataCentre is empty if it
	// reports none.
	Service, DataCentre string
	Slots               int
	// Warmup is the longest time for which upstreams of the service have reported that
	// they are cold after their start, 0 if none has reported it.
	Warmup time.Duration
}

// Heartbeat handles a heartbeat of the upstream. An outdated one is acknowledged, too, so
// that its sender does not repeat it.
func (g *Gate) Heartbeat(now time.Duration, beat platform.Heartbeat) (result *Result, ok bool) {
	g.resetResult()
	u := &g.upstream
	same := beat.Instance.MayBeSame(u.instance)
	if same && beat.Sequence <= u.sequence {
		return &g.out, true // delayed: a newer heartbeat has been received
	}
	if same {
		g.rebutClaims(now)
		u.instance.StartedMS = max(u.instance.StartedMS, beat.StartedMS)
	} else {
		s := g.classifySuccessor(now, beat)
		if s == successionNone {
			g.note(now, Note{Kind: KindUpstream, Reason: fmt.Sprintf("ignored outdated or unconfirmed %s heartbeat %d", beat.Instance, beat.Sequence)})
			g.noteClaim(now, beat)
			return &g.out, true
		}
		g.adoptInstance(now, beat, s)
	}
	if u.lastHeartbeat != 0 && now-u.lastHeartbeat >= g.settings.HeartbeatInterval/confirmDivisor {
		u.confirmed = true
	}
	g.judge.NoteAlive(now)
	revived, resumed := u.down && !u.left, u.silent || u.reassignable
	u.lastHeartbeat, u.sequence, u.slots, u.down, u.silent, u.reassignable = now, beat.Sequence, beat.Slots, false, false, false
	u.coldEnd = now + beat.WarmupLeft
	if revived {
		u.fullyObserved, u.initialWarmupLeft = false, 0 // the upstream may have opened flows unobserved while it counted as down
		g.note(now, Note{Kind: KindUpstream, Reason: "back " + u.instance.String()})
		g.announce(now)
	}
	if resumed {
		g.note(now, Note{Kind: KindUpstream, Reason: "heartbeats resumed " + u.instance.String()})
		g.announce(now)
	}
	if beat.Draining && !u.draining {
		u.draining, u.drainingSince = true, now
		g.note(now, Note{Kind: KindUpstream, Reason: "draining " + u.instance.String()})
		g.announce(now)
	}
	return &g.out, true
}

// HandleLeave handles the announcement by an instance of the upstream that it is ending.
func (g *Gate) HandleLeave(now time.Duration, instance platform.Instance) (result *Result, ok bool) {
	g.resetResult()
	if !g.upstream.endedBy(instance) {
		g.note(now, Note{Kind: KindUpstream, Reason: "ignored outdated leave of " + instance.String()})
		return &g.out, true
	}
	g.upstream.left, g.upstream.leftAt, g.upstream.draining = true, now, true
	g.note(now, Note{Kind: KindUpstream, Reason: "left " + instance.String()})
	g.announce(now)
	return &g.out, true
}

// endedBy reports whether an instance's announcement that it is ending applies to the
// current upstream. This is so if the announcement comes from that instance, or from one
// with the same id that started later. An announcement of an earlier instance is outdated.
func (u *upstream) endedBy(instance platform.Instance) bool {
	return instance.MayBeSame(u.instance) || instance.ID == u.instance.ID && instance.StartedMS > u.instance.StartedMS
}

// HandleRefusedPacket handles a packet to the upstream that was refused because no socket
// listened. Several in a row, refusalSpan apart, show that the upstream has ended.
func (g *Gate) HandleRefusedPacket(now time.Duration) *Result {
	g.resetResult()
	u := &g.upstream
	if u.refused == 0 {
		u.refusedAt = now
	}
	u.refused++
	if u.refused >= refusals && now-u.refusedAt >= refusalSpan {
		g.markDown(now, u.refusedAt, "refuses-packets")
	}
	return &g.out
}

// checkUpstream detects an upstream that has ended as announced, and one whose heartbeats
// have stopped. The latter may still be running, so its flows are not reset.
func (g *Gate) checkUpstream(now time.Duration) {
	u := &g.upstream
	timeout := missedHeartbeats * g.settings.HeartbeatInterval
	switch {
	case u.down:
	case g.stopping && g.noSignSinceStart(now):
		g.markDown(now, now, "never-heard")
	case u.left:
		if now-u.leftAt >= leaveDelay {
			g.markDown(now, u.leftAt, "left")
		}
	case !u.silent && u.lastHeartbeat != 0 && now-u.lastHeartbeat >= timeout:
		u.silent = true
		g.note(now, Note{Kind: KindUpstream, Reason: "silent " + u.instance.String()})
		g.announce(now)
	case !u.reassignable && g.mayBeReassigned(now):
		u.reassignable = true
		g.note(now, Note{Kind: KindUpstream, Reason: "address may be reassigned " + u.instance.String()})
		g.announce(now)
	}
}

// markDown records that the upstream has certainly ended at the given time, and resets its
// flows.
func (g *Gate) markDown(now, ended time.Duration, reason string) {
	if g.upstream.down {
		return
	}
	g.upstream.down = true
	g.note(now, Note{Kind: KindUpstream, Reason: reason + " " + g.upstream.instance.String()})
	g.resetBefore(now, ended, reason)
	g.announce(now)
}

// resetBefore resets all flows that were opened before the given time, so that their
// callers can retry at once. Of other flows, only the upstream knows whether it holds
// them.
func (g *Gate) resetBefore(now, ended time.Duration, reason string) {
	for id, f := range g.flows {
		if f.openedAt >= ended {
			g.setRunning(f, false)
			f.probing = true
			continue
		}
		// A flow that is still opening is not reset: a retransmission of its first packet
		// may have opened it at another upstream.
		if f.state == flowOpen && !f.probing {
			g.note(now, Note{Kind: KindReset, Flow: id, Reason: reason})
			start := len(g.buffer)
			g.buffer = platform.AppendReset(g.buffer, id, f.acknowledged)
			g.sendBuffer(ToCaller, g.caller(id), start)
		}
		g.removeFlow(id, f)
	}
}

// Stop begins the shutdown of the agent: no new flows are admitted, open flows continue.
func (g *Gate) Stop(now time.Duration) *Result {
	g.resetResult()
	g.stopping = true
	g.announce(now)
	if g.upstream.left {
		g.markDown(now, now, "left")
	}
	g.checkUpstream(now)
	return &g.out
}

// repeatStop announces again that the process is stopping. A balancer that has not been
// told takes the silence of the process after its end for that of a failed host.
func (g *Gate) repeatStop(now time.Duration) {
	if g.stopping && g.stopAnnounced < stopRepeats {
		g.stopAnnounced++
		g.announce(now)
	}
}

// noSignSinceStart reports whether the upstream has sent neither heartbeats nor packets
// that prove it alive since the process's start, for longer than missedHeartbeats
// intervals, counted from the end of the process's last pause if there was one. The
// upstream has then ended while no agent process ran. If the agent left the entry of an
// earlier instance in the store, the entry would stay in every balancer's list until its
// lease expires, and each search for a flow would wait for an agent that has left (13 s
// after a power loss, from logs of a fleet of 140 agents).
func (g *Gate) noSignSinceStart(now time.Duration) bool {
	u := &g.upstream
	return u.unknown() && !u.sentPacket && now-g.resumed >= missedHeartbeats*g.settings.HeartbeatInterval
}

// Finished reports whether a process that is shutting down has nothing left to do for its
// upstream. If the upstream has not reported since the process's start, the process waits
// for the upstream's next heartbeat, or until enough heartbeats are missing to show that
// the upstream has ended. In that time the process answers searches for flows, and it
// learns whether its entry must stay for its successor.
func (g *Gate) Finished() bool {
	u := &g.upstream
	if u.unknown() && !u.sentPacket {
		return u.down
	}
	return u.down || u.left || g.running == 0
}

// Registration returns the desired content of the agent's entry in the store.
func (g *Gate) Registration() Registration {
	u := &g.upstream
	ended := u.down || u.left
	return Registration{
		Listed: !u.unknown() && !ended, Ended: ended,
		Upstream: u.instance.String(), Service: g.settings.Service, DataCentre: u.dataCentre, Slots: u.slots,
		Warmup: g.cold.reported,
	}
}

// announce sends the status to all balancers that use this agent, and records when the
// state changed. Openings that the upstream does not get any more are returned.
func (g *Gate) announce(now time.Duration) {
	if state := g.state(now); state != g.announced {
		g.announced, g.stateSince = state, now
	}
	for to := range g.balancers {
		g.sendStatus(now, to)
	}
	g.returnHeldIfClosed(now) // after the status, by which balancers place what is returned
}
