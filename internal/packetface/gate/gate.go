// Package gate decides for an agent of the packet face (the part of saltbend that forwards
// packets) which packets are forwarded to its upstream. It does no I/O: packets, datagrams
// from balancers, heartbeats and the current time are passed in; datagrams to send and notes
// on decisions are returned. A Gate is not safe for concurrent use.
//
// An agent runs beside one upstream. Balancers forward the packets of callers to it; it
// forwards them to the upstream and sends replies directly to the caller. Because it sees
// every packet of its upstream in both directions, it knows the upstream's open flows,
// except those that are older than the agent process. An instance of the upstream is one run
// of it, identified by platform.Instance. A slot is room for one request that the upstream
// works on. An upstream is cold after its start until its caches are warm; its cold rate is
// the number of new flows a second that it can process until then.
//
// The agent makes the last check on an opening packet: it refuses one that is meant for
// another service or that arrives after the upstream has announced that it is leaving. A
// balancer asks agents whether they hold a flow that it does not know; the answer is an
// inner.Verdict. Package outcome judges separately whether the upstream works; that is an
// outcome.Verdict.
package gate

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/admission"
	"github.com/saltbend/saltbend/internal/packetface/capacity"
	"github.com/saltbend/saltbend/internal/packetface/evacuation"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/outcome"
	"github.com/saltbend/saltbend/internal/packetface/policy"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

// Settings configures a Gate.
type Settings struct {
	Service string
	// CallerPort is the port on which callers receive packets.
	CallerPort uint16
	// Incarnation identifies this run of the agent process.
	Incarnation uint64
	// Policies are the optional policies that are enabled.
	Policies policy.Set
	Times
}

// Times are the settings that may change while the process runs.
type Times struct {
	// DrainTimeout is how long after the acknowledgement of a drain new flows may still
	// reach the upstream.
	DrainTimeout time.Duration
	// FlowMaxAge is the maximum age of a flow. A flow without packets for that long is
	// discarded.
	FlowMaxAge time.Duration
	// HeartbeatInterval is the interval between two heartbeats of the upstream.
	HeartbeatInterval time.Duration
	// AddressReuseDelay is the least time from the end of an upstream until another one,
	// possibly of another service, may start at its address; 0 if it is not known.
	AddressReuseDelay time.Duration
	// ColdOverage limits the rate of new flows to a cold upstream when no other upstream
	// accepts them, as a multiple of the upstream's cold rate.
	ColdOverage float64
}

// Target is the kind of receiver of a datagram.
type Target uint8

// Targets of datagrams.
const (
	ToBalancer Target = iota + 1
	ToCaller
	ToUpstream
)

// Action is a datagram to send. Its bytes are valid until the next call of the Gate.
type Action struct {
	Target Target
	// To is the receiver's address; it is not set for the upstream.
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
	// KindEvacuation is recorded when the data centre is evacuated or taken back.
	KindEvacuation Kind = "evacuation"
	// KindAbandoned is recorded for a request whose caller gave up while it waited for a
	// slot.
	KindAbandoned Kind = "abandoned"
	// KindRefused is recorded for an opening packet that was held and is returned.
	KindRefused Kind = "refused"
)

// Note records one decision for logs and metrics: its kind, the inputs with their age, and
// the outcome.
type Note struct {
	Kind   Kind
	Flow   platform.Flow
	Peer   netip.AddrPort
	Reason string
	// Detail adds to the reason; it is only logged.
	Detail string
	// Version is the version of the configuration that the decision was based on.
	Version uint64
	// Running is the number of requests that the upstream is processing.
	Running int
	// Age is the time since the upstream's last heartbeat.
	Age time.Duration
	// Took is how long a request waited for a slot or for its answer, or for how long the
	// upstream is shut out.
	Took time.Duration
}

// Result holds the decisions of one call. It is valid until the next call of the Gate.
type Result struct {
	Actions []Action
	Notes   []Note
	// Answered holds the response times of requests that were answered, Waited the times
	// that requests waited for a slot, and OpeningsWaited the times that opening packets
	// waited for room.
	Answered, Waited, OpeningsWaited []time.Duration
}

