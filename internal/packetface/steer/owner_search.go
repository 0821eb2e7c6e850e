package steer

import (
	"math"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/policy"
	"github.com/saltbend/saltbend/internal/packetface/search"
	"github.com/saltbend/saltbend/platform"
)

// This file searches for the owner of a flow, the agent whose upstream holds it. Package
// search keeps the state of each search; this file sends the questions and probes and adds
// what the roster knows of the agents.

// Limits and intervals of searches.
const (
	// flushInterval is the minimum time between two batches of questions.
	flushInterval = 3 * time.Millisecond
	// maxTickInterval bounds how far searches are slowed down because ticks are late:
	// callers repeat a packet after 200 ms.
	maxTickInterval = 100 * time.Millisecond
	// searchesPerTick bounds the searches that start between two ticks: 6,400 a second,
	// fewer if ticks are late. Each search asks every agent that may hold the flow, so
	// packets of flows that never existed would be multiplied: 50,000 a second at one
	// balancer would cause some 100,000 datagrams a second to 140 agents (calculated).
	// Packets above the limit are dropped; a caller that is still running sends its
	// packet again after 200 ms.
	searchesPerTick = 32
	// probesPerTick bounds the probes of all searches together. A probe is a packet of
	// the flow that is sent to an agent so that its upstream shows whether it holds the
	// flow. A tick comes every 5 ms, and later if the processor is overloaded: 4,800
	// probes a second at most, fewer on a host that has no time for them.
	probesPerTick = 24
	// maxHeldPackets bounds the packets buffered for one flow: a caller has at most 16 in
	// flight.
	maxHeldPackets = 16
	// maxSearches bounds the searches that run at once.
	maxSearches = 4096
	// questionsPerTick bounds the questions between two ticks, to all agents together:
	// some 480 datagrams. In a larger fleet fewer searches send all their questions at
	// once, and the others send the rest in their next round.
	questionsPerTick = 32 << 10
)

// ownerSearch is the search for the agent whose upstream holds a flow.
type ownerSearch struct {
	search *search.Search
	// packets are buffered for the owner; acknowledged is the acknowledgement number of
	// the caller's last packet.
	packets      [][]byte
	acknowledged uint32
}

// searchOwner starts or continues the search for a flow's owner.
func (c *Core) searchOwner(now time.Duration, id platform.Flow, p *platform.Packet, b []byte) {
	q := c.searches[id]
	if q != nil {
		c.holdPacket(q, now, p, b)
		if q.search.RoundDue(now) {
			c.repeatQuestions(now, id, q)
		}
		return
	}
	if len(c.searches) >= maxSearches || c.searchBudget <= 0 {
		c.note(Note{Kind: KindDropped, Flow: id, Reason: "too-many-searches", Count: len(c.searches)})
		return
	}
	c.searchBudget--
	q = &ownerSearch{search: search.New(now)}
	c.searches[id] = q
	c.holdPacket(q, now, p, b)
	c.askNextStage(now, id, q)
}

// holdPacket buffers a copy of a packet until the owner is found.
func (c *Core) holdPacket(q *ownerSearch, now time.Duration, p *platform.Packet, b []byte) {
	q.search.NotePacket(now)
	q.acknowledged = p.Acknowledge
	if len(q.packets) < maxHeldPackets {
		q.packets = append(q.packets, slices.Clone(b))
	}
}

// askNextStage asks the agents of the current stage, or of the next stage that has any
// left to ask. It reports whether it asked an agent.
func (c *Core) askNextStage(now time.Duration, id platform.Flow, q *ownerSearch) bool {
	for ; q.search.Stage < search.End; q.search.Stage++ {
		sent := 0
		for _, a := range c.candidates(now, id, q.search.Stage) {
			if c.inStage(q.search.Stage, a) && c.questionBudget > 0 && q.search.Ask(a.id) {
				c.questionBudget--
				c.queueQuestion(id, q, a)
				sent++
			}
		}
		if sent > 0 {
			q.search.NoteStageAsked(now)
			return true
		}
	}
	return false
}

// candidates returns the agents from which those of a stage are selected. Only the last
// stage considers all agents of a large fleet, and only until the balancer has a complete
// record of former services.
func (c *Core) candidates(now time.Duration, id platform.Flow, stage search.Stage) []*agent {
	route := c.route(id)
	switch {
	case stage == search.All:
		return c.possibleHolders(now, id)
	case route == nil:
		return nil
	case len(route.Services) == 1:
		return c.roster.byService[route.Services[0]]
	}
	var all []*agent
	for _, service := range route.Services {
		all = append(all, c.roster.byService[service]...)
	}
	return all
}

// inStage reports whether a candidate for a stage is asked in that stage.
func (c *Core) inStage(stage search.Stage, a *agent) bool {
	return stage != search.Near || a.DataCentre == c.settings.DataCentre
}

