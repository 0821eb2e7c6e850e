// Package steer decides for a balancer of the packet face (the part of saltbend that
// forwards packets) where each packet of a caller is sent. It does no I/O: packets,
// datagrams of agents, lists of agents, routes and the time are its input; datagrams to
// send and notes on decisions are its output. A Core must not be used by two goroutines at
// once.
//
// An agent is the process in front of an upstream and sees all packets of the upstream. A
// face is an address and port to which callers open flows; its route names the services
// that the flows are distributed to. A slot is room for one request that an upstream works
// on. An upstream is cold after its start until its caches are warm.
//
// A packet that opens a flow is sent to the agent with the lowest score. All other
// packets follow the balancer's table of flows. If a flow is not in the table, because
// the balancer started recently or the network now routes the flow to it, the balancer
// asks the agents which upstream holds the flow. A flow is reset only once every agent
// that may hold it has answered that its upstream does not.
package steer

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/admission"
	"github.com/saltbend/saltbend/internal/packetface/evacuation"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/policy"
	"github.com/saltbend/saltbend/internal/packetface/routing"
	"github.com/saltbend/saltbend/platform"
)

// Settings configure a Core.
type Settings struct {
	// DataCentre is the data centre of the balancer's host.
	DataCentre string
	// Regions maps data centres to their regions.
	Regions map[string]string
	// CallerPort is the port at which callers receive packets.
	CallerPort uint16
	// AbsentAfter is the time without an answer from an agent after which flows that it
	// may hold are reset, if their requests can be retried; 0 for never.
	AbsentAfter time.Duration
	// FlowMaxAge is the maximum lifetime of a flow, 0 if it is not known.
	FlowMaxAge time.Duration
	// AwaitPeers holds back resets of flows that no upstream holds until AddPeerAgents is
	// called.
	AwaitPeers bool
	// Policies are the optional decisions that are enabled.
	Policies policy.Set
	// Random breaks ties between agents and selects the agents to poll about evacuations.
	Random *rand.Rand
}

// Action is a datagram to send. Its bytes are valid until the next call of the Core.
type Action struct {
	To    netip.AddrPort
	Bytes []byte
	// ToCaller is set if the datagram is a packet for a caller.
	ToCaller bool
}

// Kind names a decision in logs and metrics.
type Kind string

// Kinds of decisions.
const (
	KindPlaced      Kind = "placed"
	KindPlacedAgain Kind = "placed-again"
	KindFound       Kind = "owner-found"
	KindReset       Kind = "reset"
	KindDropped     Kind = "dropped"
	KindSuspected   Kind = "agent-suspected"
	KindRecovered   Kind = "agent-recovered"
	KindState       Kind = "agent-state"
	KindListed      Kind = "agent-listed"
	KindUnlisted    Kind = "agent-unlisted"
	KindRemoved     Kind = "agent-gone"
	KindNewer       Kind = "newer-version-heard"
	// KindShort and KindRoom: a service has had no free slot for some time, and has room
	// again.
	KindShort Kind = "service-short"
	KindRoom  Kind = "service-has-room"
)

// Note describes a decision: its kind, its inputs with their age, and its outcome.
type Note struct {
	Kind   Kind
	Flow   platform.Flow
	Agent  netip.AddrPort
	Reason string
	// Version is the version of the configuration on which the decision is based.
	Version uint64
	// Age is the age of the information on the agent on which the decision is based.
	Age time.Duration
	// Took is how long the previous agent had an opening packet that is sent to another
	// agent, how long a service has been short of room, or for how long the first of the
	// Absent agents has been silent.
	Took time.Duration
	// Source is the host of a balancer that has a newer version.
	Source netip.Addr
	// Count depends on the kind: the hops of a placement, the number of agents asked, or
	// the previous state (0: none was known).
	Count int
	// Absent is the number of agents that a search skipped as absent before the flow was
	// reset; Agent is the first of them.
	Absent int
	// Bar, Standing and Agents describe the refusal of a flow for lack of room: the bar of
	// its service (0 for none), the flow's standing, and the number of agents from whose
	// figures the bar was computed. Age is the age of the oldest of these figures.
	Bar, Standing admission.Standing
	Agents        int
}

