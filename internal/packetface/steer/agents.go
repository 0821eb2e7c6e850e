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

// Agent is an agent as the store lists it.
type Agent struct {
	Addr       netip.AddrPort
	Service    uint64
	DataCentre string
	Slots      int
	// Warmup is how long upstreams of its service were seen to be cold after their start,
	// 0 for not yet.
	Warmup time.Duration
	// Damaged tells that another writer has overwritten its entry: it is told, so that
	// it writes it anew.
	Damaged bool
}

// Times of the observation of agents.
const (
	// maxStatusAgeOpen and statusAgeCarry are the ages of a status beyond which an
	// opening packet, or another one, asks for a new one. Each opening packet
	// does, so that the agent's silence tells that it got none.
	maxStatusAgeOpen    = 0
	maxStatusAgeForward = 250 * time.Millisecond
	// pollRetryInterval is the time after which an unanswered request for a status is
	// repeated; a slow host answers within some 50 ms.
	pollRetryInterval = 100 * time.Millisecond
	// slowPollAfter is the silence after which polls become rarer.
	slowPollAfter = 3 * time.Second
	// slowPollInterval is the same for an agent that has been silent for long.
	slowPollInterval = 300 * time.Millisecond
	// suspectAfter is the silence after which an agent gets no new flows, given
	// that suspectAsks requests went unanswered.
	suspectAfter       = 250 * time.Millisecond
	suspectMinRequests = 2
	// DefaultAbsentAfter is the silence after which an agent counts as absent.
	DefaultAbsentAfter = time.Second
	// restartAllowance is the same for one that said it stops: its upstream lives, and
	// a new process comes within the grace.
	restartAllowance = 7 * time.Second
	// absentDivisor is the part of all agents that may count as absent, as one in
	// so many: where more are silent, it is the balancer that is cut off.
	absentDivisor = 3
	// removeAfter is the silence after which an agent that the store no longer
	// lists is forgotten: one whose entry lapsed while the store was away is
	// back within 2 s.
	removeAfter = 2 * time.Second
	// removedRetention is how long an agent that was forgotten is known again when it
	// speaks: frozen hosts wake within that time, and upstreams begin another life.
	removedRetention = 30 * time.Second
	// maxPolledAgents is the number of agents beyond which only those of the service are polled
	// when one falls silent.
	maxPolledAgents = 1024
	// unlistedPollInterval is the time between two polls of an agent that the store no
	// longer lists.
	unlistedPollInterval = 200 * time.Millisecond
)

// agent is what the balancer knows of one agent.
type agent struct {
	Agent
	// id is the agent's number in searches.
	id     search.ID
	status inner.Status
	// lastReceived is when the last datagram came from it, 0 for never; statusAt when
	// the last status came.
	lastReceived, statusAt time.Duration
	// waitingSince is when the first request went out that is not answered yet, 0
	// for none; unanswered counts those requests, lastRequest is the latest.
	waitingSince, lastRequest time.Duration
	unanswered                int
	suspected                 bool
	// warmupReported is the warm-up that its last status told, warmupSent the one that it was
	// told with the last poll.
	warmupReported, warmupSent time.Duration
	// pending counts the flows placed since the last status.
	pending int
	// questions are those that wait to be sent.
	questions []inner.Question
	// evacuation is the newest word on its data centre.
	evacuation evacuation.Word
	// requiredListing is the position of a list that the agent has to know of.
	requiredListing store.Position
	// unlistedSince is since when the store does not list it, 0 if it does.
	unlistedSince time.Duration
	removed       bool
}

func (a *agent) noteRequest(now time.Duration) {
	if a.waitingSince == 0 {
		a.waitingSince = now
	}
	a.unanswered++
	a.lastRequest = now
}

// noteReceived notes a sign of life; it reports whether the agent was suspected.
func (a *agent) noteReceived(now time.Duration) bool {
	was := a.suspected
	a.lastReceived, a.waitingSince, a.unanswered, a.suspected = now, 0, 0, false
	return was
}

func (a *agent) setStatus(s inner.Status, now time.Duration) {
	a.status, a.statusAt, a.pending = s, now, 0
}

// setRunning takes over the load that an agent told with a packet that it returned.
func (a *agent) setRunning(now time.Duration, running uint16) {
	a.status.Running, a.statusAt, a.pending = max(running, a.status.Slots), now, 0
}

// needsStatus reports whether what is known is older than age and no request
// is on its way.
func (a *agent) needsStatus(now, age time.Duration) bool {
	if a.waitingSince != 0 {
		return now-a.lastRequest > pollRetryInterval
	}
	return a.statusAt == 0 || now-a.statusAt >= age
}

// isSuspect reports whether the agent has been silent although asked.
func (a *agent) isSuspect(now time.Duration) bool {
	return a.waitingSince != 0 && now-a.waitingSince > suspectAfter && a.unanswered >= suspectMinRequests
}

// isAbsent reports whether the agent has left requests unanswered for so long that
// its flows stand still.
func (a *agent) isAbsent(now, after time.Duration) bool {
	if after <= 0 || !a.isSuspect(now) {
		return false
	}
	if a.status.State == inner.StateStopping {
		after = max(after, restartAllowance)
	}
	return now-a.waitingSince > after
}

// removeAgent forgets an agent, also in searches: they must not wait for one that is gone.
func (c *Core) removeAgent(a *agent) {
	for _, q := range c.searches {
		q.search.Forget(a.id)
	}
	c.questioned = slices.DeleteFunc(c.questioned, func(other *agent) bool { return other == a })
	c.roster.remove(a)
}

