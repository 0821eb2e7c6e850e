package steer_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/packetface/evacuation"
	"github.com/saltbend/saltbend/internal/packetface/gate"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/routing"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

const (
	service    = "results"
	callerPort = 9000
	maxDelay   = 400 * time.Millisecond
)

var face = netip.MustParseAddrPort("198.18.0.1:443")

// simAgent is a simulated agent with its upstream.
type simAgent struct {
	addr netip.AddrPort
	gate *gate.Gate
	// instances are all instances of the upstream; the last is the present one.
	instances   []platform.Instance
	instance    int
	sequence    uint64
	incarnation uint64
	dataCentre  string
	// started is when the agent process last started, upstreamStarted when the upstream
	// did, acknowledged when any agent process last acknowledged a heartbeat of this
	// instance, 0 for not yet.
	started, upstreamStarted, acknowledged time.Duration
	// listedAt is when the restarted agent process will be listed, 0 once it has been.
	listedAt time.Duration
	// downFrom and downUntil are the time in which no agent process runs, from the end of
	// one that was asked to stop to the start of the next one; both are 0 for none.
	downFrom, downUntil time.Duration
	// entryLost is set if the restored store lacks the entry. era is the store's era as
	// the agent knows it, verifyAt is when the agent checks its entry, 0 for no check.
	entryLost bool
	era       uint64
	verifyAt  time.Duration
	// clockOffset is by how much the host's clock was set ahead since the upstream
	// started.
	clockOffset time.Duration
	// held are the flows that the upstream holds; the value is true once a flow is open.
	held map[platform.Flow]bool
}

// answer returns the sequence number of the upstream's answer to an opening packet.
func (s *simAgent) answer() uint32 {
	return uint32(s.addr.Addr().As4()[3])*1_000_000 + uint32(s.instance)*1000
}

// balancer is a simulated balancer.
type balancer struct {
	addr netip.AddrPort
	core *steer.Core
	// refused is set while the store refuses to serve the balancer.
	refused bool
	// readsAt is when the balancer detects that the store was restored, 0 once it has.
	readsAt time.Duration
	// evacuations is the last record of evacuations that it received.
	evacuations evacuation.Record
}

// simFleet is a small fleet with a network that loses, duplicates and delays datagrams.
type simFleet struct {
	t         *rapid.T
	random    *rand.Rand
	now       time.Duration
	balancers []*balancer
	agents    []*simAgent
	// balancerByAddr and agentByAddr have the balancers and agents by their addresses.
	balancerByAddr map[netip.AddrPort]*balancer
	agentByAddr    map[netip.AddrPort]*simAgent
	inFlight       []datagram
	flows          []platform.Flow
	nextPort       uint16
	eventLog       []string
	// accepted holds what callers acknowledge on each flow: the answer that they
	// accepted.
	accepted map[platform.Flow]uint32
	// began is when callers sent their first opening packet.
	began map[platform.Flow]time.Duration
	loss  float64
	// cuts are the links on which nothing arrives, with the end of each cut; there is one
	// cut at a time, and cutEnd is when the last one ends.
	cuts   map[link]time.Duration
	cutEnd time.Duration
	// absentAfter is the setting of all balancers.
	absentAfter time.Duration
	// warmup is how long upstreams are cold according to the configuration.
	warmup   time.Duration
	revision store.Position
	// settleAt is when the restore of the store is taken as settled, 0 for none.
	settleAt time.Duration
	// opened, if not nil, is called for each opening packet that an upstream receives;
	// held is whether the upstream holds the flow already.
	opened func(s *simAgent, held bool)
	// terms are the target latency and the timeout of the route, workTime is the time that
	// upstreams take for an answer, and answers are those that are due later.
	terms    inner.Terms
	workTime time.Duration
	answers  []dueAnswer
	// onReset, if not nil, is called for each reset that a balancer sends, before it counts.
	onReset func(n steer.Note)
	// neverDoubled reports, if not nil, which datagrams the network does not double.
	neverDoubled func(b []byte) bool
}

// dueAnswer is an answer that an upstream sends later.
type dueAnswer struct {
	due   time.Duration
	from  *simAgent
	bytes []byte
}

func address(host, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(host >> 8), byte(host)}), uint16(port))
}

func table() *routing.Table { return tableOf(warmup) }

// tableOf returns a configuration with the time for which upstreams are cold, 0 for none.
func tableOf(warmup time.Duration) *routing.Table { return tableWith(warmup, inner.Terms{}) }

// tableWith returns a configuration whose route has terms.
func tableWith(warmup time.Duration, terms inner.Terms) *routing.Table {
	return routing.NewTable(platform.Configuration{Version: 1, Routes: []platform.Route{
		{
			Name: "r", Face: face, Shares: []platform.Share{{Service: service, Weight: 1}}, Idempotent: true,
			TargetLatency: terms.TargetLatency, Timeout: terms.Timeout,
		},
	}, Services: []platform.Service{{Name: service, Warmup: warmup}}})
}