// Result holds what a call decided. It is valid until the next call of the Core.
type Result struct {
	Actions []Action
	Notes   []Note
}

// Limits and time-outs of the decisions.
const (
	// copyTimeout is the silence of an agent after which a copy of an opening packet goes
	// to another agent; callers send copies after 200 and 600 ms.
	copyTimeout = 150 * time.Millisecond
	// maxHops bounds how many agents are tried with one opening packet. Three may return
	// it because they have no free slot, the others because they have no upstream, as
	// many agents do at once when hosts start whose upstreams are gone. 24 tries take
	// some 70 ms, less than the time to the caller's next copy.
	maxHops = 24
	// maxRefusals is the number of agents that may return an opening packet as overloaded
	// before it is refused.
	maxRefusals = 3
	// maxRefusalsWithRoom replaces maxRefusals while other agents are known to have room.
	maxRefusalsWithRoom = 8
	// listSettleTime is how long the list of agents counts as incomplete after the first
	// list arrived: agents whose entries expired may be about to be listed again.
	listSettleTime = 250 * time.Millisecond
	// relistSettleTime replaces listSettleTime after the store was restored from a copy.
	// Agents whose entries the store lost learn of the restore from balancers, the last of
	// which detect it after some 1.5 s, check their entries within 2 s, and are listed
	// again.
	relistSettleTime = 4 * time.Second
	// deadFlowRetention is how long a flow that was reset is remembered: further packets
	// of it are reset without another search.
	deadFlowRetention = 5 * time.Second
	// openingTimeout is how long an opening flow is kept without a further packet.
	openingTimeout = 5 * time.Second
	// sweepInterval is the time between two removals of expired state.
	sweepInterval = 5 * time.Second
	// maxFlows bounds the table of flows: four times the planned 25,000 of a node
	// (docs/CAPACITY.md).
	maxFlows = 100_000
	// pauseThreshold is the time between two calls of a Core after which the process is
	// taken to have been paused: ticks come every 50 ms.
	pauseThreshold = 400 * time.Millisecond
	// newerNoteInterval is the minimum time between two notes of what the balancer lacks.
	newerNoteInterval = 200 * time.Millisecond
	// newerRepeatInterval is the time after which the note of a version that is still
	// missing is repeated. It is longer than the time for which changes are collected
	// before a balancer applies them (1.2 s).
	newerRepeatInterval = 1500 * time.Millisecond
)

// Core makes the decisions of a balancer and holds the state for them. Times are counted
// from the start of the process by the monotonic clock.
type Core struct {
	settings Settings
	table    *routing.Table
	// tableFresh is set if the configuration has recently been confirmed to be current.
	tableFresh bool
	idleLimit  time.Duration
	roster     roster
	former     formerServices
	// evacuations are the operators' requests to evacuate data centres.
	evacuations evacuation.Record
	flows       map[platform.Flow]*flow
	// spareFlow is the state of a flow that was refused, for the next flow.
	spareFlow *flow
	searches  map[platform.Flow]*ownerSearch
	dead      map[platform.Flow]time.Duration
	lastSweep time.Duration
	// lastTick is when the last tick was; searching is true if searches were running then;
	// tickInterval is the time between two ticks while searches run, 0 if not known.
	lastTick, tickInterval time.Duration
	searching              bool
	// probeBudget, searchBudget and questionBudget are how many probes, searches and
	// questions may start until the next tick.
	probeBudget, searchBudget, questionBudget int
	// lastCall is when the Core was last called, 0 for not yet.
	lastCall time.Duration
	epochs   admission.Epochs
	// levels are the levels of services.
	levels   map[levelKey]*serviceLevel
	services serviceRecords
	// newer is the newest version that an agent has reported; newerNotedAt is when the
	// last note of something newer was added, 0 for never.
	newer        newerVersion
	newerNotedAt time.Duration
	// questioned are the agents with questions to send.
	questioned []*agent
	// peerAgentsAdded is set once other balancers have reported which agents they know.
	peerAgentsAdded bool
	// lastFlush is when questions were last sent.
	lastFlush time.Duration
	// early are opening packets that arrived before the first list of agents.
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
		levels:       make(map[levelKey]*serviceLevel),
		services:     serviceRecords{records: make(map[uint64]*serviceRecord)},
		probeBudget:  probesPerTick,
		searchBudget: searchesPerTick, questionBudget: questionsPerTick,
	}
}

