package steer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/evacuation"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/search"
	"github.com/saltbend/saltbend/internal/store"
)

// Agent is an agent's entry in the store.
type Agent struct {
	Addr       netip.AddrPort
	Service    uint64
	DataCentre string
	Slots      int
	// Warmup is how long upstreams of the agent's service have been observed to be cold
	// after a start, 0 if no start has been observed.
	Warmup time.Duration
	// Damaged is set if another writer has overwritten the entry. The next polls tell the
	// agent, so that it writes its entry again.
	Damaged bool
}

// Intervals and time-outs for polling agents.
const (
	// maxStatusAgeOpen and maxStatusAgeForward are the ages from which a status is
	// outdated when an opening packet, or any other packet, is sent to the agent: the
	// packet then requests a new status. Every opening packet requests one, so that a
	// missing answer shows that the agent did not receive the packet.
	maxStatusAgeOpen    = 0
	maxStatusAgeForward = 250 * time.Millisecond
	// pollRetryInterval is the time after which an unanswered status request is repeated;
	// a slow host answers within some 50 ms.
	pollRetryInterval = 100 * time.Millisecond
	// slowPollAfter is the time without an answer after which polls are repeated only at
	// slowPollInterval.
	slowPollAfter = 3 * time.Second
	// slowPollInterval replaces pollRetryInterval for an agent that has not answered for
	// slowPollAfter.
	slowPollInterval = 300 * time.Millisecond
	// removedRetention is how long a removed agent is remembered, so that it can be
	// restored as soon as it sends a status. Within that time frozen hosts resume, and
	// upstreams that have left restart.
	removedRetention = 30 * time.Second
	// maxPolledAgents is the number of agents above which, when one falls silent, only
	// the agents of its service are polled instead of all.
	maxPolledAgents = 1024
	// unlistedPollInterval is the time between two polls of an agent that the store no
	// longer lists or whose entry is damaged.
	unlistedPollInterval = 200 * time.Millisecond
)

// agent is the balancer's state for one agent.
type agent struct {
	Agent
	// id identifies the agent in searches.
	id     search.ID
	status inner.Status
	// lastReceived is when the last datagram arrived from the agent, 0 for never;
	// statusAt is when the last status arrived.
	lastReceived, statusAt time.Duration
	// waitingSince is when the oldest unanswered request was sent, 0 for none; unanswered
	// counts the unanswered requests, and lastRequest is when the latest was sent.
	waitingSince, lastRequest time.Duration
	// lastAnswered is when the last request before the unanswered ones was sent, 0 for
	// never.
	lastAnswered time.Duration
	unanswered   int
	suspected    bool
	// warmupReported is the warm-up in the agent's last status, warmupSent the one in the
	// last poll sent to the agent.
	warmupReported, warmupSent time.Duration
	// loadAt is when the last status arrived; statusAt may also be when the agent returned
	// a packet with its number of running requests.
	loadAt time.Duration
	// newProcess is set if the last status is from another process of the agent than the
	// one before.
	newProcess bool
	// pending counts the flows placed on the agent since its last status.
	pending int
	// questions holds the questions that are to be sent to the agent.
	questions []inner.Question
	// evacuation is the newest known evacuation state of the agent's data centre.
	evacuation evacuation.State
	// requiredListing is a position of the list of agents. The agent is polled until it
	// reports that it knows of this position.
	requiredListing store.Position
	// unlistedSince is when the store stopped listing the agent, 0 if it is listed.
	unlistedSince time.Duration
	removed       bool
}

func (a *agent) setStatus(s inner.Status, now time.Duration) {
	a.newProcess = a.statusAt != 0 && s.Incarnation != a.status.Incarnation
	a.status, a.statusAt, a.loadAt, a.pending = s, now, now, 0
}

// setRunning records the load that an agent reports with a packet returned as busy. The
// load counts as at least the number of slots in the agent's status.
func (a *agent) setRunning(now time.Duration, running uint16) {
	a.status.Running, a.statusAt, a.pending = max(running, a.status.Slots), now, 0
}

// needsStatus reports whether to request a status: the last one has at least the given age
// and no request is unanswered, or the last request has been unanswered for longer than
// pollRetryInterval.
func (a *agent) needsStatus(now, age time.Duration) bool {
	if a.waitingSince != 0 {
		return now-a.lastRequest > pollRetryInterval
	}
	return a.statusAt == 0 || now-a.statusAt >= age
}