// Limits and timeouts.
const (
	// drainMargin is subtracted from DrainTimeout to allow for the transit time of a packet
	// to the upstream.
	drainMargin = 700 * time.Millisecond
	// closedTTL is how long a closed or reset flow is kept, so that late packets are still
	// forwarded to its upstream, which answers them.
	closedTTL = 10 * time.Second
	// openingTTL is how long a flow that has not been opened is kept.
	openingTTL = 5 * time.Second
	// missedHeartbeats is the number of missing heartbeats after which the upstream counts
	// as silent.
	missedHeartbeats = 4
	// settleTime is the uptime from which on, while the store does not answer, the store
	// position reported by balancers is relied on: by then the balancers that use the agent
	// have polled it several times.
	settleTime = 400 * time.Millisecond
	// leaveDelay is the time from an upstream's announcement that it is leaving until it
	// counts as ended.
	leaveDelay = 200 * time.Millisecond
	// longWait is the wait for a slot from which on a request is logged individually.
	longWait = 100 * time.Millisecond
	// slowAnswer is the response time from which on a request is logged individually.
	slowAnswer = 500 * time.Millisecond
	// refusals is the number of consecutive packets refused for lack of a listening socket
	// after which the upstream counts as down.
	refusals = 2
	// refusalSpan is the least time between the first and the last of these refusals.
	refusalSpan = 20 * time.Millisecond
	// stopRepeats is how often a process that stops repeats its announcement of that, at
	// its next ticks: the datagram to a balancer may be lost.
	stopRepeats = 2
	// sweepEvery is the interval at which expired flows are removed.
	sweepEvery = 2 * time.Second
	// maxRunningTime is the time after which an unanswered request no longer counts as
	// running; callers give up on a request after 10 s at most.
	maxRunningTime = 10 * time.Second
	// maxFlows bounds the flow table: twice what an upstream holds (2,000 connections),
	// with as many closed flows.
	maxFlows = 8192
	// latencyMaxAge is the age at which the mean latency becomes invalid, so that balancers
	// try a slow upstream again.
	latencyMaxAge = 2 * time.Second
	// latencyWeight is the weight of the newest response time in the moving average of the
	// latency.
	latencyWeight = 0.1
	// firstHeartbeat is the highest sequence number that the first heartbeat of an instance
	// may have. An agent that receives the first heartbeat has been running since the
	// instance's start.
	firstHeartbeat = 1
)

// upstream is the agent's state for its upstream.
type upstream struct {
	instance   platform.Instance
	dataCentre string
	slots      int
	draining   bool
	// drainingSince is when the agent acknowledged the drain.
	drainingSince time.Duration
	// down is true if the upstream has certainly ended, silent if its heartbeats have
	// stopped. A silent upstream gets no new flows, but may still hold open ones.
	down, silent bool
	// reassignable is true once it has been logged that the address may have been
	// reassigned since the last heartbeat.
	reassignable bool
	// left is true once the upstream has announced that it ends; leftAt is when it did.
	left   bool
	leftAt time.Duration
	// lastHeartbeat is when the last heartbeat was received, 0 if none has been; sequence
	// is its sequence number.
	lastHeartbeat time.Duration
	sequence      uint64
	coldEnd       time.Duration
	// initialWarmupLeft is the remaining warm-up time given in the first heartbeat received
	// from this instance, 0 if that does not allow a conclusion about the instance's start.
	initialWarmupLeft time.Duration
	// fullyObserved is true if every packet of this instance has gone through this agent
	// process, so that a flow that the agent does not know is not held. confirmed is false
	// if the instance is known only from a single heartbeat that was not its first: that
	// heartbeat may have been delayed.
	fullyObserved, confirmed bool
	// sentPacket is true once the agent, since its start, has received a packet that only a
	// running upstream sends.
	sentPacket bool
	// refused counts consecutive packets to the upstream that were refused because no socket
	// listened, refusedAt is when the first of them was refused.
	refused   int
	refusedAt time.Duration
}