// SetTable applies a version of the configuration.
func (c *Core) SetTable(now time.Duration, t *routing.Table, idleLimit time.Duration) {
	c.former.update(now, c.table, t)
	c.table, c.idleLimit = t, idleLimit
}

// SetFlowMaxAge changes the maximum lifetime of a flow.
func (c *Core) SetFlowMaxAge(d time.Duration) {
	c.former.setRetention(c.lastCall, formerRetentionFactor*d)
}

// SetTableFresh sets whether the configuration is known to be current: only then does a
// missing route prove that a face does not exist.
func (c *Core) SetTableFresh(fresh bool) { c.tableFresh = fresh }

// Counts are the sizes of a Core's state.
type Counts struct {
	Flows, Searches, Agents, Suspected int
}

// Counts returns the sizes of the state.
func (c *Core) Counts(now time.Duration) Counts {
	n := Counts{Flows: len(c.flows), Searches: len(c.searches), Agents: len(c.roster.list)}
	for _, a := range c.roster.list {
		if a.isSuspect(now) {
			n.Suspected++
		}
	}
	return n
}

// Serving reports whether flows can be placed: at least one agent has sent a datagram.
func (c *Core) Serving() bool {
	for _, a := range c.roster.list {
		if a.lastReceived > 0 {
			return true
		}
	}
	return false
}

// Isolated reports whether agents are listed and none of them answers: the balancer itself
// is probably cut off then.
func (c *Core) Isolated(now time.Duration) bool {
	for _, a := range c.roster.list {
		if !a.isSuspect(now) {
			return false
		}
	}
	return len(c.roster.list) > 0
}

// Balancers returns the number of balancers in the fleet, which agents count by the
// datagrams that they receive; it is at least 1.
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

// send adds an action with the bytes that were appended to the buffer since start.
func (c *Core) send(to netip.AddrPort, start int) {
	c.out.Actions = append(c.out.Actions, Action{To: to, Bytes: c.buffer[start:]})
}

// FromCaller processes a packet from a caller.
func (c *Core) FromCaller(now time.Duration, b []byte) (*Result, error) {
	c.begin(now)
	p, err := platform.ParsePacket(b)
	if err != nil {
		return &c.out, err
	}
	id := p.FromCaller()
	if p.IsOpening() {
		c.open(now, now, id, b)
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

// FromAgent processes a datagram from an agent.
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
		return &c.out, nil // the sender is not a known agent
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
	couldTell, knewAll := a.status.State.Proven(), a.status.KnowsAllFlows
	a.setStatus(s, now)
	if s.HasLoad {
		c.epochs.Observe(now, s.Load.Epoch)
	}
	c.roster.noteWarmup(a)
	c.noteReported(now, a, s.Versions, s.Source)
	c.applyReportedEvacuation(now, a, s)
	if !couldTell && s.State.Proven() || !knewAll && s.KnowsAllFlows {
		c.askNowProven(a)
	}
	return nil
}

// versions returns the version of the configuration and the store position of the list of
// agents that the balancer has.
func (c *Core) versions() inner.Versions {
	v := inner.Versions{Listing: c.roster.age.Newest}
	if c.table != nil {
		v.Version = c.table.Version
	}
	return v
}

// coldOf returns the cold rate and warm-up of the upstreams of a service. If the
// configuration does not contain the warm-up, the one in the agents' entries is returned,
// or else the estimated one.
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

// Tick runs the timers: retries, time-outs and the removal of expired state.
func (c *Core) Tick(now time.Duration) *Result {
	c.begin(now)
	c.tickSearches(now)
	c.flushQuestions(now)
	c.tickAgents(now)
	c.tickWarmups(now)
	c.tickNewer(now)
	c.observeServices(now)
	if now-c.lastSweep >= sweepInterval {
		c.sweep(now)
	}
	return &c.out
}

// Waiting reports whether searches are running, so that the next tick is needed soon.
func (c *Core) Waiting() bool { return len(c.searches) > 0 }
