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

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

// Settings of a Gate.
type Settings struct {
	Service string
	// CallerPort is the port at which callers take packets.
	CallerPort uint16
	// Incarnation is that of the process.
	Incarnation uint64
	// DrainWithin is the time after the acknowledgement of a drain from which
	// on the upstream must get no new flow.
	DrainWithin time.Duration
	// FlowMaxAge is the age from which on a flow may be discarded.
	FlowMaxAge time.Duration
	// HeartbeatEvery is the time between two heartbeats of the upstream.
	HeartbeatEvery time.Duration
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
)

// Note tells of one decision: its id, its inputs with their age, its outcome.
type Note struct {
	Kind   Kind
	Flow   platform.Flow
	Peer   netip.AddrPort
	Reason string
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
	// settleTime is the age from which on a process without an entry counts as
	// settled: balancers that use it have polled it several times.
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
	// latencyShare is the part of the newest answer in the mean latency.
	latencyShare = 0.1
	// firstHeartbeat is the highest sequence of a heartbeat that shows that the
	// agent has been there since the upstream's start.
	firstHeartbeat = 1
)

type flowState uint8

const (
	flowOpening flowState = iota + 1
	flowOpen
	flowClosed
)

// flow is what the agent knows of a flow.
type flow struct {
	state flowState
	// balancer sent the last packet.
	balancer netip.AddrPort
	// began is when the upstream last accepted the opening, or else when the flow
	// was first seen; seen is when its last packet came.
	began, seen time.Duration
	// answered tells that the upstream has accepted the opening; accepted is
	// the sequence of its answer.
	answered bool
	accepted uint32
	// acknowledged is the caller's last count.
	acknowledged uint32
	// sent is the caller's count after the data that the upstream got; sentKnown
	// tells that any was seen. What a caller repeats is no new request.
	sent      uint32
	sentKnown bool
	// running tells that a request is not answered yet, asked since when.
	running bool
	asked   time.Duration
	// rank orders requests that wait, 0 first; served tells that a request of
	// the flow has been answered; waiting is the request that waits, if any.
	rank    uint8
	served  bool
	waiting *waiting
	// callerDone and upstreamDone tell that the end has closed its direction.
	callerDone, upstreamDone bool
	// probing tells that the agent has handed on a packet without knowing
	// whether the upstream holds the flow.
	probing bool
}

// upstream is what the agent knows of its upstream.
type upstream struct {
	id       string
	slots    int
	draining bool
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
	// whole tells that the agent has seen every packet of this life.
	whole bool
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
	queue    []*waiting
	upstream upstream
	known    inner.Known
	// source is the host of the balancer that told of the newest.
	source   [4]byte
	running  int
	open     int
	latency  time.Duration
	stopping bool
	unlisted bool
	// listed is the store's revision of this process's entry, 0 while it has
	// none; aged tells that the process is not young any more.
	listed uint64
	aged   bool
	// balancers holds when each balancer last sent anything, asked when any did.
	balancers map[netip.AddrPort]time.Duration
	asked     time.Duration
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
	}
}

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
		return g.fromAsk(from, b)
	case inner.KindPoll:
		return g.fromPoll(now, from, b)
	}
	return inner.ErrDatagram
}

func (g *Gate) fromPoll(now time.Duration, from netip.AddrPort, b []byte) error {
	flags, known, err := inner.ParsePoll(b)
	if err != nil {
		return err
	}
	g.hearKnown(from, known)
	if flags&inner.FlagUnlisted != 0 && !g.unlisted {
		g.unlisted = true
		g.note(now, Note{Kind: KindUnlisted, Peer: from})
	}
	g.sendStatus(now, from)
	return nil
}

// hearKnown notes how new a balancer's beliefs are.
func (g *Gate) hearKnown(from netip.AddrPort, known inner.Known) {
	if known.Max(g.known) == known && from.Addr().Is4() {
		g.source = from.Addr().As4()
	}
	g.known = g.known.Max(known)
}

// TakeUnlisted reports whether a balancer has told since the last call that
// the store does not list this agent.
func (g *Gate) TakeUnlisted() bool {
	told := g.unlisted
	g.unlisted = false
	return told
}

// AskedAt returns when a balancer last sent anything.
func (g *Gate) AskedAt() time.Duration { return g.asked }

func (g *Gate) fromOpen(now time.Duration, from netip.AddrPort, b []byte) error {
	head, packet, err := inner.ParseOpen(b)
	if err != nil {
		return err
	}
	p, err := platform.ParsePacket(packet)
	if err != nil {
		return err
	}
	g.hearKnown(from, head.Known)
	id := p.FromCaller()
	if reason := g.refusal(now, id, head); reason != 0 {
		g.giveBack(now, from, id, reason, packet)
	} else {
		g.admit(now, from, id, packet)
	}
	if head.Flags&inner.FlagStatus != 0 {
		g.sendStatus(now, from)
	}
	return nil
}

