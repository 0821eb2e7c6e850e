package steer

import (
	"time"

	"github.com/saltbend/saltbend/internal/packetface/evacuation"
	"github.com/saltbend/saltbend/internal/packetface/inner"
)

// Data centres that operators want empty get no new flows. The balancer goes by its
// copy of their requests, and for each agent by what that has heard from others, if it
// is newer: a balancer that the store turns away learns it so.

// Agents in an evacuated data centre are told until they know, and now and then after
// that: one whose process starts anew there has forgotten, and a balancer that knows
// less may send it something. Balancers that all told all of them at once would be too
// many: with 780 balancers and 1,525 agents in a data centre each balancer would send 3,000
// polls a second, 290 KB/s, of the 11 KB/s that it has for control (worked out). So at
// each tick only some of the balancers do, whichever they are.
const (
	// evacuatedPollInterval is the least time between two polls of an agent that knows.
	evacuatedPollInterval = 500 * time.Millisecond
	// pollersUninformed is how many balancers of the fleet poll an agent that does not know yet
	// between two ticks (50 ms): it learns within one, and tells all others by its status.
	pollersUninformed = 4
	// pollersInformed is the same for one that knows: about one poll in 50 ms in all, so that a
	// process that starts anew is told long before operators count on it (5 s).
	pollersInformed = 1
)

// SetEvacuations takes over the operators' requests as the store has them; it comes
// before the list of agents that was read with them.
func (c *Core) SetEvacuations(now time.Duration, r evacuation.Record) *Result {
	c.begin(now)
	c.evacuations = r
	for _, a := range c.roster.list {
		c.mergeEvacuation(a, evacuation.Word{})
	}
	c.pollForEvacuation(now)
	return &c.out
}

// pollForEvacuation polls agents that are to be told of an evacuation, some of them in a large
// fleet.
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
	every, pollers := pollRetryInterval, float64(pollersUninformed)
	if !a.misinformed() {
		every, pollers = evacuatedPollInterval, pollersInformed
	}
	if a.waitingSince != 0 || now-a.lastRequest <= every {
		return false
	}
	return c.settings.Random.Float64()*float64(balancers) < pollers
}

// mergeEvacuation keeps the newest word on the data centre of an agent, the balancer's own
// among them; it reports whether that changes what the agent may get.
func (c *Core) mergeEvacuation(a *agent, word evacuation.Word) (changed bool) {
	before := a.evacuation
	a.evacuation = c.evacuations.Weigh(a.DataCentre, before.Newer(word))
	return a.evacuation.Evacuated != before.Evacuated
}

// applyReportedEvacuation takes what an agent has heard of its data centre. It holds for all agents
// there.
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

// misinformed reports whether the agent knows less of its data centre than the balancer.
func (a *agent) misinformed() bool {
	return a.statusAt != 0 && a.status.Evacuation.Evacuated != a.evacuation.Evacuated
}

// countAllowed counts the agents that a flow may go to by their data centres, open, and those
// that are in its home regions, evacuated or not.
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
