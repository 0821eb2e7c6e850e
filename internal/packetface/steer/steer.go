// Package steer decides for a balancer of the packet face where each packet of
// a caller goes. It is pure: packets, datagrams of agents, lists of agents,
// routes and the time come in; datagrams and notes on decisions go out. A Core
// is owned by one caller at a time.
//
// A packet that opens a flow goes to the agent that looks best. All others
// follow the balancer's memory of the flow. Where it has none (it started
// lately, or the fabric moved the flow) it asks the agents who holds the flow:
// each agent sees all packets of its upstream. A flow is reset only once every
// agent has said that its upstream does not hold it.
package steer

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/evacuation"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/policy"
	"github.com/saltbend/saltbend/internal/packetface/routing"
	"github.com/saltbend/saltbend/platform"
)

// Settings of a Core.
type Settings struct {
	// DataCentre is that of the balancer's host.
	DataCentre string
	// Regions are those of the data centres.
	Regions map[string]string
	// CallerPort is the port at which callers take packets.
	CallerPort uint16
	// AbsentAfter is the silence of an agent after which flows that it holds are
	// reset where their requests can be repeated, 0 for never.
	AbsentAfter time.Duration
	// FlowMaxAge is the longest life of a flow, 0 where it is not known.
	FlowMaxAge time.Duration
	// AwaitPeers tells that no flow is reset until SetPeersAsked is called.
	AwaitPeers bool
	// Policies tells which decisions are made.
	Policies policy.Set
	// Random breaks ties between agents.
	Random *rand.Rand
}

// Action is a datagram to send. Its bytes are valid until the next call.
type Action struct {
	To    netip.AddrPort
	Bytes []byte
	// ToCaller tells that the datagram is a packet for a caller.
	ToCaller bool
}

// Kind names a decision in logs and metrics.
type Kind string

// Kinds of decisions.
const (
	KindPlaced    Kind = "placed"
	KindMoved     Kind = "placed-again"
	KindFound     Kind = "owner-found"
	KindReset     Kind = "reset"
	KindDropped   Kind = "dropped"
	KindSuspected Kind = "agent-suspected"
	KindRecovered Kind = "agent-recovered"
	KindState     Kind = "agent-state"
	KindListed    Kind = "agent-listed"
	KindUnlisted  Kind = "agent-unlisted"
	KindGone      Kind = "agent-gone"
	KindNewer     Kind = "newer-version-heard"
)

// Note tells of one decision: its id, its inputs with their age, its outcome.
type Note struct {
	Kind   Kind
	Flow   platform.Flow
	Agent  netip.AddrPort
	Reason string
	// Version is that of the configuration decided by.
	Version uint64
	// Age is that of the belief on the agent decided by.
	Age time.Duration
	// Took is how long the agent before had an opening packet that is handed on.
	Took time.Duration
	// Source is the host of a balancer that knows a newer version.
	Source netip.Addr
	// Count depends on the kind: hops of a placement, agents asked, the state
	// before (0: none was known).
	Count int
}

// Result holds what a call decided. It is valid until the next call.
type Result struct {
	Actions []Action
	Notes   []Note
}

// Limits and times of the decisions.
const (
	// copyTimeout is the silence of an agent after which a copy of an opening
	// packet goes to another; callers send copies after 200 and 600 ms.
	copyTimeout = 150 * time.Millisecond
	// maxHops bounds how many agents are tried with one opening packet. Three may return
	// it for want of a slot, the others for want of an upstream: many at once where hosts
	// start beside upstreams that are gone. 24 take some 70 ms, less than the time to
	// the caller's next copy.
	maxHops = 24
	// listSettleTime is the time after the first list of agents before which the
	// list is not taken for whole: entries that lapsed may be on their way back.
	listSettleTime = 250 * time.Millisecond
	// relistSettleTime is the same after the store came back from a copy. Agents whose entries
	// it lost hear of it from the balancers that notice last, after some 1.5 s, look for
	// their entries within 2 s, and are listed again.
	relistSettleTime = 4 * time.Second
	// deadFlowRetention is how long a flow counts as reset without asking again.
	deadFlowRetention = 5 * time.Second
	// openingTimeout is how long an opening flow is remembered without an answer.
	openingTimeout = 5 * time.Second
	// sweepInterval is the time between two searches for forgotten flows.
	sweepInterval = 5 * time.Second
	// maxFlows bounds the flows that a balancer remembers: four times the
	// planned 25,000 of a node (docs/CAPACITY.md).
	maxFlows = 100_000
	// pauseThreshold is the time between two calls of a Core after which the process
	// counts as paused: ticks come every 50 ms.
	pauseThreshold = 400 * time.Millisecond
	// newerNoteInterval bounds how often a newer version is told of.
	newerNoteInterval = 200 * time.Millisecond
	// newerRepeatInterval is the time after which a version that is still missing is told of
	// again: longer than changes are collected before a balancer takes them over (1.2 s).
	newerRepeatInterval = 1500 * time.Millisecond
)

