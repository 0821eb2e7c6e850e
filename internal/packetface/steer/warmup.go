package steer

import (
	"slices"
	"time"
)

// How long the upstreams of a service are cold after their start, where nobody has seen
// one start.
//
// The load it is made for: after a common loss of power each upstream starts a moment
// before its agent, which can't tell then which flows live, and each dead flow has to be
// probed at each agent: 3,000 flows at 670 agents were two million probes, 2 s of all
// balancers' time. An upstream tells how long it stays cold, so whoever knows for how long
// they are knows how long ago it started.
//
// The age of one upstream by its host's clock may be wrong, as that may have been set back.
// So no agent goes by its own, but by the upper quartile of what all tell: upstreams look
// younger than they are only where three of four clocks were set back.

// minEstimates is the number of agents whose word counts.
const minEstimates = 5

// estimate is what the agents of a service tell.
type estimate struct {
	warmup time.Duration
	// outdated tells that an agent has told something else since.
	outdated bool
}

// noteWarmup notes that an agent has told of a warm-up.
func (r *roster) noteWarmup(a *agent) {
	if a.status.Warmup == a.warmupReported {
		return
	}
	a.warmupReported = a.status.Warmup
	e := r.estimates[a.Service]
	e.outdated = true
	r.estimates[a.Service] = e
}

// estimate returns the upper quartile of what the agents of a service tell, 0 for none.
func (r *roster) estimate(service uint64) time.Duration {
	var reported []time.Duration
	for _, a := range r.byService[service] {
		if a.status.Warmup > 0 {
			reported = append(reported, a.status.Warmup)
		}
	}
	if len(reported) < minEstimates {
		return 0
	}
	slices.Sort(reported)
	return reported[len(reported)*3/4]
}

// tickWarmups takes over what agents have told since the last tick, and tells those that
// don't know all flows of their upstreams.
func (c *Core) tickWarmups(now time.Duration) {
	for service, e := range c.roster.estimates {
		if !e.outdated {
			continue
		}
		c.roster.estimates[service] = estimate{warmup: c.roster.estimate(service)}
		warmup := c.coldOf(service).Warmup
		for _, a := range c.roster.byService[service] {
			if a.statusAt != 0 && !a.status.Whole && a.warmupSent != warmup {
				c.poll(now, a)
			}
		}
	}
}
