package gate

import (
	"time"

	"github.com/saltbend/saltbend/internal/packetface/coldrate"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

// cold is what the agent knows of how its upstream warms up.
type cold struct {
	// version is that of the configuration that the rest is from.
	version uint64
	bounds  coldrate.Bounds
	window  coldrate.Window
	warmup  time.Duration
	// reported is what upstreams of the service have shown of their warm-up here: how
	// long one is to be cold yet as it starts, 0 for nothing.
	reported time.Duration
	// estimate is the same by the age that the first heartbeat heard here told, 0 for none.
	// A step of the host's clock falsifies it: balancers go by those of many hosts.
	estimate time.Duration
}

// hearCold takes what a balancer knows of a service by a version of the configuration,
// unless a newer one has told something else.
func (g *Gate) hearCold(now time.Duration, service, version uint64, c inner.Cold) {
	if service != g.service || version < g.cold.version {
		return
	}
	g.cold.version = version
	g.cold.bounds = coldrate.NewBounds(float64(c.Rate), g.settings.ColdOverage)
	g.hearWarmup(now, service, c.Warmup)
}

// coldBounds returns the bounds on the flows that the upstream gets, none once it is
// warm. One that has not reported since the process's start may have started, too.
func (g *Gate) coldBounds(now time.Duration) coldrate.Bounds {
	if !g.upstream.unknown() && now >= g.upstream.coldEnd {
		return coldrate.Bounds{}
	}
	return g.cold.bounds
}

// reportedStep is what a warm-up is rounded up to, so that small differences between
// lives do not change the entry in the store. A longer one makes upstreams look older,
// which proves less.
const reportedStep = 50 * time.Millisecond

// learnWarmup takes how long an upstream is to be cold from its first heartbeat. The
// store keeps it, and balancers tell it to all agents of the service: not every
// configuration has it.
func (g *Gate) learnWarmup(beat platform.Heartbeat) {
	if beat.Sequence <= firstHeartbeat {
		g.cold.reported = max(g.cold.reported, roundUp(beat.ColdFor))
	}
}

// estimateWarmup takes how long upstreams are cold from the first heartbeat heard here of
// one that started before.
func (g *Gate) estimateWarmup(beat platform.Heartbeat) {
	if beat.ColdFor > 0 && beat.Age > 0 {
		g.cold.estimate = roundUp(beat.ColdFor + beat.Age)
	}
}

// roundUp returns the next multiple of reportedStep.
func roundUp(d time.Duration) time.Duration {
	return (d + reportedStep - 1) / reportedStep * reportedStep
}

// hearWarmup takes how long upstreams of a service are cold after their start.
func (g *Gate) hearWarmup(now time.Duration, service uint64, warmup time.Duration) {
	if service != g.service || warmup == 0 || warmup == g.cold.warmup {
		return
	}
	g.cold.warmup = warmup
	if !g.upstream.whole && g.beganUnseen() {
		g.upstream.whole = true
		g.announce(now)
	}
}

// beganUnseen reports whether the upstream began so shortly before its first heartbeat
// here that no process before this one can have led a flow to it: an upstream reports as
// it starts, again and again until it is heard, and then not for the time between two
// heartbeats. Had a process before acknowledged any, the first one here would have come
// later in the upstream's life.
//
// After a common loss of power upstreams start some 50 ms before their agents. Without
// this none of the agents could tell which flows live, and each of some 3,600 dead flows
// was probed at each of 50 agents; callers waited up to 4 s for a reset (from counts of
// datagrams in a fleet of 15 balancers and 50 agents).
func (g *Gate) beganUnseen() bool {
	u := &g.upstream
	if u.firstCold == 0 || u.firstCold > g.cold.warmup {
		return false
	}
	return g.cold.warmup-u.firstCold < g.settings.HeartbeatEvery/unseenPart
}

// unseenPart is the part of the time between two heartbeats within which the upstream
// has begun: they come about as often as that, and a host may be slow.
const unseenPart = 3
