package steer

import (
	"slices"
	"time"
)

// This file estimates how long the upstreams of a service are cold after their start, for
// services of which no start has been observed.
//
// After a simultaneous power loss each upstream starts shortly before its agent. The
// agent then cannot tell which flows the upstream holds, and each dead flow has to be
// probed at each agent: 3,000 flows at 670 agents took two million probes, 2 s of the
// time of all balancers. An upstream reports how much longer it stays cold, so a process
// that knows the total duration knows how long ago the upstream started.
//
// The age of one upstream by its host's clock may be wrong, as the clock may have been
// set back. So no agent relies on the age of its own upstream; all use the upper quartile
// of what the agents of the service report: upstreams appear younger than they are only
// if three of four clocks were set back.

// minEstimates is the number of agents that have to report a warm-up for an estimate.
const minEstimates = 5

// estimate is the warm-up of a service estimated from the reports of its agents.
type estimate struct {
	warmup time.Duration
	// outdated is set if an agent has reported another warm-up since the estimate was
	// made.
	outdated bool
}

// noteWarmup marks the estimate of an agent's service as outdated if the agent has
// reported another warm-up than before.
func (r *roster) noteWarmup(a *agent) {
	if a.status.Warmup == a.warmupReported {
		return
	}
	a.warmupReported = a.status.Warmup
	e := r.estimates[a.Service]
	e.outdated = true
	r.estimates[a.Service] = e
}

// estimate returns the upper quartile of the warm-ups that the agents of a service
// report, 0 if too few of them report one.
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

// tickWarmups updates the estimates from what agents have reported since the last tick,
// and sends a changed one to agents that do not know all flows of their upstreams.
func (c *Core) tickWarmups(now time.Duration) {
	for service, e := range c.roster.estimates {
		if !e.outdated {
			continue
		}
		c.roster.estimates[service] = estimate{warmup: c.roster.estimate(service)}
		warmup := c.coldOf(service).Warmup
		for _, a := range c.roster.byService[service] {
			if a.statusAt != 0 && !a.status.KnowsAllFlows && a.warmupSent != warmup {
				c.poll(now, a)
			}
		}
	}
}