func newSimFleet(t *rapid.T, maxLoss float64, absentAfter time.Duration) *simFleet {
	agents := rapid.IntRange(1, 4).Draw(t, "agents")
	return newSimFleetOf(t, agents, rapid.IntRange(1, 3).Draw(t, "balancers"), maxLoss, absentAfter)
}

// newSimFleetOf returns a fleet of the given size.
func newSimFleetOf(t *rapid.T, agents, balancers int, maxLoss float64, absentAfter time.Duration) *simFleet {
	w := &simFleet{
		t: t, now: time.Millisecond, absentAfter: absentAfter, revision: 1, accepted: map[platform.Flow]uint32{}, began: map[platform.Flow]time.Duration{}, cuts: map[link]time.Duration{}, balancerByAddr: map[netip.AddrPort]*balancer{}, agentByAddr: map[netip.AddrPort]*simAgent{},
		random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)),
		loss:   rapid.Float64Range(0, maxLoss).Draw(t, "loss"),
	}
	if rapid.Bool().Draw(t, "tells warm-up") {
		w.warmup = warmup
	}
	for range agents {
		w.addAgent()
	}
	for i := range balancers {
		w.balancers = append(w.balancers, &balancer{addr: address(i+1, 2)})
		w.balancerByAddr[w.balancers[i].addr] = w.balancers[i]
		w.startBalancer(w.balancers[i])
	}
	return w
}

func (w *simFleet) addAgent() {
	s := &simAgent{addr: address(100+len(w.agents), 1), dataCentre: "a", instances: []platform.Instance{{ID: fmt.Sprintf("i-%d", len(w.agents)), StartedMS: 1_000_000}}, held: map[platform.Flow]bool{}}
	w.agents, w.agentByAddr[s.addr] = append(w.agents, s), s
	w.startAgent(s)
	w.heartbeat(s)
	w.registerAgent(s)
}

// registerAgent writes an agent's entry. A restarted agent process finds the entry of the
// previous one and only reads it.
func (w *simFleet) registerAgent(s *simAgent) {
	s.listedAt = 0
	if s.incarnation > 1 && !s.entryLost {
		w.fromAgent(s, s.gate.SetOwnPosition(w.now, w.revision))
		return
	}
	w.writeEntry(s)
}

// writeEntry writes an agent's entry and sends the list to the balancers that follow the
// store.
func (w *simFleet) writeEntry(s *simAgent) {
	s.entryLost = false
	w.revision++
	w.fromAgent(s, s.gate.SetOwnPosition(w.now, w.revision))
	for _, b := range w.balancers {
		if !b.refused && b.readsAt == 0 {
			w.sendList(b, nil)
		}
	}
}

func (w *simFleet) startBalancer(b *balancer) {
	c := steer.New(steer.Settings{DataCentre: "a", CallerPort: callerPort, Random: w.random, AbsentAfter: w.absentAfter})
	c.SetTable(w.now, tableWith(w.warmup, w.terms), time.Minute)
	c.SetTableFresh(true)
	b.core = c
	w.fromBalancer(b.addr, c.SetEvacuations(w.now, b.evacuations.Clone()))
	w.sendList(b, nil)
}

// sendList gives a balancer the list of agents, without one of them if that is not nil.
func (w *simFleet) sendList(b *balancer, without *simAgent) {
	b.readsAt = 0
	var agents []steer.Agent
	for _, s := range w.agents {
		if s != without && !s.entryLost && (s.listedAt == 0 || s.incarnation > 1) {
			agents = append(agents, steer.Agent{Addr: s.addr, Service: inner.ServiceID(service), DataCentre: s.dataCentre, Slots: 2})
		}
	}
	age := listAge(w.revision)
	age.Relisting = w.now < w.settleAt
	w.fromBalancer(b.addr, b.core.SetAgents(w.now, agents, age))
}

const (
	// warmup is how long an upstream is cold; retryTime is the time after which it
	// repeats a report that was not acknowledged.
	warmup    = 2 * time.Second
	retryTime = 50 * time.Millisecond
)

func (w *simFleet) fromBalancer(addr netip.AddrPort, r *steer.Result) {
	for _, n := range r.Notes {
		if n.Kind == steer.KindReset && w.onReset != nil {
			w.onReset(n)
		}
		w.logEvent("balancer %s %s %s agent %s %s", addr, n.Kind, n.Flow, n.Agent, n.Reason)
	}
	for _, a := range r.Actions {
		if a.ToCaller {
			w.checkReset(a.Bytes, "balancer "+addr.String())
			continue
		}
		w.send(addr, a.To, a.Bytes)
	}
}

func (w *simFleet) fromAgent(s *simAgent, r *gate.Result) {
	for _, n := range r.Notes {
		w.logEvent("agent %s %s %s balancer %s %s", s.addr, n.Kind, n.Flow, n.Peer, n.Reason)
	}
	actions := append([]gate.Action(nil), r.Actions...)
	for i := range actions { // the upstream replies before all actions are processed
		actions[i].Bytes = append([]byte(nil), actions[i].Bytes...)
	}
	for _, a := range actions {
		b := a.Bytes
		switch a.Target {
		case gate.ToBalancer:
			w.send(s.addr, a.To, b)
		case gate.ToUpstream:
			w.upstream(s, b)
		case gate.ToCaller:
			w.toCaller(s, b)
		}
	}
}