// removeAgent removes an agent, also from searches, which must not wait for an agent that
// has left.
func (c *Core) removeAgent(a *agent) {
	for _, q := range c.searches {
		q.search.Forget(a.id)
	}
	c.questioned = slices.DeleteFunc(c.questioned, func(other *agent) bool { return other == a })
	c.roster.remove(a)
}

// SetAgents applies the store's list of agents. An agent that is missing from it stays
// while it answers: the list may be wrong, and the agent's answer proves that it is
// running.
func (c *Core) SetAgents(now time.Duration, listed []Agent, age ListAge) *Result {
	c.begin(now)
	if c.roster.firstListAt == 0 || age.AsOf.Era() > c.roster.age.AsOf.Era() {
		c.roster.firstListAt = now // the list of a new era may lack agents of the previous list
	}
	c.roster.age = c.roster.age.max(age)
	seen := make(map[netip.AddrPort]bool, len(listed))
	hasNewAgents := make(map[uint64]bool)
	for _, entry := range listed {
		seen[entry.Addr] = true
		if entry.Warmup > 0 {
			c.roster.warmups[entry.Service] = max(c.roster.warmups[entry.Service], entry.Warmup)
		}
		if c.applyEntry(entry) {
			hasNewAgents[entry.Service] = true
		}
	}
	c.pollSiblings(now, hasNewAgents)
	for _, a := range c.roster.list {
		if !seen[a.Addr] && a.unlistedSince == 0 {
			a.unlistedSince = now
			c.note(Note{Kind: KindUnlisted, Agent: a.Addr, Age: now - a.lastReceived})
		}
	}
	c.placeEarly(now)
	return &c.out
}

// AddPeerAgents adds the agents that other balancers know. An agent that the store does
// not list is asked in searches like any other, as long as it answers.
func (c *Core) AddPeerAgents(now time.Duration, known []Agent) *Result {
	c.begin(now)
	c.peerAgentsAdded = true
	for _, agent := range known {
		if c.roster.agents[agent.Addr] != nil {
			continue
		}
		c.applyEntry(agent)
		a := c.roster.agents[agent.Addr]
		a.unlistedSince = now
		c.note(Note{Kind: KindUnlisted, Agent: a.Addr, Reason: "told-by-a-seed"})
		c.poll(now, a)
	}
	return &c.out
}

// restoreRemoved adds a removed agent again, as unlisted, when it sends a status. It
// returns nil if the sender is not a removed agent. An agent whose upstream is down is
// not restored, as its status contributes nothing.
func (c *Core) restoreRemoved(now time.Duration, from netip.AddrPort, b []byte) *agent {
	removed, ok := c.roster.removed[from]
	if !ok || now >= removed.until {
		return nil
	}
	if s, err := inner.ParseStatus(b); err != nil || s.State == inner.StateDown {
		return nil // the only unsolicited datagrams of agents are statuses
	}
	c.applyEntry(removed.Agent)
	a := c.roster.agents[from]
	a.unlistedSince = now
	return a
}

// Known returns all agents, whether the store lists them or not.
func (c *Core) Known() []Agent {
	out := make([]Agent, len(c.roster.list))
	for i, a := range c.roster.list {
		out[i] = a.Agent
	}
	return out
}

// Unlisted returns the agents that the store does not list.
func (c *Core) Unlisted() []Agent {
	var out []Agent
	for _, a := range c.roster.list {
		if a.unlistedSince != 0 {
			out = append(out, a.Agent)
		}
	}
	return out
}

// applyEntry adds or updates the agent of one entry; it reports whether the agent is new.
func (c *Core) applyEntry(entry Agent) bool {
	a := c.roster.agents[entry.Addr]
	if a != nil && a.Service != entry.Service {
		c.removeAgent(a) // the address belongs to another service now
		c.note(Note{Kind: KindRemoved, Agent: a.Addr, Reason: "address-reused"})
		a = nil
	}
	if a == nil {
		delete(c.roster.removed, entry.Addr)
		a = &agent{Agent: entry, evacuation: c.evacuations.State(entry.DataCentre)}
		c.roster.add(a)
		c.note(Note{Kind: KindListed, Agent: a.Addr, Reason: entry.DataCentre})
		return true
	}
	if a.DataCentre != entry.DataCentre {
		a.evacuation = c.evacuations.State(entry.DataCentre)
	}
	a.Agent, a.unlistedSince = entry, 0
	return false
}