// refusal returns why the upstream must not get an opening packet, 0 if it may.
func (g *Gate) refusal(now time.Duration, id platform.Flow, head inner.Open) inner.Reason {
	must := head.Flags&inner.FlagMust != 0
	switch {
	case head.Service != g.service:
		return inner.ReasonService
	case g.upstream.down || g.upstream.left || g.upstream.silent:
		return inner.ReasonDown
	case g.flows[id] != nil && !g.upstream.draining:
		return 0 // a copy of an opening packet that was let in
	case g.upstream.draining && (!must || now-g.upstream.drained > g.settings.DrainWithin-drainMargin):
		return inner.ReasonDraining
	case g.stopping && !must:
		return inner.ReasonDraining
	case !must && head.Hops == 0 && g.full():
		return inner.ReasonBusy
	}
	return 0
}

// giveBack returns a packet to the balancer that sent it.
func (g *Gate) giveBack(now time.Duration, to netip.AddrPort, id platform.Flow, reason inner.Reason, packet []byte) {
	g.note(now, Note{Kind: KindReturned, Flow: id, Peer: to, Reason: reason.String()})
	start := len(g.buffer)
	g.buffer = inner.AppendReturned(g.buffer, reason, packet)
	g.sendBuffer(ToBalancer, to, start)
}

// admit hands an opening packet to the upstream.
func (g *Gate) admit(now time.Duration, from netip.AddrPort, id platform.Flow, packet []byte) {
	f := g.flows[id]
	if f == nil {
		f = g.remember(id, now, flowOpening)
		g.note(now, Note{Kind: KindOpened, Flow: id, Peer: from})
	}
	f.balancer, f.seen = from, now
	g.send(ToUpstream, netip.AddrPort{}, packet)
}

// remember makes room for a flow; a full table forgets any closed one first.
func (g *Gate) remember(id platform.Flow, now time.Duration, state flowState) *flow {
	if len(g.flows) >= maxFlows {
		g.makeRoom()
	}
	f := &flow{began: now, seen: now}
	g.flows[id] = f
	g.setState(f, state)
	return f
}

func (g *Gate) makeRoom() {
	for id, f := range g.flows {
		if f.state == flowClosed {
			g.forget(id, f)
			return
		}
	}
	g.upstream.whole = false // a living flow is forgotten: the upstream tells
	for id, f := range g.flows {
		g.forget(id, f)
		return
	}
}

func (g *Gate) forget(id platform.Flow, f *flow) {
	g.setState(f, flowClosed)
	delete(g.flows, id)
}

// setState keeps the counts of open flows and running requests true.
func (g *Gate) setState(f *flow, state flowState) {
	if f.state == flowOpen {
		g.open--
	}
	if state == flowOpen {
		g.open++
	}
	if state == flowClosed {
		g.setRunning(f, false)
		g.drop(f)
	}
	f.state = state
}

func (g *Gate) setRunning(f *flow, running bool) {
	if f.running == running {
		return
	}
	f.running = running
	if running {
		g.running++
	} else {
		g.running--
	}
}

func (g *Gate) fromForward(now time.Duration, from netip.AddrPort, b []byte) error {
	flags, packet, err := inner.ParseForward(b)
	if err != nil {
		return err
	}
	p, err := platform.ParsePacket(packet)
	if err != nil {
		return err
	}
	g.carry(now, from, flags, &p, packet)
	if flags&inner.FlagStatus != 0 {
		g.sendStatus(now, from)
	}
	return nil
}

// carry hands a packet of a flow to the upstream if it may hold the flow.
func (g *Gate) carry(now time.Duration, from netip.AddrPort, flags inner.Flags, p *platform.Packet, packet []byte) {
	id := p.FromCaller()
	f := g.flows[id]
	if g.upstream.down || (f == nil && g.upstream.whole) || (f != nil && !g.owns(f, p.Acknowledge)) {
		g.giveBack(now, from, id, g.unknown(), packet)
		return
	}
	if f == nil {
		f = g.remember(id, now, flowOpening)
		f.probing = true
		g.note(now, Note{Kind: KindProbed, Flow: id, Peer: from})
	}
	f.balancer, f.seen, f.acknowledged, f.rank = from, now, p.Acknowledge, flags.Rank()
	if !f.probing && f.state == flowOpening {
		g.setState(f, flowOpen)
	}
	f.callerDone = f.callerDone || p.Flags.Has(platform.FlagFIN)
	if g.hold(now, id, f, p, packet) {
		return
	}
	g.countRequest(now, f, p)
	g.closeIfDone(f, p)
	g.send(ToUpstream, netip.AddrPort{}, packet)
}

