package gate

import (
	"fmt"
	"time"

	"github.com/saltbend/saltbend/platform"
)

// Registration is what the store is to list about the agent.
type Registration struct {
	// Listed tells whether it is to be listed at all, Ended that no entry is to be at
	// its address whoever wrote it. Neither is known before the first heartbeat.
	Listed, Ended bool
	// Upstream names the life of the upstream, empty before the first heartbeat.
	Upstream string
	// Service and DataCentre are as the upstream reports them; DataCentre is
	// empty where it reports none.
	Service, DataCentre string
	Slots               int
	// Warmup is how long upstreams of the service were seen to be cold after their start,
	// 0 for never.
	Warmup time.Duration
}

// Heartbeat takes a heartbeat of the upstream. One that is outdated is
// acknowledged, too: its sender need not send it again.
func (g *Gate) Heartbeat(now time.Duration, beat platform.Heartbeat) (result *Result, ok bool) {
	g.begin()
	u := &g.upstream
	same := beat.Life.Same(u.life)
	if same && beat.Sequence <= u.sequence {
		return &g.out, true // a late call: what it says is outdated
	}
	if same {
		g.claim, g.contested = claim{}, false // no other life is here
		u.life.Born = max(u.life.Born, beat.Born)
	} else {
		how := g.succeeds(now, beat)
		if how == successionNone {
			g.note(now, Note{Kind: KindUpstream, Reason: fmt.Sprintf("outdated %s heartbeat %d", beat.Life, beat.Sequence)})
			return &g.out, true
		}
		g.newLife(now, beat, how)
	}
	if u.heard != 0 && now-u.heard >= g.settings.HeartbeatEvery/confirmPart {
		u.confirmed = true
	}
	g.judge.Heard(now)
	revived, heardAgain := u.down && !u.left, u.silent
	u.heard, u.sequence, u.slots, u.down, u.silent = now, beat.Sequence, beat.Slots, false, false
	u.coldEnd = now + beat.ColdFor
	if revived {
		u.whole, u.firstCold = false, 0 // it was held for gone: it may hold flows
		g.note(now, Note{Kind: KindUpstream, Reason: "back " + u.life.String()})
		g.announce(now)
	}
	if heardAgain {
		g.note(now, Note{Kind: KindUpstream, Reason: "heard again " + u.life.String()})
		g.announce(now)
	}
	if beat.Draining && !u.draining {
		u.draining, u.drained = true, now
		g.note(now, Note{Kind: KindUpstream, Reason: "draining " + u.life.String()})
		g.announce(now)
	}
	return &g.out, true
}

// Left takes the upstream's word that it ends.
func (g *Gate) Left(now time.Duration, life platform.Life) (result *Result, ok bool) {
	g.begin()
	if !g.upstream.endsWith(life) {
		g.note(now, Note{Kind: KindUpstream, Reason: "outdated leave of " + life.String()})
		return &g.out, true
	}
	g.upstream.left, g.upstream.leftAt, g.upstream.draining = true, now, true
	g.note(now, Note{Kind: KindUpstream, Reason: "left " + life.String()})
	g.announce(now)
	return &g.out, true
}

// endsWith reports whether the upstream has ended if a life has: it is that life, or one
// that began before it under the same id. The word of an earlier life comes late.
func (u *upstream) endsWith(life platform.Life) bool {
	return life.Same(u.life) || life.ID == u.life.ID && life.Born > u.life.Born
}

// Refused notes that no socket took a packet for the upstream.
func (g *Gate) Refused(now time.Duration) *Result {
	g.begin()
	u := &g.upstream
	if u.refused == 0 {
		u.refusedAt = now
	}
	u.refused++
	if u.refused >= refusals && now-u.refusedAt >= refusalTime {
		g.goDown(now, u.refusedAt, "refuses-packets")
	}
	return &g.out
}