// openingLimit is the time within which a caller sends a packet after the opening, or
// gives up; the platform's callers give up after 1.4 s.
const openingLimit = 4 * time.Second

// openingExpired removes a flow that was not opened in time; it reports whether the flow
// was removed.
func (w *simFleet) openingExpired(id platform.Flow) bool {
	for _, s := range w.agents {
		if s.held[id] {
			return false // it is open
		}
	}
	if w.now-w.began[id] < openingLimit {
		return false
	}
	w.flows = slices.DeleteFunc(w.flows, func(f platform.Flow) bool { return f == id })
	return true
}

// toCaller receives what an agent sends a caller, who goes on with the first answer to
// its opening packets.
func (w *simFleet) toCaller(s *simAgent, b []byte) {
	p, err := platform.ParsePacket(b)
	if err != nil {
		w.t.Fatalf("caller received malformed packet %x: %v", b, err)
	}
	if p.Flags == platform.FlagRST {
		w.checkReset(b, "agent "+s.addr.String())
	}
	id := p.FromUpstream()
	if _, known := w.accepted[id]; p.Flags.Has(platform.FlagSYN) && !known && w.random.Float64() >= w.loss {
		w.accepted[id] = p.Sequence + 1
	}
}

// upstream handles a packet as the upstream does: it holds the flows opened there,
// answers their data, and bounces other packets.
func (w *simFleet) upstream(s *simAgent, b []byte) {
	p, err := platform.ParsePacket(b)
	if err != nil {
		w.t.Fatalf("upstream received malformed packet %x: %v", b, err)
	}
	id := p.FromCaller()
	open, held := s.held[id]
	switch {
	case p.IsOpening():
		if w.opened != nil {
			w.opened(s, held)
		}
		if !held {
			s.held[id] = false
		}
		w.reply(s, packet(reversed(id), s.answer(), 0, platform.FlagSYN|platform.FlagACK, 0))
	case !held || (!open && p.Acknowledge != s.answer()+1):
		b[30] |= byte(platform.FlagBounced)
		w.reply(s, b)
	default:
		if !open {
			w.logEvent("upstream of %s opened %s", s.addr, id)
		}
		s.held[id] = true
		if p.Length > 0 {
			answer := packet(reversed(id), 100, p.Sequence+uint32(p.Length), platform.FlagACK, 20)
			if w.workTime > 0 {
				w.answers = append(w.answers, dueAnswer{w.now + w.workTime, s, answer})
				break
			}
			w.reply(s, answer)
		}
	}
}

func (w *simFleet) reply(s *simAgent, b []byte) {
	if s.isDown(w.now) {
		return
	}
	r, err := s.gate.FromUpstream(w.now, b)
	if err != nil {
		w.t.Fatalf("agent rejected a packet from its upstream: %v", err)
	}
	w.fromAgent(s, r)
}

// checkReset fails if the flow of a reset is open at an upstream.
func (w *simFleet) checkReset(b []byte, by string) {
	p, err := platform.ParsePacket(b)
	if err != nil {
		w.t.Fatalf("%s sent a caller malformed packet %x: %v", by, b, err)
	}
	id := p.FromUpstream()
	const window = 76_800 // a reset further from the caller's count is ignored
	for _, s := range w.agents {
		if s.held[id] && p.Sequence-w.accepted[id]+window <= 2*window {
			w.t.Fatalf("at %s %s reset %s, which is open at %s\n%s", w.now, by, id, s.addr, w.flowLog(id))
		}
	}
	// The caller continues with another flow.
	w.flows = slices.DeleteFunc(w.flows, func(f platform.Flow) bool { return f == id })
}

// logEvent records an event, for the report of a failure.
func (w *simFleet) logEvent(format string, args ...any) {
	w.eventLog = append(w.eventLog, fmt.Sprintf("%s ", w.now)+fmt.Sprintf(format, args...))
}

// flowLog returns the last recorded events of a flow, and those that concern no flow.
func (w *simFleet) flowLog(id platform.Flow) string {
	lines := slices.DeleteFunc(slices.Clone(w.eventLog), func(line string) bool {
		return strings.Contains(line, ">198.18") && !strings.Contains(line, id.String())
	})
	return strings.Join(lines[max(0, len(lines)-60):], "\n")
}

// registerDue registers a restarted agent process when its time has come.
func (w *simFleet) registerDue(s *simAgent) {
	if s.listedAt != 0 && w.now >= s.listedAt {
		w.registerAgent(s)
	}
	w.verifyEntry(s)
}

// callerSends sends a packet of a flow through a random balancer.
func (w *simFleet) callerSends(id platform.Flow, flags platform.Flags, ack uint32, size int) {
	b := w.anyBalancer()
	r, err := b.core.FromCaller(w.now, packet(id, 1, ack, flags, size))
	if err != nil {
		w.t.Fatal(err)
	}
	w.fromBalancer(b.addr, r)
}

func (w *simFleet) anyBalancer() *balancer { return w.balancers[w.random.IntN(len(w.balancers))] }
