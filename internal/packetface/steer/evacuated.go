package steer

import (
	"time"

	"github.com/saltbend/saltbend/internal/packetface/evacuation"
	"github.com/saltbend/saltbend/internal/packetface/inner"
)

// Data centres that operators want empty get no new flows. The balancer goes by its
// copy of their requests, and for each agent by what that has heard from others, if it
// is newer: a balancer that the store turns away learns it so.

// evacuatedPoll is the time between two polls of an agent in an evacuated data centre:
// one that starts anew there is told within a second, long before operators count on
// it (5 s).
const evacuatedPoll = 500 * time.Millisecond

// SetEvacuations takes over the operators' requests as the store has them; it comes
// before the list of agents that was read with them. Agents in a data centre that is
// evacuated or taken back are polled until they know, as other balancers may not.
func (c *Core) SetEvacuations(now time.Duration, r evacuation.Record) *Result {
	c.begin(now)
	c.evacuations = r
	for _, a := range c.roster.list {
		if c.hearWord(a, r.Word(a.DataCentre)) {
			c.poll(now, a)
		}
	}
	return &c.out
}

// hearWord keeps the newest word on the data centre of an agent; it reports whether
// that changes what the agent may get.
func (c *Core) hearWord(a *agent, word evacuation.Word) (changed bool) {
	before := a.evacuation
	a.evacuation = before.Newer(word)
	return a.evacuation.Evacuated != before.Evacuated
}

// hearOwnWord takes what an agent has heard of its data centre. It holds for all agents
// there.
func (c *Core) hearOwnWord(now time.Duration, a *agent, s inner.Status) {
	if !c.hearWord(a, s.Evacuation) {
		return
	}
	c.tellNewer(now, a, 0, s.Source)
	for _, other := range c.roster.list {
		if other.DataCentre == a.DataCentre {
			c.hearWord(other, a.evacuation)
		}
	}
}

// misinformed reports whether the agent knows less of its data centre than the balancer.
func (a *agent) misinformed() bool {
	return a.statusAt != 0 && a.status.Evacuation.Evacuated != a.evacuation.Evacuated
}

// pollEvacuated reports whether an agent that gets no new flows is to be told so again:
// a process that has started anew does not know, and a balancer that knows less may
// send it some.
func (a *agent) pollEvacuated(now time.Duration) bool {
	return a.evacuation.Evacuated && now-a.lastAsk > evacuatedPoll
}

// reach counts the agents that a flow may go to by their data centres, open, and those
// that are in its home regions, evacuated or not.
func (r *roster) reach(w want) (open, home int) {
	for _, a := range r.byService[w.service] {
		if !w.atHome(a) {
			continue
		}
		home++
		if !a.evacuation.Evacuated {
			open++
		}
	}
	return open, home
}
