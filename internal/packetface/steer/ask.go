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

// A search for a flow's owner: package search keeps its account, here questions and
// probes are sent and what the roster knows is added.

// Limits and times of searches.
const (
	// flushInterval is the least time between two batches of questions.
	flushInterval = 3 * time.Millisecond
	// maxTickDelay bounds the lateness of the process's own ticks that searches are
	// stretched by: callers repeat a packet after 200 ms.
	maxTickDelay = 100 * time.Millisecond
	// searchesPerTick bounds the searches that begin between two ticks: 6,400 a second,
	// fewer where ticks come late. Each asks every agent that may hold the flow, so
	// packets of flows that never were would reach agents many times over: 50,000 a
	// second at one balancer as some 100,000 datagrams a second to 140 agents (worked
	// out). What goes over is dropped; a living caller sends it again after 200 ms.
	searchesPerTick = 32
	// probesPerTick bounds the packets that all searches hand to agents for their
	// upstreams to tell. A tick comes every 5 ms, and later where the processor is
	// short: 4,800 a second at most, fewer on a host that has no time for them.
	probesPerTick = 24
	// maxHeldPackets bounds the packets kept for one flow: a caller has at most
	// 16 on their way.
	maxHeldPackets = 16
	// maxSearches bounds the flows that are asked for at once.
	maxSearches = 4096
	// questionsPerTick bounds the questions between two ticks, to whichever agents: some
	// 480 datagrams. In a larger fleet fewer searches get all of theirs at once, and the
	// others the rest with their next round.
	questionsPerTick = 32 << 10
)

// ownerSearch is the search for the agent whose upstream holds a flow.
type ownerSearch struct {
	search *search.Search
	// packets are kept for the owner; acknowledged is the caller's last count.
	packets      [][]byte
	acknowledged uint32
}

// searchOwner begins or goes on with the search for a flow's owner.
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

// holdPacket keeps a copy of a packet until the owner is found.
func (c *Core) holdPacket(q *ownerSearch, now time.Duration, p *platform.Packet, b []byte) {
	q.search.Packet(now)
	q.acknowledged = p.Acknowledge
	if len(q.packets) < maxHeldPackets {
		q.packets = append(q.packets, slices.Clone(b))
	}
}

// askNextStage asks the agents of the current stage, or of the next that has any. It
// reports whether there was one to ask.
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
			q.search.Staged(now)
			return true
		}
	}
	return false
}

// candidates returns the agents among which those of a stage are. Only the last
// stage looks at all of a large fleet, and that only while the balancer is young.
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

// inStage reports whether an agent that is likely in a stage is asked in it.
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