// Core is the state of a balancer's decisions. Times are counted from the
// start of the process by the steady clock.
type Core struct {
	settings Settings
	table    *routing.Table
	// tableFresh tells that the configuration has lately been confirmed.
	tableFresh bool
	idleLimit  time.Duration
	roster     roster
	former     formerServices
	// evacuations are the operators' requests to empty data centres.
	evacuations evacuation.Record
	flows       map[platform.Flow]*flow
	searches    map[platform.Flow]*ownerSearch
	dead        map[platform.Flow]time.Duration
	lastSweep   time.Duration
	// lastTick is when the last tick was, searching whether searches were under way
	// then, tickDelay how long after each other ticks come meanwhile, 0 for not known.
	lastTick, tickDelay time.Duration
	searching           bool
	// probeBudget, searchBudget and questionBudget are how many of them may begin until the next tick.
	probeBudget, searchBudget, questionBudget int
	// lastCall is when the Core was last lastCall, 0 for not yet.
	lastCall time.Duration
	// newer is the newest version that was heard of, toldNewer when one was told of, 0 for
	// never.
	newer        newerVersion
	newerNotedAt time.Duration
	// questioned are the agents with questions to be sent, flushed is when the
	// last were.
	questioned []*agent
	// peersAsked tells that other balancers have told which agents they know.
	peersAsked bool
	lastFlush  time.Duration
	// early are opening packets that came before the first list.
	early  []earlyOpening
	out    Result
	buffer []byte
	// answerBuffer is reused from call to call.
	answerBuffer []inner.Answer
}

// New returns a Core without routes and agents.
func New(s Settings) *Core {
	return &Core{
		settings:     s,
		roster:       newRoster(),
		former:       formerServices{retention: formerRetentionFactor * s.FlowMaxAge},
		flows:        make(map[platform.Flow]*flow),
		searches:     make(map[platform.Flow]*ownerSearch),
		dead:         make(map[platform.Flow]time.Duration),
		probeBudget:  probesPerTick,
		searchBudget: searchesPerTick, questionBudget: questionsPerTick,
	}
}

// SetTable puts a version of the configuration in force.
func (c *Core) SetTable(now time.Duration, t *routing.Table, idleLimit time.Duration) {
	c.former.update(now, c.table, t)
	c.table, c.idleLimit = t, idleLimit
}

// SetFlowMaxAge takes over a bound that has changed.
func (c *Core) SetFlowMaxAge(d time.Duration) {
	c.former.setRetention(c.lastCall, formerRetentionFactor*d)
}

// SetTableFresh tells whether the configuration is known to be the newest:
// only then is an unknown face certainly none.
func (c *Core) SetTableFresh(fresh bool) { c.tableFresh = fresh }

// Counts of what a Core holds.
type Counts struct {
	Flows, Asks, Agents, Suspected int
}

// Counts returns the sizes of the state.
func (c *Core) Counts(now time.Duration) Counts {
	n := Counts{Flows: len(c.flows), Asks: len(c.searches), Agents: len(c.roster.list)}
	for _, a := range c.roster.list {
		if a.isSuspect(now) {
			n.Suspected++
		}
	}
	return n
}

// Serving reports whether some agent has answered, so that flows can be placed.
func (c *Core) Serving() bool {
	for _, a := range c.roster.list {
		if a.lastReceived > 0 {
			return true
		}
	}
	return false
}

// Blind reports whether agents are listed and not one of them answers: then it
// is likely the balancer that is cut off.
func (c *Core) Blind(now time.Duration) bool {
	for _, a := range c.roster.list {
		if !a.isSuspect(now) {
			return false
		}
	}
	return len(c.roster.list) > 0
}

// Balancers returns how many balancers the agents hear of, at least 1.
func (c *Core) Balancers() int {
	n := 1
	for _, a := range c.roster.list {
		n = max(n, int(a.status.Balancers))
	}
	return n
}

