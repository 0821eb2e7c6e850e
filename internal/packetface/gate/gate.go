// Package gate decides for an agent of the packet face which packets its
// upstream gets. It is pure: packets, datagrams of balancers, heartbeats and
// the time come in; datagrams and notes on decisions go out. A Gate is owned by
// one caller at a time.
//
// The agent sees every packet of its upstream in both directions, so it knows
// the flows that live there, but for those that are older than the agent
// itself. It is the last to refuse an opening packet: one that is meant for
// another service, or that comes after the upstream announced that it leaves.
// Replies go straight to the caller.
package gate

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/admission"
	"github.com/saltbend/saltbend/internal/packetface/evacuation"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/outcome"
	"github.com/saltbend/saltbend/internal/packetface/policy"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

// Settings of a Gate.
type Settings struct {
	Service string
	// CallerPort is the port at which callers take packets.
	CallerPort uint16
	// Incarnation is that of the process.
	Incarnation uint64
	// Policies tells which decisions are made.
	Policies policy.Set
	Times
}

// Times are settings that may change while the process runs.
type Times struct {
	// DrainWithin is the time after the acknowledgement of a drain from which
	// on the upstream must get no new flow.
	DrainWithin time.Duration
	// FlowMaxAge is the age from which on a flow may be discarded.
	FlowMaxAge time.Duration
	// HeartbeatEvery is the time between two heartbeats of the upstream.
	HeartbeatEvery time.Duration
	// ColdOverage is how many times its rate a cold upstream may get at most.
	ColdOverage float64
}

// Target says where a datagram goes.
type Target uint8

// Targets of datagrams.
const (
	ToBalancer Target = iota + 1
	ToCaller
	ToUpstream
)

// Action is a datagram to send. Its bytes are valid until the next call.
type Action struct {
	Target Target
	// To is the address; none for the upstream.
	To    netip.AddrPort
	Bytes []byte
}

// Kind names a decision in logs and metrics.
type Kind string

// Kinds of decisions.
const (
	KindOpened   Kind = "opened"
	KindReturned Kind = "returned"
	KindBounced  Kind = "bounced"
	KindReset    Kind = "reset"
	KindProbed   Kind = "probed"
	KindUpstream Kind = "upstream"
	KindUnlisted Kind = "unlisted"
	KindDropped  Kind = "dropped"
	KindWaited   Kind = "waited"
	KindSlow     Kind = "slow-answer"
	KindVerdict  Kind = "verdict"
	// KindEvacuation tells that the data centre is evacuated, or taken back.
	KindEvacuation Kind = "evacuation"
	// KindAbandoned tells of a request whose caller gave up while it waited.
	KindAbandoned Kind = "abandoned"
)

// Note tells of one decision: its id, its inputs with their age, its outcome.
type Note struct {
	Kind   Kind
	Flow   platform.Flow
	Peer   netip.AddrPort
	Reason string
	// Detail tells more than the reason, for the log alone.
	Detail string
	// Version is that of the configuration decided by.
	Version uint64
	// Running is the number of requests that the upstream works on.
	Running int
	// Age is that of the upstream's last heartbeat.
	Age time.Duration
	// Took is how long a request waited for a slot or for its answer.
	Took time.Duration
}

// Result holds what a call decided. It is valid until the next call.
type Result struct {
	Actions []Action
	Notes   []Note
	// Answered holds the times from requests to their answers, Waited those that
	// requests have waited for a slot.
	Answered, Waited []time.Duration
}