// owns reports whether a packet with this count belongs to the flow as this
// upstream has opened it: copies of an opening packet may have reached several,
// and the caller goes on with the one whose answer came first.
func (g *Gate) owns(f *flow, acknowledged uint32) bool {
	if f.state != flowOpening || f.probing {
		return true
	}
	const window = 1 << 17 // more than 16 packets of data
	return f.answered && acknowledged-f.accepted < window
}

// countRequest notes that data of a request goes to the upstream.
func (g *Gate) countRequest(now time.Duration, f *flow, p *platform.Packet) {
	if !f.isNew(p) {
		return
	}
	f.sent, f.sentKnown = p.Sequence+uint32(p.Length), true
	if f.state != flowOpen {
		return
	}
	if !f.running {
		f.asked = now
	}
	g.setRunning(f, true)
}

// isNew reports whether a packet brings data that the upstream has not got.
func (f *flow) isNew(p *platform.Packet) bool {
	end := p.Sequence + uint32(p.Length)
	return p.Length > 0 && (!f.sentKnown || int32(end-f.sent) > 0)
}

func (g *Gate) fromAsk(from netip.AddrPort, b []byte) (err error) {
	g.questions, err = inner.ParseAsk(g.questions[:0], b)
	if err != nil {
		return err
	}
	start := len(g.buffer)
	g.buffer = inner.AppendAnswerHead(g.buffer, g.known.Listing)
	for _, q := range g.questions {
		g.buffer = inner.AppendAnswer(g.buffer, inner.Answer{Flow: q.Flow, Verdict: g.verdict(q.Flow, q.Acknowledged)})
	}
	g.sendBuffer(ToBalancer, from, start)
	return nil
}

// SetListed tells the store's revision of this process's entry.
func (g *Gate) SetListed(revision uint64) { g.listed = revision }

// settled reports whether a balancer whose list is as new as this process's
// entry has told of it: the process then knows of every agent that was listed
// before. One without an entry goes by its age.
func (g *Gate) settled() bool {
	if g.listed == 0 {
		return g.aged && g.known.Listing > 0
	}
	return g.known.Listing >= g.listed
}

// verdict says whether the upstream holds a flow.
func (g *Gate) verdict(id platform.Flow, acknowledged uint32) inner.Verdict {
	f := g.flows[id]
	switch {
	case g.upstream.down, f == nil && g.upstream.whole:
		return g.none()
	case f == nil || f.probing:
		return inner.VerdictMaybe
	case g.owns(f, acknowledged):
		return inner.VerdictHeld
	}
	return g.none()
}

// none returns the verdict on a flow that the upstream does not hold.
func (g *Gate) none() inner.Verdict {
	if g.settled() {
		return inner.VerdictNone
	}
	return inner.VerdictUnsure
}

// unknown is none as the reason for returning a packet.
func (g *Gate) unknown() inner.Reason {
	if g.settled() {
		return inner.ReasonUnknown
	}
	return inner.ReasonUnsure
}

// Status returns how the agent and its upstream are.
func (g *Gate) Status(now time.Duration) inner.Status {
	u := &g.upstream
	s := inner.Status{
		State: inner.StateReady, Incarnation: g.settings.Incarnation, Known: g.known, Source: g.source,
		Running: uint16(min(g.running+len(g.queue), 1<<16-1)), Slots: uint16(u.slots), Flows: uint32(g.open),
		Latency: g.latency, Balancers: uint16(min(len(g.balancers), 1<<16-1)), Cold: now < u.coldEnd,
	}
	switch {
	case u.down || u.left:
		s.State = inner.StateDown
	case u.silent:
		s.State = inner.StateSilent
	case u.draining:
		s.State = inner.StateDraining
	case g.stopping:
		s.State = inner.StateStopping
	}
	return s
}

func (g *Gate) sendStatus(now time.Duration, to netip.AddrPort) {
	start := len(g.buffer)
	g.buffer = inner.AppendStatus(g.buffer, g.Status(now))
	g.sendBuffer(ToBalancer, to, start)
}

// FromUpstream decides on a packet that the upstream sent or returned.
func (g *Gate) FromUpstream(now time.Duration, b []byte) (*Result, error) {
	g.begin()
	p, err := platform.ParsePacket(b)
	if err != nil {
		return &g.out, err
	}
	g.upstream.refused = 0
	if p.Flags.Has(platform.FlagBounced) {
		platform.ClearBounced(b)
		g.bounced(now, &p, b)
	} else {
		g.reply(now, &p, b)
	}
	g.release(now)
	return &g.out, nil
}