// flushQuestions sends all questions, those to one agent together. The first goes at
// once, what comes soon after it waits a little for more, and for longer where the
// processor is short: each datagram and its answer cost as much as many questions.
func (c *Core) flushQuestions(now time.Duration) {
	if len(c.questioned) == 0 || now-c.lastFlush < max(flushInterval, c.tickDelay) {
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

// repeatQuestions repeats the question to agents that have not answered, asks those that
// are new, and probes once more those that can't tell. Each time it waits for
// longer.
func (c *Core) repeatQuestions(now time.Duration, id platform.Flow, q *ownerSearch) {
	q.search.BeginRound(now)
	for member := range q.search.In(search.Waiting) {
		if a := c.roster.byID[member]; !a.isSuspect(now) {
			c.queueQuestion(id, q, a)
		}
	}
	c.askNextStage(now, id, q)
	c.advance(now, id, q)
}

// askNowProven asks an agent that can tell only now for all flows that it could not tell
// of: it has heard of an upstream that began after it. After a common loss of power
// most do so within some 10 ms, long before the next round.
func (c *Core) askNowProven(a *agent) {
	for id, q := range c.searches {
		if q.search.AskAgain(a.id) {
			c.queueQuestion(id, q, a)
		}
	}
}

// handleAnswers takes the handleAnswers of an agent.
func (c *Core) handleAnswers(now time.Duration, a *agent, b []byte) error {
	answers, listing, err := inner.ParseAnswers(c.answerBuffer[:0], b)
	if err != nil {
		return err
	}
	c.answerBuffer = answers
	c.noteReported(now, a, inner.Known{Listing: listing}, [4]byte{})
	for _, answer := range answers {
		if q := c.searches[answer.Flow]; q != nil {
			c.handleVerdict(now, answer.Flow, q, a, answer.Verdict)
		}
	}
	return nil
}

// handleVerdict takes an agent's verdict on a flow.
func (c *Core) handleVerdict(now time.Duration, id platform.Flow, q *ownerSearch, a *agent, verdict inner.Verdict) {
	if verdict == inner.VerdictHeld {
		c.ownerFound(now, id, q, a)
		return
	}
	q.search.Take(a.id, verdict)
	c.advance(now, id, q)
}

// ownerFound remembers the owner and sends it the packets that were kept.
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

// advance probes agents that can't tell, goes on to the next stage once all of this
// one have answered, and resets the flow after the last if nobody holds it.
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

// hasUnanswered reports whether an agent that was asked has proved nothing yet.
func (c *Core) hasUnanswered(now time.Duration, id platform.Flow, q *ownerSearch) bool {
	return c.isBlocked(now, id, q, search.Waiting)
}

// hasUnproven reports whether an agent can't tell and its upstream has not told either.
func (c *Core) hasUnproven(now time.Duration, id platform.Flow, q *ownerSearch) bool {
	return c.isBlocked(now, id, q, search.Untold) || c.isBlocked(now, id, q, search.Probed)
}

// isBlocked reports whether an agent in a state keeps a search from going on: all do
// but those that may be passed over.
func (c *Core) isBlocked(now time.Duration, id platform.Flow, q *ownerSearch, state search.State) bool {
	count := q.search.Count(state)
	if count == 0 || count > c.roster.absentCount {
		return count > 0
	}
	for member := range q.search.In(state) {
		if !c.maySkip(now, id, c.roster.byID[member]) {
			return true
		}
	}
	return false
}

// conclude resets a flow that certainly no upstream holds.
func (c *Core) conclude(now time.Duration, id platform.Flow, q *ownerSearch) {
	if !c.provenUnheld(now, id, q) {
		return
	}
	delete(c.searches, id)
	c.dead[id] = now + deadFlowRetention
	c.resetWithNote(id, q.acknowledged, Note{Reason: reasonHeldByNone, Count: q.search.Asked(), Age: q.search.Age(now)})
}

// provenUnheld reports whether every agent that may hold a flow has said that it
// does not. A list that is older than one that an agent has heard of may lack
// the agent that does, and so may one without any agent of the route. A few
// agents may be passed over as absent.
func (c *Core) provenUnheld(now time.Duration, id platform.Flow, q *ownerSearch) bool {
	if !c.listComplete(now) {
		return false
	}
	if route := c.route(id); route != nil && !c.roster.servesAll(route.Services) {
		return false
	}
	absent, holders := 0, c.possibleHolders(now, id)
	for _, a := range holders {
		if q.search.Proved(a.id) {
			continue
		}
		if !c.maySkip(now, id, a) {
			return false
		}
		absent++
	}
	return absent*absentDivisor <= len(holders)
}

// blockReason returns what kept a flow from being reset, for the log.
func (c *Core) blockReason(now time.Duration, id platform.Flow, q *ownerSearch) string {
	switch {
	case c.settings.AwaitPeers && !c.peersAsked:
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

// maySkip reports whether an agent need not be asked, as it is absent: a
// flow that it may hold stands still, and its caller can repeat its requests.
func (c *Core) maySkip(now time.Duration, id platform.Flow, a *agent) bool {
	route := c.route(id)
	return route != nil && route.Repeatable && a.isAbsent(now, c.settings.AbsentAfter)
}

// probe hands a packet of a flow to agents that can't tell, as many as the tick
// allows.
func (c *Core) probe(now time.Duration, q *ownerSearch) {
	if c.probeBudget <= 0 {
		return
	}
	for _, member := range q.search.Probe(c.probeBudget) {
		c.probeBudget--
		c.forward(now, c.roster.byID[member], q.packets[0], inner.Forward{Flags: inner.FlagProbe})
	}
}

// tickSearches asks the next agents where some are slow to answer, and ends asks
// whose caller has given up.
func (c *Core) tickSearches(now time.Duration) {
	c.measureTickDelay(now)
	c.probeBudget, c.searchBudget, c.questionBudget = probesPerTick, searchesPerTick, questionsPerTick
	if !c.settings.Policies.On(policy.BoundedSearches) {
		c.probeBudget, c.searchBudget, c.questionBudget, c.tickDelay = math.MaxInt, math.MaxInt, math.MaxInt, 0
	}
	for id, q := range c.searches {
		switch {
		case q.search.GivenUp(now):
			delete(c.searches, id)
			c.note(Note{Kind: KindDropped, Flow: id, Reason: "owner-not-found-" + c.blockReason(now, id, q), Count: q.search.Asked() - q.search.Count(search.None), Age: q.search.Age(now)})
		case q.search.StageDue(now, c.tickDelay):
			q.search.Stage++
			c.askNextStage(now, id, q)
		case q.search.RoundDue(now):
			c.repeatQuestions(now, id, q)
		default:
			c.advance(now, id, q)
		}
	}
}

// measureTickDelay notes how long after each other ticks come while searches last: each
// is asked for 5 ms after the one before, and comes later where the processor is
// short.
func (c *Core) measureTickDelay(now time.Duration) {
	c.tickDelay = 0
	if c.searching {
		c.tickDelay = min(now-c.lastTick, maxTickDelay)
	}
	c.lastTick, c.searching = now, c.Waiting()
}