// Gate decides on the packets of one upstream. Times are durations since the start of the
// process on the monotonic clock.
type Gate struct {
	settings Settings
	service  uint64
	flows    map[platform.Flow]*flow
	queue    admission.Queue[*waiting]
	// openings are the opening packets that wait for room; held are their packets. expected
	// are the flows whose first request is expected, in the order of their admission, and
	// expectedCount is their number.
	openings      admission.Openings[platform.Flow]
	held          map[platform.Flow]*heldOpening
	expected      []expectedRequest
	expectedCount int
	// requestDelay is the mean time from the admission of a flow to its first request.
	requestDelay time.Duration
	shares       admission.Shares
	epochs       admission.Epochs
	// use is the learned use of the upstream's slots, times are its service times.
	use      capacity.Use
	times    capacity.Times
	upstream upstream
	// ended are instances that have ended; candidate is an instance that has reported but is
	// not adopted yet.
	ended     []platform.Instance
	candidate candidate
	// dispute is the state of claims to the upstream's address by instances of another
	// service.
	dispute dispute
	// versions are the newest configuration version and store position that any balancer
	// has reported.
	versions inner.Versions
	cold     cold
	// evacuation is the newest evacuation state of the data centre.
	evacuation evacuation.State
	// source is the host of the balancer that last reported the newest configuration
	// version and store position, or a change of the evacuation state.
	source [4]byte
	// judge derives the verdict on the upstream from the outcomes of its flows and
	// requests. trial is when a flow was last admitted to test an upstream on probation, 0
	// if none is pending. unansweredOpenings holds the callers of opening packets without an
	// answer.
	judge              outcome.Judge
	trial              time.Duration
	unansweredOpenings unansweredOpenings
	// lastCall is when the verdict was last checked, at a tick or a balancer's datagram, 0
	// for never; resumed is when the last pause of the process ended.
	lastCall, resumed time.Duration
	running           int
	open              int
	latency           time.Duration
	// answeredAt is when the last request was answered.
	answeredAt time.Duration
	// listedSlots is the highest number of slots that balancers have reported for the
	// upstream, 0 if none has.
	listedSlots int
	// stopping is true once the process has been asked to stop; stopAnnounced counts how
	// often that was announced again.
	stopping      bool
	stopAnnounced int
	unlisted      bool
	// ownPosition is the store's position at which this process last read or wrote the
	// store itself, 0 if it has not; pastSettleTime is true once the process has run for
	// settleTime.
	ownPosition    store.Position
	pastSettleTime bool
	// announced is the state that was last sent to balancers, stateSince is when it began.
	announced  inner.State
	stateSince time.Duration
	// balancers holds when each balancer last sent a datagram, lastDatagram when any of
	// them did.
	balancers    map[netip.AddrPort]time.Duration
	lastDatagram time.Duration
	// loadReceivers are the balancers that accept the load at the end of a status.
	loadReceivers map[netip.AddrPort]struct{}
	idle          idle
	swept         time.Duration
	out           Result
	buffer        []byte
	// questions is a buffer that is reused across calls.
	questions []inner.Question
}

// New returns a Gate for an agent process that is just starting.
func New(s Settings) *Gate {
	return &Gate{
		settings: s, service: inner.ServiceID(s.Service),
		flows: make(map[platform.Flow]*flow), balancers: make(map[netip.AddrPort]time.Duration),
		held: make(map[platform.Flow]*heldOpening), loadReceivers: make(map[netip.AddrPort]struct{}),
		queue: admission.Queue[*waiting]{LateLast: !s.Policies.On(policy.LeastSlack)},
	}
}

// SetTimes replaces the settings that may change while the process runs.
func (g *Gate) SetTimes(t Times) { g.settings.Times = t }

func (g *Gate) resetResult() {
	g.out.Actions, g.out.Notes = g.out.Actions[:0], g.out.Notes[:0]
	g.out.Answered, g.out.Waited = g.out.Answered[:0], g.out.Waited[:0]
	g.out.OpeningsWaited = g.out.OpeningsWaited[:0]
	g.buffer = g.buffer[:0]
}

func (g *Gate) note(now time.Duration, n Note) {
	n.Version, n.Running = g.versions.Version, g.running
	if g.upstream.lastHeartbeat > 0 {
		n.Age = now - g.upstream.lastHeartbeat
	}
	g.out.Notes = append(g.out.Notes, n)
}

func (g *Gate) send(target Target, to netip.AddrPort, bytes []byte) {
	g.out.Actions = append(g.out.Actions, Action{Target: target, To: to, Bytes: bytes})
}

// sendBuffer sends the part of the buffer from start on.
func (g *Gate) sendBuffer(target Target, to netip.AddrPort, start int) {
	g.send(target, to, g.buffer[start:])
}

// FromBalancer handles a datagram from a balancer.
func (g *Gate) FromBalancer(now time.Duration, from netip.AddrPort, b []byte) (*Result, error) {
	g.resetResult()
	g.lastDatagram = now
	g.balancers[from] = now
	g.idle.noteDatagram(from)
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

// Tick performs the periodic work: it detects silent upstreams, releases waiting requests
// and removes expired state.
func (g *Gate) Tick(now time.Duration) *Result {
	g.resetResult()
	g.pastSettleTime = now >= settleTime
	g.checkUpstream(now)
	g.checkVerdict(now)
	g.repeatStop(now)
	g.release(now)
	if now-g.swept >= sweepEvery {
		g.sweep(now)
	}
	return &g.out
}

// Counts are the sizes of a Gate's state.
type Counts struct {
	// HeartbeatAge is the time since the upstream's last heartbeat, 0 if there was none.
	HeartbeatAge                  time.Duration
	Flows, Open, Running, Waiting int
	// Held is the number of opening packets that wait for room.
	Held int
}

// Counts returns the current sizes of the state.
func (g *Gate) Counts(now time.Duration) Counts {
	c := Counts{Flows: len(g.flows), Open: g.open, Running: g.running, Waiting: g.queue.Len(), Held: len(g.held)}
	if g.upstream.lastHeartbeat > 0 {
		c.HeartbeatAge = now - g.upstream.lastHeartbeat
	}
	return c
}
