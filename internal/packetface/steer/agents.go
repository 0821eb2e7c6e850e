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
	// statusAgeOpen and statusAgeCarry are the ages of a status beyond which an
	// opening packet, or another one, asks for a new one. Each opening packet
	// does, so that the agent's silence tells that it got none.
	statusAgeOpen  = 0
	statusAgeCarry = 250 * time.Millisecond
	// askAgain is the time after which an unanswered request for a status is
	// repeated; a slow host answers within some 50 ms.
	askAgain = 100 * time.Millisecond
	// absentPolls is the silence after which polls become rarer.
	absentPolls = 3 * time.Second
	// askAbsent is the same for an agent that has been silent for long.
	askAbsent = 300 * time.Millisecond
	// suspectAfter is the silence after which an agent gets no new flows, given
	// that suspectAsks requests went unanswered.
	suspectAfter = 250 * time.Millisecond
	suspectAsks  = 2
	// DefaultAbsentAfter is the silence after which an agent counts as absent.
	DefaultAbsentAfter = time.Second
	// restartTime is the same for one that said it stops: its upstream lives, and
	// a new process comes within the grace.
	restartTime = 7 * time.Second
	// absentPart is the part of all agents that may count as absent, as one in
	// so many: where more are silent, it is the balancer that is cut off.
	absentPart = 3
	// goneAfter is the silence after which an agent that the store no longer
	// lists is forgotten: one whose entry lapsed while the store was away is
	// back within 2 s.
	goneAfter = 2 * time.Second
	// goneMemory is how long an agent that was forgotten is known again when it
	// speaks: frozen hosts wake within that time, and upstreams begin another life.
	goneMemory = 30 * time.Second
	// maxPolled is the number of agents beyond which only those of the service are polled
	// when one falls silent.
	maxPolled = 1024
	// unlistedPoll is the time between two polls of an agent that the store no
	// longer lists.
	unlistedPoll = 200 * time.Millisecond
)

// agent is what the balancer knows of one agent.
type agent struct {
	Agent
	// id is the agent's number in searches.
	id     search.ID
	status inner.Status
	// heard is when the last datagram came from it, 0 for never; statusAt when
	// the last status came.
	heard, statusAt time.Duration
	// waiting is when the first request went out that is not answered yet, 0
	// for none; unanswered counts those requests, lastAsk is the latest.
	waiting, lastAsk time.Duration
	unanswered       int
	suspected        bool
	// warmupTold is the warm-up that its last status told, warmupSent the one that it was
	// told with the last poll.
	warmupTold, warmupSent time.Duration
	// pending counts the flows placed since the last status.
	pending int
	// questions are those that wait to be sent.
	questions []inner.Question
	// evacuation is the newest word on its data centre.
	evacuation evacuation.Word
	// owed is the position of a list that the agent has to know of.
	owed store.Position
	// unlisted is since when the store does not list it, 0 if it does.
	unlisted time.Duration
	removed  bool
}

func (a *agent) asked(now time.Duration) {
	if a.waiting == 0 {
		a.waiting = now
	}
	a.unanswered++
	a.lastAsk = now
}

// hear notes a sign of life; it reports whether the agent was suspected.
func (a *agent) hear(now time.Duration) bool {
	was := a.suspected
	a.heard, a.waiting, a.unanswered, a.suspected = now, 0, 0, false
	return was
}

func (a *agent) setStatus(s inner.Status, now time.Duration) {
	a.status, a.statusAt, a.pending = s, now, 0
}

// tellLoad takes over the load that an agent told with a packet that it returned.
func (a *agent) tellLoad(now time.Duration, running uint16) {
	a.status.Running, a.statusAt, a.pending = max(running, a.status.Slots), now, 0
}

// wantStatus reports whether what is known is older than age and no request
// is on its way.
func (a *agent) wantStatus(now, age time.Duration) bool {
	if a.waiting != 0 {
		return now-a.lastAsk > askAgain
	}
	return a.statusAt == 0 || now-a.statusAt >= age
}

// suspect reports whether the agent has been silent although asked.
func (a *agent) suspect(now time.Duration) bool {
	return a.waiting != 0 && now-a.waiting > suspectAfter && a.unanswered >= suspectAsks
}

// absent reports whether the agent has left requests unanswered for so long that
// its flows stand still.
func (a *agent) absent(now, after time.Duration) bool {
	if after <= 0 || !a.suspect(now) {
		return false
	}
	if a.status.State == inner.StateStopping {
		after = max(after, restartTime)
	}
	return now-a.waiting > after
}

// drop forgets an agent, also in searches: they must not wait for one that is gone.
func (c *Core) drop(a *agent) {
	for _, q := range c.asks {
		q.search.Forget(a.id)
	}
	c.questioned = slices.DeleteFunc(c.questioned, func(other *agent) bool { return other == a })
	c.roster.remove(a)
}

