package gate

import (
	"time"

	"github.com/saltbend/saltbend/internal/packetface/coldrate"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

// cold holds what the agent knows about the warm-up of its upstream.
type cold struct {
	// version is the version of the configuration from which bounds was computed.
	version uint64
	bounds  coldrate.Bounds
	window  coldrate.Window
	warmup  time.Duration
	// reported is the longest remaining cold time that upstreams of the service have
	// reported to this agent in their first heartbeat, 0 if none has.
	reported time.Duration
	// estimate is the time for which upstreams are cold after their start, computed as the
	// sum of the age and the remaining cold time in the first heartbeat that this agent
	// received, 0 if unknown. A step of the host's clock makes the estimate wrong, so
	// balancers combine the estimates of many hosts.
	estimate time.Duration
}

// updateCold applies a service's cold rate and warm-up as sent by a balancer, unless they
// come from an older version of the configuration than those in use.
func (g *Gate) updateCold(now time.Duration, service, version uint64, c inner.Cold) {
	if service != g.service || version < g.cold.version {
		return
	}
	g.cold.version = version
	g.cold.bounds = coldrate.NewBounds(float64(c.Rate), g.settings.ColdOverage)
	g.updateWarmup(now, service, c.Warmup)
}

// coldBounds returns the bounds on the rate of new flows of a cold upstream, no bounds once
// the upstream is warm. An upstream that has not reported since the agent process started
// counts as cold, because it may just have started, too.
func (g *Gate) coldBounds(now time.Duration) coldrate.Bounds {
	if !g.upstream.unknown() && now >= g.upstream.coldEnd {
		return coldrate.Bounds{}
	}
	return g.cold.bounds
}

// warmupRounding is the step to which a warm-up is rounded up, so that small differences
// between instances of the upstream do not change the entry in the store. Rounding up makes
// upstreams look older, which is the safe side: an upstream that looks older is less likely
// to count as started unobserved.
const warmupRounding = 50 * time.Millisecond

// recordWarmup records how long the upstream will be cold, as reported in its first
// heartbeat. The value is written to the store and balancers send it to all agents of the
// service, because not every configuration contains it.
func (g *Gate) recordWarmup(beat platform.Heartbeat) {
	if beat.Sequence <= firstHeartbeat {
		g.cold.reported = max(g.cold.reported, roundUp(beat.WarmupLeft))
	}
}

// estimateWarmup estimates how long upstreams are cold from the first heartbeat received
// here of an upstream that had started earlier.
func (g *Gate) estimateWarmup(beat platform.Heartbeat) {
	if beat.WarmupLeft > 0 && beat.Age > 0 {
		g.cold.estimate = roundUp(beat.WarmupLeft + beat.Age)
	}
}

// roundUp returns the next multiple of warmupRounding.
func roundUp(d time.Duration) time.Duration {
	return (d + warmupRounding - 1) / warmupRounding * warmupRounding
}

// updateWarmup applies the time for which upstreams of a service are cold after their
// start. It may show that the upstream started unobserved, in which case balancers are
// notified.
func (g *Gate) updateWarmup(now time.Duration, service uint64, warmup time.Duration) {
	if service != g.service || warmup == 0 || warmup == g.cold.warmup {
		return
	}
	g.cold.warmup = warmup
	if !g.upstream.fullyObserved && g.startedUnobserved() {
		g.upstream.fullyObserved = true
		g.announce(now)
	}
}

// startedUnobserved reports whether the upstream started so shortly before the first
// heartbeat received here that no earlier agent process can have forwarded a flow to it. An
// upstream sends its first heartbeat as it starts, repeats it until one is acknowledged,
// and sends the next one a heartbeat interval later. If an earlier process had acknowledged
// one, the first heartbeat received here would have come later after the upstream's start.
//
// After a common power loss upstreams start some 50 ms before their agents. Without this
// check no agent could tell which flows are still open, and each of some 3,600 dead flows
// was probed at each of 50 agents; callers waited up to 4 s for a reset (from counts of
// datagrams in a fleet of 15 balancers and 50 agents).
func (g *Gate) startedUnobserved() bool {
	u := &g.upstream
	if u.initialWarmupLeft == 0 || u.initialWarmupLeft > g.cold.warmup {
		return false
	}
	return g.cold.warmup-u.initialWarmupLeft < g.settings.HeartbeatInterval/unobservedStartDivisor
}

// unobservedStartDivisor is the divisor of the heartbeat interval that gives the time since
// an upstream's start within which the upstream counts as just started. That time is a
// fraction of the interval because heartbeats arrive only about once per interval and a
// slow host delays them.
const unobservedStartDivisor = 3