// pollSiblings polls all agents of the services that have new agents, until each has
// reported that it knows of the newer list. The agents then know of that list before the
// first flow is placed on a new agent, and their answers show a balancer without the new
// agent that its own list is outdated.
func (c *Core) pollSiblings(now time.Duration, hasNewAgents map[uint64]bool) {
	for _, a := range c.roster.list {
		if hasNewAgents[a.Service] {
			a.requiredListing = c.roster.age.Newest
			c.poll(now, a)
		}
	}
}

// resetTimeouts restarts the wait for answers after a pause of the process. Answers that
// arrived during the pause have not been read yet, so an agent's silence proves nothing.
// The same holds for agents that the store no longer lists, which would otherwise be
// removed.
func (c *Core) resetTimeouts(now time.Duration) {
	for _, a := range c.roster.list {
		if a.waitingSince != 0 && !a.suspected {
			a.waitingSince, a.unanswered = now, 0
		}
		if a.unlistedSince != 0 {
			a.unlistedSince = now
		}
	}
}

func (c *Core) poll(now time.Duration, a *agent) {
	flags := inner.FlagStatus | inner.FlagLoad
	if a.unlistedSince != 0 || a.Damaged {
		flags |= inner.FlagUnlisted
	}
	a.noteRequest(now)
	cold := c.coldOf(a.Service)
	a.warmupSent = cold.Warmup
	start := len(c.buffer)
	c.buffer = inner.AppendPoll(c.buffer, inner.Poll{
		Flags: flags, Service: a.Service, Versions: c.versions(), Evacuation: a.evacuation, Cold: cold,
	})
	c.send(a.Addr, start)
}

// tickAgents polls agents whose answers are overdue and removes those that have left.
func (c *Core) tickAgents(now time.Duration) {
	c.pollForEvacuation(now)
	c.roster.absentCount = 0
	for _, a := range slices.Clone(c.roster.list) {
		if a.isAbsent(now, c.settings.AbsentAfter) {
			c.roster.absentCount++
		}
		if a.unlistedSince != 0 && c.hasLeft(a, now) {
			c.removeAgent(a)
			c.roster.removed[a.Addr] = removedAgent{a.Agent, now + removedRetention}
			c.note(Note{Kind: KindRemoved, Agent: a.Addr, Age: now - a.lastReceived, Reason: "unlisted"})
			continue
		}
		if !a.suspected && a.isSuspect(now) {
			a.suspected = true
			c.note(Note{Kind: KindSuspected, Agent: a.Addr, Age: now - a.lastReceived, Count: a.unanswered})
			c.pollIdle(now, a.Service)
		}
		if a.pollDue(now) {
			c.poll(now, a)
		}
	}
}

// pollIdle polls agents that have not sent anything lately. Where one agent is silent,
// others may be silent too, and the balancer needs to know that before it searches for
// their flows.
func (c *Core) pollIdle(now time.Duration, service uint64) {
	idle := c.roster.list
	if len(idle) > maxPolledAgents {
		idle = c.roster.byService[service] // safe, as no flow is reset while agents of other services may hold it
	}
	for _, a := range idle {
		if a.waitingSince == 0 && now-a.lastReceived > maxStatusAgeForward {
			c.poll(now, a)
		}
	}
}

// pollDue reports whether the agent is to be polled now: because it is unlisted or its
// entry is damaged, because it has not reported that it knows of requiredListing, or
// because requests are unanswered.
func (a *agent) pollDue(now time.Duration) bool {
	since := now - a.lastRequest
	switch {
	case a.unlistedSince != 0 || a.Damaged:
		return since > unlistedPollInterval
	case a.waitingSince == 0 && a.requiredListing > a.status.Versions.Listing:
		return since > pollRetryInterval
	case a.waitingSince == 0:
		return false
	case now-a.waitingSince > slowPollAfter:
		return since > slowPollInterval
	}
	return since > pollRetryInterval
}