// SetAgents takes over a list of agents as the store has it. An agent that is
// missing stays while it answers: the list may be wrong, the agent knows.
func (c *Core) SetAgents(now time.Duration, listed []Agent, age ListAge) *Result {
	c.begin(now)
	if c.roster.firstListAt == 0 || age.AsOf.Era() > c.roster.age.AsOf.Era() {
		c.roster.firstListAt = now // one of another era may lack agents that the list before had
	}
	c.roster.age = c.roster.age.max(age)
	seen := make(map[netip.AddrPort]bool, len(listed))
	grown := make(map[uint64]bool)
	for _, entry := range listed {
		seen[entry.Addr] = true
		if entry.Warmup > 0 {
			c.roster.warmups[entry.Service] = max(c.roster.warmups[entry.Service], entry.Warmup)
		}
		if c.applyEntry(entry) {
			grown[entry.Service] = true
		}
	}
	c.pollSiblings(now, grown)
	for _, a := range c.roster.list {
		if !seen[a.Addr] && a.unlistedSince == 0 {
			a.unlistedSince = now
			c.note(Note{Kind: KindUnlisted, Agent: a.Addr, Age: now - a.lastReceived})
		}
	}
	c.placeEarly(now)
	return &c.out
}

// SetPeersAsked takes over the agents that other balancers know. Those that the
// store does not list are asked like others while they answer.
func (c *Core) SetPeersAsked(now time.Duration, known []Agent) *Result {
	c.begin(now)
	c.peersAsked = true
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

// restoreRemoved takes an agent that speaks after it was forgotten as one that the
// store does not list, nil if it was none of those. One whose upstream is down
// has nothing to say.
func (c *Core) restoreRemoved(now time.Duration, from netip.AddrPort, b []byte) *agent {
	gone, ok := c.roster.removed[from]
	if !ok || now >= gone.until {
		return nil
	}
	if s, err := inner.ParseStatus(b); err != nil || s.State == inner.StateDown {
		return nil // all that an agent tells of its own accord are statuses
	}
	c.applyEntry(gone.Agent)
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

// applyEntry takes over one entry; it reports whether the agent is new.
func (c *Core) applyEntry(entry Agent) bool {
	a := c.roster.agents[entry.Addr]
	if a != nil && a.Service != entry.Service {
		c.removeAgent(a) // the address belongs to another service now
		c.note(Note{Kind: KindGone, Agent: a.Addr, Reason: "address-reused"})
		a = nil
	}
	if a == nil {
		delete(c.roster.removed, entry.Addr)
		a = &agent{Agent: entry, evacuation: c.evacuations.Word(entry.DataCentre)}
		c.roster.add(a)
		c.note(Note{Kind: KindListed, Agent: a.Addr, Reason: entry.DataCentre})
		return true
	}
	if a.DataCentre != entry.DataCentre {
		a.evacuation = c.evacuations.Word(entry.DataCentre)
	}
	a.Agent, a.unlistedSince = entry, 0
	return false
}

// pollSiblings polls all agents of the services that have new ones, until each
// has said that it knows. They then know of the newer list before the first flow
// is placed there, and balancers that lack the new agent hear from them that they
// do.
func (c *Core) pollSiblings(now time.Duration, grown map[uint64]bool) {
	for _, a := range c.roster.list {
		if grown[a.Service] {
			a.requiredListing = c.roster.age.Newest
			c.poll(now, a)
		}
	}
}

// resetTimeouts begins anew to wait for agents after a pause of the process: answers
// that came meanwhile have not been read yet, so their silence says nothing. Nor does that
// of those that the store no longer lists, which would be forgotten.
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
	flags := inner.FlagStatus
	if a.unlistedSince != 0 || a.Damaged {
		flags |= inner.FlagUnlisted
	}
	a.noteRequest(now)
	cold := c.coldOf(a.Service)
	a.warmupSent = cold.Warmup
	start := len(c.buffer)
	c.buffer = inner.AppendPoll(c.buffer, inner.Poll{
		Flags: flags, Service: a.Service, Known: c.known(), Evacuation: a.evacuation, Cold: cold,
	})
	c.send(a.Addr, start)
}

// tickAgents polls agents that owe an answer and forgets those that are gone.
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
			c.note(Note{Kind: KindGone, Agent: a.Addr, Age: now - a.lastReceived, Reason: "unlisted"})
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

// pollIdle polls agents that have not been heard lately. Where one is silent,
// others may be, and whether they are is wanted to know before their flows are
// searched for.
func (c *Core) pollIdle(now time.Duration, service uint64) {
	idle := c.roster.list
	if len(idle) > maxPolledAgents {
		idle = c.roster.byService[service] // flows that may live elsewhere, too, are not reset
	}
	for _, a := range idle {
		if a.waitingSince == 0 && now-a.lastReceived > maxStatusAgeForward {
			c.poll(now, a)
		}
	}
}

// hasLeft reports whether an unlisted agent has left: it says so, or is silent.
func (c *Core) hasLeft(a *agent, now time.Duration) bool {
	if a.status.State == inner.StateDown && a.statusAt > a.unlistedSince {
		return true
	}
	return now-a.unlistedSince > removeAfter && now-a.lastReceived > removeAfter
}

// pollDue reports whether a poll of the agent is pollDue.
func (a *agent) pollDue(now time.Duration) bool {
	since := now - a.lastRequest
	switch {
	case a.unlistedSince != 0 || a.Damaged:
		return since > unlistedPollInterval
	case a.waitingSince == 0 && a.requiredListing > a.status.Known.Listing:
		return since > pollRetryInterval
	case a.waitingSince == 0:
		return false
	case now-a.waitingSince > slowPollAfter:
		return since > slowPollInterval
	}
	return since > pollRetryInterval
}
