package gate

import (
	"fmt"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

// The life of an upstream is its id and its start: it may begin again under the id that
// it had, and holds nothing of before then.
//
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
	life     platform.Life
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
	case slices.Contains(g.ended, beat.Life):
		return g.confirm(now, beat)
	case beat.ID == g.upstream.life.ID && beat.Born < g.upstream.life.Born:
		// A late heartbeat, or the host's clock was set back between two starts.
		// Nothing is reset on that.
		return g.confirm(now, beat)
	case beat.Sequence <= firstHeartbeat:
		return g.restarted()
	case !g.sameService(beat):
		return g.confirm(now, beat)
	case beat.ID == g.upstream.life.ID:
		// A later start whose first heartbeat was lost; or, if the clock was set back, a
		// late one of a life before. So the upstream has to tell of its flows.
		return successionLikely
	case g.upstream.unknown() || g.overdue(now):
		return successionLikely
	}
	return g.confirm(now, beat)
}

// restarted says how a life follows that has certainly started after the one before,
// which has ended then. But if only one heartbeat of that was heard, it may have come
// late, and flows before it may be of the new life.
func (g *Gate) restarted() succession {
	if g.upstream.confirmed {
		return successionCertain
	}
	return successionLikely
}

// Contest takes the heartbeat of a life whose service no configuration could be asked
// for. While the life believed in reports, the other may be anybody's word; but if the
// address has been used again, a request for the service before must not run there. So
// the upstream gets no new flow until either reports again. Contested is false where the
// life believed in has ended or is overdue: the heartbeat is to be taken.
func (g *Gate) Contest(now time.Duration, beat platform.Heartbeat) (result *Result, contested bool) {
	g.begin()
	if g.upstream.unknown() || g.overdue(now) {
		return &g.out, false
	}
	if !g.contested && !beat.Life.Same(g.upstream.life) {
		g.contested = true
		g.note(now, Note{Kind: KindUpstream, Reason: "contested by " + beat.Life.String() + " of " + beat.Service})
	}
	return &g.out, true
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
	if first.life != beat.Life {
		g.claim = claim{life: beat.Life, sequence: beat.Sequence, since: now}
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
	before := g.upstream
	if !before.unknown() {
		ended := before.heard
		if s != successionCertain {
			ended = 0
		}
		g.resetBefore(now, ended, "upstream-replaced")
		g.remembered(before.life)
	}
	g.ended = slices.DeleteFunc(g.ended, func(life platform.Life) bool { return life == beat.Life })
	g.claim, g.contested = claim{}, false
	if !g.sameService(beat) {
		g.note(now, Note{Kind: KindUpstream, Reason: "serves " + beat.Service})
		g.service = inner.ServiceID(beat.Service)
		g.settings.Service = beat.Service
		g.cold = cold{}
	}
	// Every packet of this life went through this process.
	seenAll := beat.Sequence <= firstHeartbeat
	g.upstream = upstream{life: beat.Life, dataCentre: beat.DataCentre, whole: seenAll, confirmed: seenAll}
	if before.unknown() {
		g.upstream.firstCold = beat.ColdFor
		g.estimateWarmup(beat)
		g.upstream.whole = seenAll || g.beganUnseen()
	}
	g.learnWarmup(beat)
	g.judge.Begin(now)
	g.note(now, Note{Kind: KindUpstream, Reason: fmt.Sprintf("ready %s heartbeat %d", beat.Life, beat.Sequence)})
	g.announce(now)
}

// unknown reports whether no life has reported yet.
func (u *upstream) unknown() bool { return u.life.ID == "" }

// remembered keeps a life that has ended.
func (g *Gate) remembered(life platform.Life) {
	if len(g.ended) >= maxEnded {
		g.ended = slices.Delete(g.ended, 0, 1)
	}
	g.ended = append(g.ended, life)
}