// Limits and times of the decisions.
const (
	// drainMargin is kept free before the end of DrainWithin for the way of a
	// packet to the upstream.
	drainMargin = 700 * time.Millisecond
	// closedTime is how long a flow that was closed or reset is remembered: its
	// upstream answers what comes late.
	closedTime = 10 * time.Second
	// openingTime is how long an opening flow is remembered.
	openingTime = 5 * time.Second
	// missedHeartbeats is the number of heartbeats after whose absence the
	// upstream counts as gone.
	missedHeartbeats = 4
	// settleTime is the age from which on a process that the store does not answer
	// counts as settled: balancers that use it have polled it several times.
	settleTime = 400 * time.Millisecond
	// leaveTime is the time after which an upstream that announced its end has
	// ended.
	leaveTime = 200 * time.Millisecond
	// longWait and slowAnswer are the times from which on a request's wait for a
	// slot, or its answer, has a line of its own in the log.
	longWait   = 100 * time.Millisecond
	slowAnswer = 500 * time.Millisecond
	// refusals is the number of packets in a row for which no socket was there
	// after which the upstream counts as gone, refusalTime the least time that
	// they span.
	refusals    = 2
	refusalTime = 20 * time.Millisecond
	// sweepEvery is the time between two searches for forgotten flows.
	sweepEvery = 2 * time.Second
	// runningTime is the time after which a request without an answer no longer
	// counts as running; callers give a request 10 s at most.
	runningTime = 10 * time.Second
	// balancerTime is how long a balancer that sends nothing is told of changes.
	balancerTime = 10 * time.Second
	// maxFlows bounds the flows that an agent remembers, twice what an upstream
	// holds (2,000 connections) with as many closed ones.
	maxFlows = 8192
	// latencyTime is the age from which on the latency of the last answers says nothing
	// any more: an upstream that was slow is tried again.
	latencyTime = 2 * time.Second
	// latencyShare is the part of the newest answer in the mean latency.
	latencyShare = 0.1
	// firstHeartbeat is the highest sequence of a heartbeat that shows that the
	// agent has been there since the upstream's start.
	firstHeartbeat = 1
)

// upstream is what the agent knows of its upstream.
type upstream struct {
	life       platform.Life
	dataCentre string
	slots      int
	draining   bool
	// drained is when the agent acknowledged that it drains.
	drained time.Duration
	// down tells that it is certainly gone, silent that its heartbeats have
	// stopped: it gets no new flows, those that are open may live.
	down, silent bool
	// left tells that it announced its end, leftAt when.
	left   bool
	leftAt time.Duration
	// heard is when the last heartbeat came, 0 for never; sequence is its.
	heard    time.Duration
	sequence uint64
	coldEnd  time.Duration
	// firstCold is how long the upstream was still to be cold at the first heartbeat of
	// this life that was heard, 0 where that tells nothing of its start.
	firstCold time.Duration
	// whole tells that the agent has seen every packet of this life, confirmed
	// that it is not known from one heartbeat alone, which may have been late.
	whole, confirmed bool
	// spoke tells that it has sent a packet that shows life since the process's start.
	spoke bool
	// refused counts packets in a row that no socket took, since refusedAt.
	refused   int
	refusedAt time.Duration
}

// Gate is the state of an agent's decisions. Times are counted from the start
// of the process by the steady clock.
type Gate struct {
	settings Settings
	service  uint64
	flows    map[platform.Flow]*flow
	queue    admission.Queue[*waiting]
	upstream upstream
	// ended are lives that have ended, claim is one that is not believed in yet.
	ended []platform.Life
	claim claim
	// contested tells that a life of another service has reported that can't be checked.
	contested bool
	known     inner.Known
	cold      cold
	// evacuation is the newest word on the data centre.
	evacuation evacuation.Word
	// source is the host of the balancer that told of the newest.
	source [4]byte
	// judge judges the upstream, trial is when a flow was let in to try it, 0 for
	// none, swallowed are opening packets without an answer.
	judge     outcome.Judge
	trial     time.Duration
	swallowed swallowed
	// called is when the Gate was last called, 0 for not yet; resumed is when a pause
	// of the process last ended.
	called, resumed time.Duration
	running         int
	open            int
	latency         time.Duration
	// answeredAt is when the last request was answered.
	answeredAt time.Duration
	// listedSlots is the number of slots as balancers last told it, 0 for not.
	listedSlots int
	stopping    bool
	unlisted    bool
	// seen is the store's position that this process has seen itself, 0 for none;
	// aged tells that the process is not young any more.
	seen store.Position
	aged bool
	// announced is the state that balancers were told last, stateSince is when it
	// began.
	announced  inner.State
	stateSince time.Duration
	// balancers holds when each balancer last sent anything, asked when any did.
	balancers map[netip.AddrPort]time.Duration
	asked     time.Duration
	idle      idle
	swept     time.Duration
	out       Result
	buffer    []byte
	// questions is reused from call to call.
	questions []inner.Question
}