// queueQuestion queues a question to an agent.
func (c *Core) queueQuestion(id platform.Flow, q *ownerSearch, a *agent) {
	if len(a.questions) == 0 {
		c.questioned = append(c.questioned, a)
	}
	a.questions = append(a.questions, inner.Question{Flow: id, Acknowledged: q.acknowledged})
}

// flushQuestions sends all queued questions, batched by agent. The first question is sent
// at once; questions that follow soon after it wait for flushInterval, so that more can
// be batched, and for longer if ticks are late: a datagram and its answer cost as much as
// many questions.
func (c *Core) flushQuestions(now time.Duration) {
	if len(c.questioned) == 0 || now-c.lastFlush < max(flushInterval, c.tickInterval) {
		return
	}
	c.lastFlush = now
	for _, a := range c.questioned {
		for part := range slices.Chunk(a.questions, inner.MaxQuestions) {
			start := len(c.buffer)
			c.buffer = inner.AppendAsk(c.buffer, inner.AskHead{Service: a.Service, Cold: c.coldOf(a.Service)}, part)
			a.noteRequest(now)
			c.send(a.Addr, start)
		}
		a.questions = a.questions[:0]
	}
	c.questioned = c.questioned[:0]
}

// repeatQuestions starts a new round of a search: it repeats the question to agents that
// have not answered, asks new agents, and probes those again that cannot tell. The time
// between rounds grows.
func (c *Core) repeatQuestions(now time.Duration, id platform.Flow, q *ownerSearch) {
	q.search.BeginRound(now)
	for member := range q.search.InState(search.Waiting) {
		if a := c.roster.byID[member]; !a.isSuspect(now) {
			c.queueQuestion(id, q, a)
		}
	}
	c.askNextStage(now, id, q)
	c.advance(now, id, q)
}

// askNowProven asks an agent again those questions of all searches that the agent could
// not answer before. The agent can answer them now, as it has received a report of its
// upstream, and the upstream started after the agent. After a simultaneous power loss most
// agents receive that report within some 10 ms, long before the next round.
func (c *Core) askNowProven(a *agent) {
	for id, q := range c.searches {
		if q.search.AskAgain(a.id) {
			c.queueQuestion(id, q, a)
		}
	}
}

// handleAnswers processes the answers of an agent.
func (c *Core) handleAnswers(now time.Duration, a *agent, b []byte) error {
	answers, listing, err := inner.ParseAnswers(c.answerBuffer[:0], b)
	if err != nil {
		return err
	}
	c.answerBuffer = answers
	c.noteReported(now, a, inner.Versions{Listing: listing}, [4]byte{})
	for _, answer := range answers {
		if q := c.searches[answer.Flow]; q != nil {
			c.handleVerdict(now, answer.Flow, q, a, answer.Verdict)
		}
	}
	return nil
}

// handleVerdict processes an agent's verdict on a flow.
func (c *Core) handleVerdict(now time.Duration, id platform.Flow, q *ownerSearch, a *agent, verdict inner.Verdict) {
	if verdict == inner.VerdictHeld {
		c.ownerFound(now, id, q, a)
		return
	}
	q.search.RecordVerdict(a.id, verdict)
	c.advance(now, id, q)
}

// ownerFound records the owner and sends it the buffered packets.
func (c *Core) ownerFound(now time.Duration, id platform.Flow, q *ownerSearch, a *agent) {
	c.note(Note{Kind: KindFound, Flow: id, Agent: a.Addr, Count: q.search.Asked(), Age: q.search.Age(now)})
	f := c.addFlow(id, now)
	f.agent, f.open, f.placed = a, true, now
	if route := c.route(id); route != nil {
		f.terms = route.Terms
	}
	delete(c.searches, id)
	for _, packet := range q.packets {
		c.forward(now, a, packet, inner.Forward{Terms: f.terms})
	}
}

// advance probes agents that cannot tell whether their upstreams hold the flow, continues
// with the next stage once all agents of the current one have answered, and resets the
// flow after the last stage if no agent holds it.
func (c *Core) advance(now time.Duration, id platform.Flow, q *ownerSearch) {
	for {
		c.probe(now, q)
		if c.hasUnanswered(now, id, q) || c.hasUnproven(now, id, q) {
			return
		}
		if q.search.Stage == search.End {
			c.conclude(now, id, q)
			return
		}
		q.search.Stage++
		if c.askNextStage(now, id, q) {
			return
		}
	}
}

// hasUnanswered reports whether the search waits for the answer of an agent.
func (c *Core) hasUnanswered(now time.Duration, id platform.Flow, q *ownerSearch) bool {
	return c.isBlocked(now, id, q, search.Waiting)
}

// hasUnproven reports whether the search waits for an agent that cannot tell, and whose
// upstream has not answered a probe either.
func (c *Core) hasUnproven(now time.Duration, id platform.Flow, q *ownerSearch) bool {
	return c.isBlocked(now, id, q, search.CannotTell) || c.isBlocked(now, id, q, search.Probed)
}

