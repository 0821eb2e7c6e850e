package steer

import (
	"time"

	"github.com/saltbend/saltbend/internal/packetface/evacuation"
	"github.com/saltbend/saltbend/internal/packetface/inner"
)

// Evacuated data centres get no new flows. The balancer uses its copy of the operators'
// requests and, for each agent, the state that the agent has received from other
// balancers if that is newer. This is how a balancer that the store refuses to serve
// learns of an evacuation.

// Agents in an evacuated data centre are polled until they report the evacuation, and
// occasionally after that: an agent process that restarts has lost the information, and a
// balancer that does not know of the evacuation may send it a flow. If all balancers
// polled all these agents, the traffic would be too high: with 780 balancers and 1,525
// agents in a data centre each balancer would send 3,000 polls a second, 290 KB/s, where
// 11 KB/s are available to it for control traffic (calculated). So at each tick only some
// randomly selected balancers poll.
const (
	// evacuatedPollInterval is the minimum time between two polls of an agent that has
	// reported the evacuation.
	evacuatedPollInterval = 500 * time.Millisecond
	// pollersUninformed is how many balancers of the fleet, on average per tick interval
	// (50 ms), poll an agent that has not reported the evacuation. The agent is informed
	// within one tick, and its status informs all other balancers.
	pollersUninformed = 4
	// pollersInformed is the same number for an agent that has reported the evacuation:
	// about one poll in 50 ms from the whole fleet, so that a restarted agent is informed
	// long before operators rely on the evacuation (5 s).
	pollersInformed = 1
)

// SetEvacuations applies the operators' requests from the store. It has to be called
// before SetAgents with the list of agents that was read with these requests.
func (c *Core) SetEvacuations(now time.Duration, r evacuation.Record) *Result {
	c.begin(now)
	c.evacuations = r
	for _, a := range c.roster.list {
		c.mergeEvacuation(a, evacuation.State{})
	}
	c.pollForEvacuation(now)
	return &c.out
}

// pollForEvacuation polls agents that are to be informed of the state of their data
// centre; in a large fleet this balancer polls only some of them.
func (c *Core) pollForEvacuation(now time.Duration) {
	balancers := 0
	for _, a := range c.roster.list {
		if !a.misinformed() && !a.evacuation.Evacuated {
			continue
		}
		if balancers == 0 {
			balancers = c.Balancers()
		}
		if c.shouldPoll(now, a, balancers) {
			c.poll(now, a)
		}
	}
}

// shouldPoll reports whether this balancer is to poll an agent now.
func (c *Core) shouldPoll(now time.Duration, a *agent, balancers int) bool {
	interval, pollers := pollRetryInterval, float64(pollersUninformed)
	if !a.misinformed() {
		interval, pollers = evacuatedPollInterval, pollersInformed
	}
	if a.waitingSince != 0 || now-a.lastRequest <= interval {
		return false
	}
	return c.settings.Random.Float64()*float64(balancers) < pollers
}

// mergeEvacuation merges a reported state of an agent's data centre with the state known
// for the agent and with the operators' requests that the balancer has, and keeps the
// newest. It reports whether the merge has started or ended the agent's evacuation.
func (c *Core) mergeEvacuation(a *agent, received evacuation.State) (changed bool) {
	before := a.evacuation
	a.evacuation = c.evacuations.Resolve(a.DataCentre, before.Newer(received))
	return a.evacuation.Evacuated != before.Evacuated
}

// applyReportedEvacuation merges the state that an agent has reported for its data centre.
// If this starts or ends an evacuation, the state is applied to all agents of that data
// centre.
func (c *Core) applyReportedEvacuation(now time.Duration, a *agent, s inner.Status) {
	if !c.mergeEvacuation(a, s.Evacuation) {
		return
	}
	c.noteNewer(now, a.Addr, 0, s.Source)
	for _, other := range c.roster.list {
		if other.DataCentre == a.DataCentre {
			c.mergeEvacuation(other, a.evacuation)
		}
	}
}

// misinformed reports whether the agent's last status contradicts what the balancer knows
// of the agent's data centre.
func (a *agent) misinformed() bool {
	return a.statusAt != 0 && a.status.Evacuation.Evacuated != a.evacuation.Evacuated
}

// countAllowed counts the agents of a service that are in the flow's home regions (home),
// and those among them whose data centre is not evacuated (open).
func (r *roster) countAllowed(w requirements) (open, home int) {
	for _, a := range r.byService[w.service] {
		if !w.inHomeRegion(a) {
			continue
		}
		home++
		if !a.evacuation.Evacuated {
			open++
		}
	}
	return open, home
}
