package gate

import (
	"fmt"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

// An instance of the upstream is identified by its id and its start time
// (platform.Instance). The upstream may restart under the same id; the new instance does
// not hold the flows of the earlier one.
//
// A heartbeat may arrive after its sender has crashed and a new instance has reported from
// the same address. Such a heartbeat must not make the agent switch back to the ended
// instance: the flows of the running one would be reset, and an opening packet would be
// admitted for the ended instance's service.

const (
	// maxEnded bounds the ended instances that are remembered.
	maxEnded = 16
	// confirmDivisor is the divisor of the heartbeat interval that gives the minimum time
	// between two heartbeats that confirm an instance. Delayed heartbeats arrive together.
	confirmDivisor = 2
	// overdueHeartbeats is the number of missing heartbeats after which another instance is
	// adopted without confirmation.
	overdueHeartbeats = 2
)

// candidate is an instance that has reported once while another one was current.
type candidate struct {
	instance platform.Instance
	sequence uint64
	since    time.Duration
}

// succession is the way in which an instance follows the current one.
type succession uint8

const (
	// successionNone: the instance is not adopted, because its heartbeat is outdated or has
	// yet to be confirmed.
	successionNone succession = iota
	// successionCertain: the instance is adopted, and the current one has certainly ended.
	successionCertain
	// successionLikely: the instance is adopted, but the current one may still be running.
	successionLikely
)

// classifySuccessor decides on a heartbeat of an instance other than the current one.
func (g *Gate) classifySuccessor(now time.Duration, beat platform.Heartbeat) succession {
	switch {
	case slices.Contains(g.ended, beat.Instance):
		return g.confirm(now, beat)
	case beat.ID == g.upstream.instance.ID && beat.StartedMS < g.upstream.instance.StartedMS:
		// Either a delayed heartbeat, or the host's clock was set back between two starts.
		// Confirmation is required, and no flow is reset.
		return g.confirm(now, beat)
	case beat.Sequence <= firstHeartbeat:
		return g.successionOfRestart()
	case !g.sameService(beat):
		return g.confirm(now, beat)
	case beat.ID == g.upstream.instance.ID:
		// Either a later start whose first heartbeat was lost or, if the clock was set
		// back, a delayed heartbeat of an earlier instance. So the end of the current one
		// is not certain, and only the upstream knows its flows.
		return successionLikely
	case g.upstream.unknown() || g.overdue(now):
		return successionLikely
	}
	return g.confirm(now, beat)
}

// successionOfRestart returns the succession for an instance that has certainly started
// after the current one. The current one has then ended, unless it is unconfirmed: its only
// heartbeat may have been delayed, and flows seen since may belong to the new instance.
func (g *Gate) successionOfRestart() succession {
	if g.upstream.confirmed {
		return successionCertain
	}
	return successionLikely
}

// sameService reports whether a heartbeat comes from the service that the agent serves; a
// heartbeat without a service is assumed to come from it.
func (g *Gate) sameService(beat platform.Heartbeat) bool {
	return beat.Service == "" || inner.ServiceID(beat.Service) == g.service
}

// overdue reports whether the current instance has ended or has missed heartbeats.
func (g *Gate) overdue(now time.Duration) bool {
	u := &g.upstream
	return u.down || u.left || u.silent || now-u.lastHeartbeat >= overdueHeartbeats*g.settings.HeartbeatInterval
}

// confirm requires a second, later heartbeat of an instance before the instance is adopted.
func (g *Gate) confirm(now time.Duration, beat platform.Heartbeat) succession {
	earlier := g.candidate
	if earlier.instance != beat.Instance {
		g.candidate = candidate{instance: beat.Instance, sequence: beat.Sequence, since: now}
		return successionNone
	}
	if beat.Sequence <= earlier.sequence || now-earlier.since < g.settings.HeartbeatInterval/confirmDivisor {
		return successionNone
	}
	return successionLikely
}

// adoptInstance makes the sender of a heartbeat the current instance. If the previous
// instance has certainly ended, flows opened before its last heartbeat are reset. Of other
// flows, only the upstream knows whether it holds them.
func (g *Gate) adoptInstance(now time.Duration, beat platform.Heartbeat, s succession) {
	before := g.upstream
	if !before.unknown() {
		ended := before.lastHeartbeat
		if s != successionCertain {
			ended = 0
		}
		g.resetBefore(now, ended, "upstream-replaced")
		g.rememberEnded(before.instance)
	}
	g.ended = slices.DeleteFunc(g.ended, func(instance platform.Instance) bool { return instance == beat.Instance })
	g.candidate, g.dispute = candidate{}, dispute{}
	if !g.sameService(beat) {
		g.note(now, Note{Kind: KindUpstream, Reason: "serves " + beat.Service})
		g.returnHeld(now, inner.ReasonService)
		g.service = inner.ServiceID(beat.Service)
		g.settings.Service = beat.Service
		g.cold = cold{}
	}
	// The agent has seen every packet of an instance whose first heartbeat it receives.
	seenAll := beat.Sequence <= firstHeartbeat
	g.upstream = upstream{instance: beat.Instance, dataCentre: beat.DataCentre, fullyObserved: seenAll, confirmed: seenAll}
	if before.unknown() {
		g.upstream.initialWarmupLeft = beat.WarmupLeft
		g.estimateWarmup(beat)
		g.upstream.fullyObserved = seenAll || g.startedUnobserved()
	}
	g.recordWarmup(beat)
	g.judge.BeginInstance(now)
	g.note(now, Note{Kind: KindUpstream, Reason: fmt.Sprintf("ready %s heartbeat %d", beat.Instance, beat.Sequence)})
	g.announce(now)
}

// unknown reports whether no instance has reported since the agent's start.
func (u *upstream) unknown() bool { return u.instance.ID == "" }

// rememberEnded adds an instance to those that have ended, and drops the oldest of them if
// there are too many.
func (g *Gate) rememberEnded(instance platform.Instance) {
	if len(g.ended) >= maxEnded {
		g.ended = slices.Delete(g.ended, 0, 1)
	}
	g.ended = append(g.ended, instance)
}