// New returns the Gate of a process that starts now.
func New(s Settings) *Gate {
	return &Gate{
		settings: s, service: inner.ServiceID(s.Service),
		flows: make(map[platform.Flow]*flow), balancers: make(map[netip.AddrPort]time.Duration),
		queue: admission.Queue[*waiting]{LateLast: !s.Policies.On(policy.LeastSlack)},
	}
}

// SetTimes takes over times that have changed.
func (g *Gate) SetTimes(t Times) { g.settings.Times = t }

func (g *Gate) begin() {
	g.out.Actions, g.out.Notes = g.out.Actions[:0], g.out.Notes[:0]
	g.out.Answered, g.out.Waited = g.out.Answered[:0], g.out.Waited[:0]
	g.buffer = g.buffer[:0]
}

func (g *Gate) note(now time.Duration, n Note) {
	n.Version, n.Running = g.known.Version, g.running
	if g.upstream.heard > 0 {
		n.Age = now - g.upstream.heard
	}
	g.out.Notes = append(g.out.Notes, n)
}

func (g *Gate) send(target Target, to netip.AddrPort, bytes []byte) {
	g.out.Actions = append(g.out.Actions, Action{Target: target, To: to, Bytes: bytes})
}

// sendBuffer sends what was appended to the buffer since start.
func (g *Gate) sendBuffer(target Target, to netip.AddrPort, start int) {
	g.send(target, to, g.buffer[start:])
}

// FromBalancer decides on a datagram of a balancer.
func (g *Gate) FromBalancer(now time.Duration, from netip.AddrPort, b []byte) (*Result, error) {
	g.begin()
	g.asked = now
	g.balancers[from] = now
	g.idle.called(from)
	g.checkVerdict(now)
	err := g.fromBalancer(now, from, b)
	g.release(now)
	return &g.out, err
}

func (g *Gate) fromBalancer(now time.Duration, from netip.AddrPort, b []byte) error {
	switch inner.KindOf(b) {
	case inner.KindOpen:
		return g.fromOpen(now, from, b)
	case inner.KindForward:
		return g.fromForward(now, from, b)
	case inner.KindAsk:
		return g.fromAsk(now, from, b)
	case inner.KindPoll:
		return g.fromPoll(now, from, b)
	}
	return inner.ErrDatagram
}

// Tick does what is due by time alone.
func (g *Gate) Tick(now time.Duration) *Result {
	g.begin()
	g.aged = now >= settleTime
	g.checkUpstream(now)
	g.checkVerdict(now)
	g.release(now)
	if now-g.swept >= sweepEvery {
		g.sweep(now)
	}
	return &g.out
}

// Counts of what a Gate holds.
type Counts struct {
	// HeartbeatAge is the time since the upstream's last heartbeat, 0 for none.
	HeartbeatAge                  time.Duration
	Flows, Open, Running, Waiting int
}

// Counts returns the sizes of the state.
func (g *Gate) Counts(now time.Duration) Counts {
	c := Counts{Flows: len(g.flows), Open: g.open, Running: g.running, Waiting: g.queue.Len()}
	if g.upstream.heard > 0 {
		c.HeartbeatAge = now - g.upstream.heard
	}
	return c
}