func (c *Core) begin(now time.Duration) {
	if c.lastCall != 0 && now-c.lastCall > pauseThreshold {
		c.resetTimeouts(now)
	}
	c.lastCall = max(now, 1)
	c.out.Actions, c.out.Notes = c.out.Actions[:0], c.out.Notes[:0]
	c.buffer = c.buffer[:0]
}

func (c *Core) note(n Note) {
	if c.table != nil {
		n.Version = c.table.Version
	}
	c.out.Notes = append(c.out.Notes, n)
}

// send queues the bytes that were appended to the buffer since start.
func (c *Core) send(to netip.AddrPort, start int) {
	c.out.Actions = append(c.out.Actions, Action{To: to, Bytes: c.buffer[start:]})
}

// FromCaller decides on a packet that came from a caller.
func (c *Core) FromCaller(now time.Duration, b []byte) (*Result, error) {
	c.begin(now)
	p, err := platform.ParsePacket(b)
	if err != nil {
		return &c.out, err
	}
	id := p.FromCaller()
	if p.IsOpening() {
		c.open(now, id, b)
	} else {
		c.forwardOrSearch(now, id, &p, b)
	}
	c.flushQuestions(now)
	return &c.out, nil
}

func (c *Core) route(id platform.Flow) *routing.Route {
	if c.table == nil {
		return nil
	}
	return c.table.Find(id)
}

// FromAgent decides on a datagram that came from an agent.
func (c *Core) FromAgent(now time.Duration, from netip.AddrPort, b []byte) (*Result, error) {
	c.begin(now)
	a := c.roster.agents[from]
	if a == nil {
		a = c.restoreRemoved(now, from, b)
	}
	if a == nil {
		if inner.KindOf(b) == inner.KindCheck {
			c.pollUnknown(from)
		}
		return &c.out, nil // it is not listed yet
	}
	if a.noteReceived(now) {
		c.note(Note{Kind: KindRecovered, Agent: from})
	}
	err := c.fromAgent(now, a, b)
	c.flushQuestions(now)
	return &c.out, err
}

func (c *Core) fromAgent(now time.Duration, a *agent, b []byte) error {
	switch inner.KindOf(b) {
	case inner.KindStatus:
		return c.handleStatus(now, a, b)
	case inner.KindReturned:
		return c.handleReturned(now, a, b)
	case inner.KindAnswer:
		return c.handleAnswers(now, a, b)
	case inner.KindCheck:
		c.answerCheck(now, a)
		return nil
	}
	return inner.ErrDatagram
}

func (c *Core) handleStatus(now time.Duration, a *agent, b []byte) error {
	s, err := inner.ParseStatus(b)
	if err != nil {
		return err
	}
	if s.State != a.status.State {
		c.note(Note{Kind: KindState, Agent: a.Addr, Reason: s.State.String(), Age: s.StateFor, Count: int(a.status.State)})
	}
	couldTell, knewAll := a.status.State.Proven(), a.status.Whole
	a.setStatus(s, now)
	c.roster.noteWarmup(a)
	c.noteReported(now, a, s.Known, s.Source)
	c.applyReportedEvacuation(now, a, s)
	if !couldTell && s.State.Proven() || !knewAll && s.Whole {
		c.askNowProven(a)
	}
	return nil
}

// known returns how new the balancer's beliefs are.
func (c *Core) known() inner.Known {
	k := inner.Known{Listing: c.roster.age.Newest}
	if c.table != nil {
		k.Version = c.table.Version
	}
	return k
}

// coldOf returns what is known of how upstreams of a service warm up: where the
// configuration does not tell for how long, what they have shown.
func (c *Core) coldOf(service uint64) (cold inner.Cold) {
	if c.table != nil {
		cold = c.table.Cold(service)
	}
	if cold.Warmup == 0 {
		cold.Warmup = c.roster.warmups[service]
	}
	if cold.Warmup == 0 {
		cold.Warmup = c.roster.estimates[service].warmup
	}
	return cold
}

// Tick does what is due by time alone.
func (c *Core) Tick(now time.Duration) *Result {
	c.begin(now)
	c.tickSearches(now)
	c.flushQuestions(now)
	c.tickAgents(now)
	c.tickWarmups(now)
	c.tickNewer(now)
	if now-c.lastSweep >= sweepInterval {
		c.sweep(now)
	}
	return &c.out
}

// Waiting reports whether asks wait for answers, so that ticks are wanted soon.
func (c *Core) Waiting() bool { return len(c.searches) > 0 }