// checkUpstream notices an upstream that has ended as it announced, and one that
// has fallen silent. The last may still live, so its flows are not reset.
func (g *Gate) checkUpstream(now time.Duration) {
	u := &g.upstream
	patience := missedHeartbeats * g.settings.HeartbeatEvery
	switch {
	case u.down:
	case g.stopping && g.neverHeard(now):
		g.goDown(now, now, "never-heard")
	case u.left:
		if now-u.leftAt >= leaveTime {
			g.goDown(now, u.leftAt, "left")
		}
	case !u.silent && u.heard != 0 && now-u.heard >= patience:
		u.silent = true
		g.note(now, Note{Kind: KindUpstream, Reason: "silent " + u.life.String()})
		g.announce(now)
	}
}

// goDown notes that the upstream has certainly ended at the time, and its flows
// with it.
func (g *Gate) goDown(now, ended time.Duration, reason string) {
	if g.upstream.down {
		return
	}
	g.upstream.down = true
	g.note(now, Note{Kind: KindUpstream, Reason: reason + " " + g.upstream.life.String()})
	g.resetBefore(now, ended, reason)
	g.announce(now)
}

// resetBefore tells the callers of all flows that began before the time that
// they are gone, so that they may ask again at once. Of the others the upstream
// has to tell.
func (g *Gate) resetBefore(now, ended time.Duration, reason string) {
	for id, f := range g.flows {
		if f.began >= ended {
			g.setRunning(f, false)
			f.probing = true
			continue
		}
		// One that is still opening may have been opened elsewhere by a copy of
		// its first packet.
		if f.state == flowOpen && !f.probing {
			g.note(now, Note{Kind: KindReset, Flow: id, Reason: reason})
			start := len(g.buffer)
			g.buffer = platform.AppendReset(g.buffer, id, f.acknowledged)
			g.sendBuffer(ToCaller, g.caller(id), start)
		}
		g.forget(id, f)
	}
}

// Stop notes that the process has been told to stop: no new flows come, those
// that are open go on.
func (g *Gate) Stop(now time.Duration) *Result {
	g.begin()
	g.stopping = true
	g.announce(now)
	if g.upstream.left {
		g.goDown(now, now, "left")
	}
	g.checkUpstream(now)
	return &g.out
}

// neverHeard reports whether the upstream has given no sign of life since the
// process's start, for longer than it takes to miss its heartbeats: it ended while the
// process was away. An entry of an earlier life would stay in every balancer's list
// until its lease lapses, and each search for a flow would wait for an agent that
// has left (13 s after a loss of power, from logs of a fleet of 140 agents).
func (g *Gate) neverHeard(now time.Duration) bool {
	u := &g.upstream
	return u.unknown() && !u.spoke && now-g.resumed >= missedHeartbeats*g.settings.HeartbeatEvery
}

// Finished reports whether a process that was told to stop has nothing left to
// do for its upstream. One that has not heard of it waits for its next heartbeat, or
// for so many missed ones that it has ended: it answers searches meanwhile, and knows
// then whether its entry is to stay for the process after it.
func (g *Gate) Finished() bool {
	u := &g.upstream
	if u.unknown() && !u.spoke {
		return u.down
	}
	return u.down || u.left || g.running == 0
}

// Registration returns what the store is to list.
func (g *Gate) Registration() Registration {
	u := &g.upstream
	ended := u.down || u.left
	return Registration{
		Listed: !u.unknown() && !ended, Ended: ended,
		Upstream: u.life.String(), Service: g.settings.Service, DataCentre: u.dataCentre, Slots: u.slots,
		Warmup: g.cold.reported,
	}
}

// announce tells all balancers that use this agent of a change at once.
func (g *Gate) announce(now time.Duration) {
	if state := g.state(now); state != g.announced {
		g.announced, g.stateSince = state, now
	}
	for to := range g.balancers {
		g.sendStatus(now, to)
	}
}
