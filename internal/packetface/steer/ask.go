package steer

import (
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

// Limits and times of asking.
const (
	// stageTime is how long one group of agents is waited for before the next
	// is asked; an answer from another data centre takes about 3 ms.
	stageTime = 8 * time.Millisecond
	// roundTime is the time after which agents without an answer are asked
	// again; it doubles up to roundMost.
	roundTime = 100 * time.Millisecond
	roundMost = 800 * time.Millisecond
	// flushEvery is the least time between two batches of questions.
	flushEvery = 3 * time.Millisecond
	// askTime is how long an ask without a new packet is kept.
	askTime = 2500 * time.Millisecond
	// maxHeldPackets bounds the packets kept for one flow: a caller has at most
	// 16 on their way.
	maxHeldPackets = 16
	// maxAsks bounds the flows that are asked for at once.
	maxAsks = 4096
	// maxAsked bounds the agents that are asked for one flow. With more, a young
	// balancer resets no flow.
	maxAsked = 256
)

// Stages of asking: likely agents first.
const (
	stageNear  = iota // agents of the route's services in the own data centre
	stageRoute        // the others of the route's services
	stageAll          // all others that may hold it: the face may have led to other services
	stageEnd
)

// ask is the search for the agent whose upstream holds a flow.
type ask struct {
	// stage is the group of agents that is asked now, staged since when.
	stage  int
	staged time.Duration
	// began is when the search began, last when the caller's last packet came.
	began, last time.Duration
	// round is when agents were last asked, rounds how often again.
	round  time.Duration
	rounds int
	// packets are kept for the owner; acknowledged is the caller's last count.
	packets      [][]byte
	acknowledged uint32
	// asked are all agents asked; none have said that they do not hold the flow,
	// maybe that they can't tell; probed were handed a packet to find out.
	asked, none, maybe, probed map[*agent]bool
}

// ask begins or goes on with the search for a flow's owner.
func (c *Core) ask(now time.Duration, id platform.Flow, p *platform.Packet, b []byte) {
	q := c.asks[id]
	if q == nil {
		if len(c.asks) >= maxAsks {
			c.note(Note{Kind: KindDropped, Flow: id, Reason: "too-many-asks"})
			return
		}
		q = &ask{
			began: now, staged: now, round: now,
			asked: map[*agent]bool{}, none: map[*agent]bool{}, maybe: map[*agent]bool{}, probed: map[*agent]bool{},
		}
		c.asks[id] = q
		c.hold(q, now, p, b)
		c.askStage(now, id, q)
		return
	}
	c.hold(q, now, p, b)
	if q.roundDue(now) {
		c.askAgain(now, id, q)
	}
}

// hold keeps a copy of a packet until the owner is found.
func (c *Core) hold(q *ask, now time.Duration, p *platform.Packet, b []byte) {
	q.last, q.acknowledged = now, p.Acknowledge
	if len(q.packets) < maxHeldPackets {
		q.packets = append(q.packets, slices.Clone(b))
	}
}

// askStage asks the agents of the current stage, or of the next that has any.
func (c *Core) askStage(now time.Duration, id platform.Flow, q *ask) {
	for ; q.stage < stageEnd; q.stage++ {
		sent := 0
		for _, a := range c.likely(now, id, q.stage) {
			if !q.asked[a] && c.inStage(q.stage, a) && len(q.asked) < maxAsked {
				c.sendAsk(id, q, a)
				sent++
			}
		}
		if sent > 0 {
			q.staged = now
			return
		}
	}
}

// likely returns the agents among which those of a stage are. Only the last
// stage looks at all of a large fleet, and that only while the balancer is young.
func (c *Core) likely(now time.Duration, id platform.Flow, stage int) []*agent {
	route := c.route(id)
	switch {
	case stage == stageAll:
		return c.holders(now, id)
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
func (c *Core) inStage(stage int, a *agent) bool {
	return stage != stageNear || a.DataCentre == c.settings.DataCentre
}

// sendAsk queues a question to an agent.
func (c *Core) sendAsk(id platform.Flow, q *ask, a *agent) {
	q.asked[a] = true
	if len(a.questions) == 0 {
		c.questioned = append(c.questioned, a)
	}
	a.questions = append(a.questions, inner.Question{Flow: id, Acknowledged: q.acknowledged})
}

// flushAsks sends all questions, those to one agent together. The first goes at
// once, what comes soon after it waits a little for more.
func (c *Core) flushAsks(now time.Duration) {
	if len(c.questioned) == 0 || now-c.flushed < flushEvery {
		return
	}
	c.flushed = now
	for _, a := range c.questioned {
		for part := range slices.Chunk(a.questions, inner.MaxQuestions) {
			start := len(c.buffer)
			c.buffer = inner.AppendAsk(c.buffer, part)
			a.asked(now)
			c.send(a.Addr, start)
		}
		a.questions = a.questions[:0]
	}
	c.questioned = c.questioned[:0]
}

// askAgain repeats the question to agents that have not answered, asks those that
// are new, and probes once more those that can't tell. Each time it waits for
// longer.
func (c *Core) askAgain(now time.Duration, id platform.Flow, q *ask) {
	q.round = now
	q.rounds++
	for _, a := range unanswered(q) {
		if !a.suspect(now) {
			c.sendAsk(id, q, a)
		}
	}
	clear(q.probed)
	q.stage = stageNear // agents that were listed meanwhile
	c.askStage(now, id, q)
	c.progress(now, id, q)
}

// roundDue reports whether agents without an answer are to be asked again.
func (q *ask) roundDue(now time.Duration) bool {
	return now-q.round > min(roundTime<<q.rounds, roundMost)
}

// answers takes the answers of an agent.
func (c *Core) answers(now time.Duration, a *agent, b []byte) error {
	answers, listing, err := inner.ParseAnswers(c.answered[:0], b)
	if err != nil {
		return err
	}
	c.answered = answers
	c.hearKnown(now, a, inner.Known{Listing: listing}, [4]byte{})
	for _, answer := range answers {
		if q := c.asks[answer.Flow]; q != nil {
			c.take(now, answer.Flow, q, a, answer.Verdict)
		}
	}
	return nil
}

// take takes an agent's verdict on a flow.
func (c *Core) take(now time.Duration, id platform.Flow, q *ask, a *agent, verdict inner.Verdict) {
	switch verdict {
	case inner.VerdictHeld:
		c.found(now, id, q, a)
		return
	case inner.VerdictNone:
		q.none[a] = true
		delete(q.maybe, a)
	case inner.VerdictMaybe:
		q.maybe[a] = true
	}
	c.progress(now, id, q)
}

// found remembers the owner and sends it the packets that were kept.
func (c *Core) found(now time.Duration, id platform.Flow, q *ask, a *agent) {
	c.note(Note{Kind: KindFound, Flow: id, Agent: a.Addr, Count: len(q.asked), Age: now - q.began})
	f := c.remember(id, now)
	f.agent, f.open, f.placed = a, true, now
	if route := c.route(id); route != nil {
		f.terms = route.Terms
	}
	delete(c.asks, id)
	for _, packet := range q.packets {
		c.forward(now, a, packet, inner.Forward{Terms: f.terms})
	}
}

// progress goes on once all agents of a stage have answered.
func (c *Core) progress(now time.Duration, id platform.Flow, q *ask) {
	if !c.stageAnswered(now, id, q) {
		return
	}
	if q.stage < stageEnd {
		q.stage++
		c.askStage(now, id, q)
	}
	if q.stage == stageEnd && c.stageAnswered(now, id, q) {
		c.conclude(now, id, q)
	}
}

// stageAnswered reports whether all that were asked have answered, but for those
// that may be passed over.
func (c *Core) stageAnswered(now time.Duration, id platform.Flow, q *ask) bool {
	for _, a := range unanswered(q) {
		if !c.mayPassOver(now, id, a) {
			return false
		}
	}
	return true
}

// unanswered returns the agents that were asked and have not answered, in the
// order of their addresses.
func unanswered(q *ask) []*agent {
	var out []*agent
	for a := range q.asked {
		if !a.removed && !q.none[a] && !q.maybe[a] {
			out = append(out, a)
		}
	}
	slices.SortFunc(out, func(a, b *agent) int { return a.Addr.Compare(b.Addr) })
	return out
}

// conclude resets a flow that certainly no upstream holds, and lets upstreams
// tell whose agents can't.
func (c *Core) conclude(now time.Duration, id platform.Flow, q *ask) {
	if len(q.maybe) > 0 {
		c.probe(now, q)
		return
	}
	if !c.certain(now, id, q) {
		return
	}
	delete(c.asks, id)
	c.dead[id] = now + deadTime
	c.reset(id, q.acknowledged, "held-by-none")
}

// certain reports whether every agent that may hold a flow has said that it
// does not. A list that is older than one that an agent has heard of may lack
// the agent that does, and so may one without any agent of the route. A few
// agents may be passed over as absent.
func (c *Core) certain(now time.Duration, id platform.Flow, q *ask) bool {
	if !c.listWhole(now) {
		return false
	}
	if route := c.route(id); route != nil && !c.roster.serves(route.Services) {
		return false
	}
	absent, holders := 0, c.holders(now, id)
	for _, a := range holders {
		if q.none[a] {
			continue
		}
		if !c.mayPassOver(now, id, a) {
			return false
		}
		absent++
	}
	return absent*absentPart <= len(holders)
}

// doubt returns what kept a flow from being reset, for the log.
func (c *Core) doubt(now time.Duration, id platform.Flow, q *ask) string {
	switch {
	case c.settings.AwaitPeers && !c.peersAsked:
		return "peers-not-asked"
	case c.roster.outdated():
		return "list-outdated"
	case !c.stageAnswered(now, id, q):
		return "agents-silent"
	case len(q.maybe) > 0:
		return "agents-cannot-tell"
	}
	return "agents-unsure"
}

// mayPassOver reports whether an agent need not be asked, as it is absent: a
// flow that it may hold stands still, and its caller can repeat its requests.
func (c *Core) mayPassOver(now time.Duration, id platform.Flow, a *agent) bool {
	route := c.route(id)
	return route != nil && route.Repeatable && a.absent(now, c.settings.AbsentAfter)
}

// serves reports whether each of the services has an agent.
func (r *roster) serves(services []uint64) bool {
	for _, service := range services {
		if len(r.byService[service]) == 0 {
			return false
		}
	}
	return true
}

func (c *Core) probe(now time.Duration, q *ask) {
	for a := range q.maybe {
		if q.probed[a] || a.removed {
			continue
		}
		q.probed[a] = true
		c.forward(now, a, q.packets[0], inner.Forward{Flags: inner.FlagProbe})
	}
}

// tickAsks asks the next agents where some are slow to answer, and ends asks
// whose caller has given up.
func (c *Core) tickAsks(now time.Duration) {
	for id, q := range c.asks {
		switch {
		case now-q.last > askTime:
			delete(c.asks, id)
			c.note(Note{Kind: KindDropped, Flow: id, Reason: "owner-not-found-" + c.doubt(now, id, q), Count: len(q.asked) - len(q.none)})
		case q.stage < stageEnd && now-q.staged > stageTime:
			q.stage++
			c.askStage(now, id, q)
		case q.roundDue(now):
			c.askAgain(now, id, q)
		case q.stage == stageEnd && c.stageAnswered(now, id, q):
			c.conclude(now, id, q)
		}
	}
}