// SetAgents takes over a list of agents as the store has it. An agent that is
// missing stays while it answers: the list may be wrong, the agent knows.
func (c *Core) SetAgents(now time.Duration, listed []Agent, age ListAge) *Result {
	c.begin(now)
	if c.roster.first == 0 || age.AsOf.Era() > c.roster.age.AsOf.Era() {
		c.roster.first = now // one of another era may lack agents that the list before had
	}
	c.roster.age = c.roster.age.max(age)
	seen := make(map[netip.AddrPort]bool, len(listed))
	grown := make(map[uint64]bool)
	for _, entry := range listed {
		seen[entry.Addr] = true
		if entry.Warmup > 0 {
			c.roster.warmups[entry.Service] = max(c.roster.warmups[entry.Service], entry.Warmup)
		}
		if c.list(entry) {
			grown[entry.Service] = true
		}
	}
	c.tellSiblings(now, grown)
	for _, a := range c.roster.list {
		if !seen[a.Addr] && a.unlisted == 0 {
			a.unlisted = now
			c.note(Note{Kind: KindUnlisted, Agent: a.Addr, Age: now - a.heard})
		}
	}
	c.openEarly(now)
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
		c.list(agent)
		a := c.roster.agents[agent.Addr]
		a.unlisted = now
		c.note(Note{Kind: KindUnlisted, Agent: a.Addr, Reason: "told-by-a-seed"})
		c.poll(now, a)
	}
	return &c.out
}

// returnGone takes an agent that speaks after it was forgotten as one that the
// store does not list, nil if it was none of those. One whose upstream is down
// has nothing to say.
func (c *Core) returnGone(now time.Duration, from netip.AddrPort, b []byte) *agent {
	gone, ok := c.roster.gone[from]
	if !ok || now >= gone.until {
		return nil
	}
	if s, err := inner.ParseStatus(b); err != nil || s.State == inner.StateDown {
		return nil // all that an agent tells of its own accord are statuses
	}
	c.list(gone.Agent)
	a := c.roster.agents[from]
	a.unlisted = now
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
		if a.unlisted != 0 {
			out = append(out, a.Agent)
		}
	}
	return out
}

// list takes over one entry; it reports whether the agent is new.
func (c *Core) list(entry Agent) bool {
	a := c.roster.agents[entry.Addr]
	if a != nil && a.Service != entry.Service {
		c.drop(a) // the address belongs to another service now
		c.note(Note{Kind: KindGone, Agent: a.Addr, Reason: "address-reused"})
		a = nil
	}
	if a == nil {
		delete(c.roster.gone, entry.Addr)
		a = &agent{Agent: entry, evacuation: c.evacuations.Word(entry.DataCentre)}
		c.roster.add(a)
		c.note(Note{Kind: KindListed, Agent: a.Addr, Reason: entry.DataCentre})
		return true
	}
	if a.DataCentre != entry.DataCentre {
		a.evacuation = c.evacuations.Word(entry.DataCentre)
	}
	a.Agent, a.unlisted = entry, 0
	return false
}

// tellSiblings polls all agents of the services that have new ones, until each
// has said that it knows. They then know of the newer list before the first flow
// is placed there, and balancers that lack the new agent hear from them that they
// do.
func (c *Core) tellSiblings(now time.Duration, grown map[uint64]bool) {
	for _, a := range c.roster.list {
		if grown[a.Service] {
			a.owed = c.roster.age.Newest
			c.poll(now, a)
		}
	}
}

// resume begins anew to wait for agents after a pause of the process: answers
// that came meanwhile have not been read yet, so their silence says nothing. Nor does that
// of those that the store no longer lists, which would be forgotten.
func (c *Core) resume(now time.Duration) {
	for _, a := range c.roster.list {
		if a.waiting != 0 && !a.suspected {
			a.waiting, a.unanswered = now, 0
		}
		if a.unlisted != 0 {
			a.unlisted = now
		}
	}
}

func (c *Core) poll(now time.Duration, a *agent) {
	flags := inner.FlagStatus
	if a.unlisted != 0 || a.Damaged {
		flags |= inner.FlagUnlisted
	}
	a.asked(now)
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
	c.inform(now)
	c.roster.absent = 0
	for _, a := range slices.Clone(c.roster.list) {
		if a.absent(now, c.settings.AbsentAfter) {
			c.roster.absent++
		}
		if a.unlisted != 0 && c.gone(a, now) {
			c.drop(a)
			c.roster.gone[a.Addr] = goneAgent{a.Agent, now + goneMemory}
			c.note(Note{Kind: KindGone, Agent: a.Addr, Age: now - a.heard, Reason: "unlisted"})
			continue
		}
		if !a.suspected && a.suspect(now) {
			a.suspected = true
			c.note(Note{Kind: KindSuspected, Agent: a.Addr, Age: now - a.heard, Count: a.unanswered})
			c.pollIdle(now, a.Service)
		}
		if a.due(now) {
			c.poll(now, a)
		}
	}
}

// pollIdle polls agents that have not been heard lately. Where one is silent,
// others may be, and whether they are is wanted to know before their flows are
// searched for.
func (c *Core) pollIdle(now time.Duration, service uint64) {
	idle := c.roster.list
	if len(idle) > maxPolled {
		idle = c.roster.byService[service] // flows that may live elsewhere, too, are not reset
	}
	for _, a := range idle {
		if a.waiting == 0 && now-a.heard > statusAgeCarry {
			c.poll(now, a)
		}
	}
}

// gone reports whether an unlisted agent has left: it says so, or is silent.
func (c *Core) gone(a *agent, now time.Duration) bool {
	if a.status.State == inner.StateDown && a.statusAt > a.unlisted {
		return true
	}
	return now-a.unlisted > goneAfter && now-a.heard > goneAfter
}

// due reports whether a poll of the agent is due.
func (a *agent) due(now time.Duration) bool {
	since := now - a.lastAsk
	switch {
	case a.unlisted != 0 || a.Damaged:
		return since > unlistedPoll
	case a.waiting == 0 && a.owed > a.status.Known.Listing:
		return since > askAgain
	case a.waiting == 0:
		return false
	case now-a.waiting > absentPolls:
		return since > askAbsent
	}
	return since > askAgain
}
