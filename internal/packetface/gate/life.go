package gate

import (
	"fmt"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

// A heartbeat may arrive after its sender has crashed and a new life has
// reported at the same address. Such a heartbeat must not bring the ended life
// back: the flows of the living one would be reset, and an opening packet would
// be let in for the service of the other.

const (
	// maxEnded bounds the lives that are remembered as ended.
	maxEnded = 16
	// confirmPart is the part of the time between two heartbeats that must lie
	// between two of a life that is taken over on their word alone: late ones
	// arrive together.
	confirmPart = 2
	// overdueHeartbeats is the number of heartbeats after whose absence an unknown
	// life takes over at once.
	overdueHeartbeats = 2
)

// claim is a life that has reported once while another one was believed in.
type claim struct {
	id       string
	sequence uint64
	since    time.Duration
}

// succession says how a life follows the one before.
type succession uint8

const (
	// successionNone: the heartbeat is outdated, or is to be confirmed.
	successionNone succession = iota
	// successionCertain: the life before has ended.
	successionCertain
	// successionLikely: the life is to be believed in, but the one before may
	// live.
	successionLikely
)

// succeeds decides on a heartbeat of another life than the one believed in.
func (g *Gate) succeeds(now time.Duration, beat platform.Heartbeat) succession {
	switch {
	case slices.Contains(g.ended, beat.ID):
		return g.confirm(now, beat)
	case beat.Sequence <= firstHeartbeat && g.upstream.confirmed:
		return successionCertain
	case beat.Sequence <= firstHeartbeat:
		return successionLikely
	case !g.sameService(beat):
		return g.confirm(now, beat)
	case g.upstream.id == "" || g.overdue(now):
		return successionLikely
	}
	return g.confirm(now, beat)
}

// sameService reports whether a heartbeat is of the service that the agent
// serves; one that names none is.
func (g *Gate) sameService(beat platform.Heartbeat) bool {
	return beat.Service == "" || inner.ServiceID(beat.Service) == g.service
}

// overdue reports whether the life believed in has ended or has missed
// heartbeats.
func (g *Gate) overdue(now time.Duration) bool {
	u := &g.upstream
	return u.down || u.left || u.silent || now-u.heard >= overdueHeartbeats*g.settings.HeartbeatEvery
}

// confirm asks for a second, later heartbeat of a life before it is believed in.
func (g *Gate) confirm(now time.Duration, beat platform.Heartbeat) succession {
	first := g.claim
	if first.id != beat.ID {
		g.claim = claim{id: beat.ID, sequence: beat.Sequence, since: now}
		return successionNone
	}
	if beat.Sequence <= first.sequence || now-first.since < g.settings.HeartbeatEvery/confirmPart {
		return successionNone
	}
	return successionLikely
}

// newLife takes over a new life of the upstream. Flows that are older than the
// last heartbeat of the life before are gone with it, if it has certainly ended;
// of the others only the upstream can tell.
func (g *Gate) newLife(now time.Duration, beat platform.Heartbeat, s succession) {
	first := g.upstream.id == ""
	if !first {
		ended := g.upstream.heard
		if s != successionCertain {
			ended = 0
		}
		g.resetBefore(now, ended, "upstream-replaced")
		g.remembered(g.upstream.id)
	}
	g.ended = slices.DeleteFunc(g.ended, func(id string) bool { return id == beat.ID })
	g.claim = claim{}
	if !g.sameService(beat) {
		g.note(now, Note{Kind: KindUpstream, Reason: "serves " + beat.Service})
		g.service = inner.ServiceID(beat.Service)
		g.settings.Service = beat.Service
	}
	g.upstream = upstream{
		id: beat.ID, dataCentre: beat.DataCentre,
		// Every packet of this life went through this process.
		whole:     beat.Sequence <= firstHeartbeat,
		confirmed: beat.Sequence <= firstHeartbeat,
	}
	g.judge.Begin(now)
	g.note(now, Note{Kind: KindUpstream, Reason: fmt.Sprintf("ready %s heartbeat %d", beat.ID, beat.Sequence)})
	g.announce(now)
}

// remembered keeps the id of a life that has ended.
func (g *Gate) remembered(id string) {
	if len(g.ended) >= maxEnded {
		g.ended = slices.Delete(g.ended, 0, 1)
	}
	g.ended = append(g.ended, id)
}