// isBlocked reports whether an agent in the given state keeps a search from continuing:
// all do except those that may be skipped.
func (c *Core) isBlocked(now time.Duration, id platform.Flow, q *ownerSearch, state search.State) bool {
	count := q.search.Count(state)
	if count == 0 || count > c.roster.absentCount {
		return count > 0
	}
	for member := range q.search.InState(state) {
		if !c.maySkip(now, id, c.roster.byID[member]) {
			return true
		}
	}
	return false
}

// conclude resets the flow if it is proved that no upstream holds it.
func (c *Core) conclude(now time.Duration, id platform.Flow, q *ownerSearch) {
	skipped, proven := c.provenUnheld(now, id, q)
	if !proven {
		return
	}
	delete(c.searches, id)
	c.dead[id] = now + deadFlowRetention
	n := Note{Reason: reasonHeldByNone, Count: q.search.Asked(), Age: q.search.Age(now), Absent: len(skipped)}
	if len(skipped) > 0 {
		n.Agent, n.Took = skipped[0].Addr, now-skipped[0].waitingSince
	}
	c.resetWithNote(id, q.acknowledged, n)
}

// provenUnheld reports whether every agent that may hold the flow has answered that its
// upstream does not. The list of agents may lack the owner if an agent has reported a
// newer list, or if a service of the route has no agent listed; then nothing is proved. A
// limited number of agents may be skipped as absent; they are returned.
func (c *Core) provenUnheld(now time.Duration, id platform.Flow, q *ownerSearch) (skipped []*agent, proven bool) {
	if !c.listComplete(now) {
		return nil, false
	}
	if route := c.route(id); route != nil && !c.roster.servesAll(route.Services) {
		return nil, false
	}
	holders := c.possibleHolders(now, id)
	for _, a := range holders {
		if q.search.Proved(a.id) {
			continue
		}
		if !c.maySkip(now, id, a) {
			return nil, false
		}
		skipped = append(skipped, a)
	}
	return skipped, len(skipped)*absentDivisor <= len(holders)
}

// blockReason returns what kept a flow from being reset, for the log.
func (c *Core) blockReason(now time.Duration, id platform.Flow, q *ownerSearch) string {
	switch {
	case c.settings.AwaitPeers && !c.peerAgentsAdded:
		return "peers-not-asked"
	case c.roster.outdated():
		return "list-outdated"
	case c.hasUnanswered(now, id, q):
		return "agents-silent"
	case c.hasUnproven(now, id, q):
		return "agents-cannot-tell"
	}
	return "agents-unsure"
}

// maySkip reports whether a search may skip an agent because it is absent: a flow that it
// may hold makes no progress, and the caller can retry its requests.
func (c *Core) maySkip(now time.Duration, id platform.Flow, a *agent) bool {
	route := c.route(id)
	return route != nil && route.Idempotent && a.isAbsent(now, c.settings.AbsentAfter)
}

// probe sends a packet of a flow to agents that cannot tell, as many as the budget of the
// tick allows.
func (c *Core) probe(now time.Duration, q *ownerSearch) {
	if c.probeBudget <= 0 {
		return
	}
	for _, member := range q.search.Probe(c.probeBudget) {
		c.probeBudget--
		c.forward(now, c.roster.byID[member], q.packets[0], inner.Forward{Flags: inner.FlagProbe})
	}
}

// tickSearches continues all searches: it asks the agents of the next stage where those of
// the current one are slow to answer, and ends searches whose caller has given up.
func (c *Core) tickSearches(now time.Duration) {
	c.measureTickInterval(now)
	c.probeBudget, c.searchBudget, c.questionBudget = probesPerTick, searchesPerTick, questionsPerTick
	if !c.settings.Policies.On(policy.BoundedSearches) {
		c.probeBudget, c.searchBudget, c.questionBudget, c.tickInterval = math.MaxInt, math.MaxInt, math.MaxInt, 0
	}
	for id, q := range c.searches {
		switch {
		case q.search.CallerGone(now):
			delete(c.searches, id)
			c.note(Note{Kind: KindDropped, Flow: id, Reason: "owner-not-found-" + c.blockReason(now, id, q), Count: q.search.Asked() - q.search.Count(search.NotHeld), Age: q.search.Age(now)})
		case q.search.StageDue(now, c.tickInterval):
			q.search.Stage++
			c.askNextStage(now, id, q)
		case q.search.RoundDue(now):
			c.repeatQuestions(now, id, q)
		default:
			c.advance(now, id, q)
		}
	}
}

// measureTickInterval records the time between ticks while searches run: each tick is
// requested 5 ms after the previous one, and comes later if the processor is overloaded.
func (c *Core) measureTickInterval(now time.Duration) {
	c.tickInterval = 0
	if c.searching {
		c.tickInterval = min(now-c.lastTick, maxTickInterval)
	}
	c.lastTick, c.searching = now, c.Waiting()
}