// bounced gives a packet that the upstream does not take back to the balancer.
func (g *Gate) bounced(now time.Duration, p *platform.Packet, b []byte) {
	id := p.FromCaller()
	f := g.flows[id]
	if f == nil {
		g.note(now, Note{Kind: KindDropped, Flow: id, Reason: "bounced-without-sender"})
		return
	}
	g.note(now, Note{Kind: KindBounced, Flow: id, Peer: f.balancer})
	reason := g.unknown()
	if p.IsOpening() {
		reason = inner.ReasonBounced
	}
	balancer := f.balancer
	g.forget(id, f)
	g.giveBack(now, balancer, id, reason, b)
}

// reply sends a packet of the upstream to its caller.
func (g *Gate) reply(now time.Duration, p *platform.Packet, b []byte) {
	id := p.FromUpstream()
	f := g.flows[id]
	if f == nil {
		f = g.remember(id, now, flowOpen) // the flow is older than the agent
	}
	f.seen = now
	if f.probing {
		f.probing = false
		g.setState(f, flowOpen)
		g.tellHeld(f, id)
	}
	if p.Flags.Has(platform.FlagSYN) {
		f.answered, f.accepted, f.began = true, p.Sequence, now
	}
	if p.Length > 0 && f.running {
		g.setRunning(f, false)
		f.served = true
		g.addLatency(now - f.asked)
		if now-f.asked >= slowAnswer {
			g.note(now, Note{Kind: KindSlow, Flow: id, Took: now - f.asked})
		}
	}
	if p.Flags.Has(platform.FlagFIN) {
		f.upstreamDone = true
		g.setRunning(f, false) // nothing more is answered on the flow
	}
	g.closeIfDone(f, p)
	g.send(ToCaller, g.caller(id), b)
}

// closeIfDone closes a flow that was reset or that both ends have closed.
func (g *Gate) closeIfDone(f *flow, p *platform.Packet) {
	if p.Flags.Has(platform.FlagRST) || (f.callerDone && f.upstreamDone) {
		g.setState(f, flowClosed)
	}
}

// tellHeld tells the balancer that asked that its flow is held here.
func (g *Gate) tellHeld(f *flow, id platform.Flow) {
	if !f.balancer.IsValid() {
		return
	}
	start := len(g.buffer)
	g.buffer = inner.AppendAnswerHead(g.buffer, g.known.Listing)
	g.buffer = inner.AppendAnswer(g.buffer, inner.Answer{Flow: id, Verdict: inner.VerdictHeld})
	g.sendBuffer(ToBalancer, f.balancer, start)
}

func (g *Gate) addLatency(latency time.Duration) {
	g.out.Answered = append(g.out.Answered, latency)
	if g.latency == 0 {
		g.latency = latency
		return
	}
	g.latency += time.Duration(latencyShare * float64(latency-g.latency))
}

func (g *Gate) caller(id platform.Flow) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(id.Caller), g.settings.CallerPort)
}

// Tick does what is due by time alone.
func (g *Gate) Tick(now time.Duration) *Result {
	g.begin()
	g.aged = now >= settleTime
	g.checkUpstream(now)
	g.release(now)
	if now-g.swept >= sweepEvery {
		g.sweep(now)
	}
	return &g.out
}

// sweep forgets flows that were closed or never opened, and those that are
// older than a flow may be.
func (g *Gate) sweep(now time.Duration) {
	g.swept = now
	for balancer, at := range g.balancers {
		if now-at > balancerTime {
			delete(g.balancers, balancer)
		}
	}
	for id, f := range g.flows {
		if f.running && now-f.asked > runningTime {
			g.setRunning(f, false) // its caller has gone, or a packet was lost
		}
		limit := g.settings.FlowMaxAge
		switch f.state {
		case flowOpening:
			limit = openingTime
		case flowClosed:
			limit = closedTime
		}
		if now-f.seen > limit {
			g.forget(id, f)
		}
	}
}

// Counts of what a Gate holds.
type Counts struct {
	// HeartbeatAge is the time since the upstream's last heartbeat, 0 for none.
	HeartbeatAge                  time.Duration
	Flows, Open, Running, Waiting int
}

// Counts returns the sizes of the state.
func (g *Gate) Counts(now time.Duration) Counts {
	c := Counts{Flows: len(g.flows), Open: g.open, Running: g.running, Waiting: len(g.queue)}
	if g.upstream.heard > 0 {
		c.HeartbeatAge = now - g.upstream.heard
	}
	return c
}
