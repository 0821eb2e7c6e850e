package gate_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/admission"
	"github.com/saltbend/saltbend/internal/packetface/gate"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/policy"
	"github.com/saltbend/saltbend/platform"
	"github.com/saltbend/saltbend/test/simclock"
)

// A simulation of a service under load. Real Gates decide; callers, a balancer that knows
// the load of each agent, and upstreams are modelled.

const (
	// hop is the time of a packet between a caller and an agent.
	hop = 2 * ms
	// attemptTime is when a caller abandons an opening that is not accepted; the copies of
	// opening packets and the pauses are those of the platform's callers.
	attemptTime        = 1400 * ms
	tries              = 3
	minPause, maxPause = 20 * ms, 250 * ms
	// overloadedTries is how often a balancer places an opening that agents return as
	// overloaded.
	overloadedTries = 3
	simCallers      = 400
)

// simKind is a kind of request.
type simKind struct {
	terms inner.Terms
	work  time.Duration
}

var (
	simUrgent   = &simKind{inner.Terms{Priority: urgent, TargetLatency: 200 * ms, Timeout: 3008 * ms}, 39 * ms}
	simOrdinary = &simKind{inner.Terms{Priority: ordinary, TargetLatency: 152 * ms, Timeout: 2496 * ms}, 30 * ms}
)

// call is one request of a caller with its attempts.
type call struct {
	kind        *simKind
	caller      [4]byte
	began, end  time.Duration
	tries       int
	resets, ran int
	over        bool
}

func (c *call) lost() bool   { return c.end == 0 || c.end > c.began+c.kind.terms.Timeout }
func (c *call) inTime() bool { return c.end > 0 && c.end <= c.began+c.kind.terms.TargetLatency }

// try is one attempt of a call, on a flow of its own.
type try struct {
	*call
	id             platform.Flow
	began          time.Duration
	at             *simUpstream
	hops           uint8
	overloaded     int
	accepted, over bool
}

// simUpstream is an upstream with its agent.
type simUpstream struct {
	gate    *gate.Gate
	started time.Duration
	dead    bool
	load    int
	running int
	queue   []*try
	// bar is the one that the agent has reported last.
	bar admission.Standing
}

// overloadSim simulates one service.
type overloadSim struct {
	simclock.Clock
	random    *rand.Rand
	off       []string
	upstreams []*simUpstream
	calls     []*call
	tries     map[platform.Flow]*try
	ports     int
	// back is when all hosts are available again after a loss of power, 0 if there is none;
	// until cold, requests take coldTimes as long.
	back, cold time.Duration
	// level is the mean bar of the agents, averaged over levelTime, as of levelAt. refused
	// counts the openings below it.
	level   float64
	levelAt time.Duration
	refused int
	// reasons counts why agents refused or dropped what waited.
	reasons map[string]int
}

const (
	// levelTime, levelMargin and levelProbes are as in package steer: openings below the
	// level of the service are refused at the balancer, but for some that find new room.
	levelTime   = 250 * ms
	levelMargin = 0.8
	levelProbes = 16
)

const coldTimes = 1.6

func newOverloadSim(upstreams int, seed uint64, off ...string) *overloadSim {
	s := &overloadSim{random: rand.New(rand.NewPCG(seed, 3)), tries: map[platform.Flow]*try{}, off: off, reasons: map[string]int{}}
	s.upstreams = make([]*simUpstream, upstreams)
	s.start()
	return s
}

// fail ends all agents and upstreams until back.
func (s *overloadSim) fail(back time.Duration) {
	s.back = back
	for _, u := range s.upstreams {
		u.dead = true
	}
}

// start starts all agents and upstreams anew.
func (s *overloadSim) start() {
	policies, _ := policy.Without(s.off)
	for i := range s.upstreams {
		u := &simUpstream{started: s.Now - ms, gate: gate.New(gate.Settings{
			Policies: policies, Service: service, CallerPort: 9000, Incarnation: 5,
			Times: gate.Times{DrainTimeout: 3 * second, FlowMaxAge: time.Minute, HeartbeatInterval: time.Hour},
		})}
		s.upstreams[i] = u
		u.gate.Heartbeat(ms, platform.Heartbeat{Instance: platform.Instance{ID: "i"}, Slots: slots, Sequence: 1, WarmupLeft: max(s.cold-s.Now, 0)})
	}
}

// room is the number of requests of a kind that all upstreams answer in a second.
func (s *overloadSim) room(k *simKind) float64 {
	return float64(len(s.upstreams)*slots) / k.work.Seconds()
}

// load schedules calls of a kind at a mean rate, as a multiple of the room.
func (s *overloadSim) load(from, to time.Duration, k *simKind, times float64) {
	perSecond := times * s.room(k)
	for t := from; ; {
		t += time.Duration(s.random.ExpFloat64() / perSecond * float64(second))
		if t >= to {
			return
		}
		n := s.random.IntN(simCallers)
		c := &call{kind: k, began: t, caller: [4]byte{100, 64, byte(n >> 8), byte(n)}}
		s.calls = append(s.calls, c)
		s.At(t, func() { s.begin(c) })
		s.At(t+k.terms.Timeout, func() { c.over = true })
	}
}

func (s *overloadSim) run(until time.Duration) {
	for t := 200 * ms; t < until; t += 200 * ms {
		s.At(t, func() {
			for _, u := range s.upstreams {
				s.handle(u, u.gate.Tick(s.Now-u.started))
			}
		})
	}
	s.Run()
}

func (s *overloadSim) up() bool { return s.Now >= s.back || s.back == 0 }

// begin starts an attempt, unless the caller has given up.
func (s *overloadSim) begin(c *call) {
	if c.over || c.tries == tries {
		return
	}
	c.tries++
	s.ports++
	t := &try{call: c, began: s.Now, id: platform.Flow{Caller: c.caller, CallerPort: uint16(s.ports), Face: [4]byte{198, 18, byte(s.ports >> 16), 1}, FacePort: 443}}
	s.tries[t.id] = t
	for n, age := range []time.Duration{0, 200 * ms, 600 * ms} {
		s.After(age+hop, func() { s.opening(t, uint32(n)) })
	}
	s.After(attemptTime, func() {
		if !t.accepted {
			if !t.over && s.up() {
				s.reasons["attempt over"]++
			}
			s.again(t)
		}
	})
	s.At(c.began+c.kind.terms.Timeout, func() { s.giveUp(t) })
}

// again ends an attempt, whose caller tries once more after a pause.
func (s *overloadSim) again(t *try) {
	if t.over {
		return
	}
	s.finish(t)
	s.After(minPause+time.Duration(s.random.Float64()*float64(maxPause-minPause)), func() { s.begin(t.call) })
}

func (s *overloadSim) finish(t *try) {
	if !t.over && t.at != nil {
		t.at.load--
	}
	t.over = true
}

// giveUp resets the flow of a caller whose time is over.
func (s *overloadSim) giveUp(t *try) {
	if t.over {
		return
	}
	u := t.at
	s.finish(t)
	if t.accepted && u != nil {
		s.forward(u, t, platform.FlagRST, 0)
	}
}

// opening places an opening packet or a copy of it. A copy goes where the first one went.
func (s *overloadSim) opening(t *try, copies uint32) {
	if t.over || t.accepted || !s.up() {
		return
	}
	if t.at != nil && t.at.dead {
		t.at = nil
	}
	if t.at == nil && s.refuses(t) {
		s.reasons["by the balancer"]++
		s.After(hop, func() { s.again(t) })
		return
	}
	if t.at == nil {
		s.place(t, copies, nil)
		return
	}
	s.sendOpening(t, copies)
}

// refuses reports whether the balancer refuses an opening by the bars of all agents.
func (s *overloadSim) refuses(t *try) bool {
	sum := 0.0
	for _, u := range s.upstreams {
		sum += float64(u.bar)
	}
	passed := min((s.Now-s.levelAt).Seconds()/levelTime.Seconds(), 1)
	s.level += passed * (sum/float64(len(s.upstreams)) - s.level)
	s.levelAt = s.Now
	floor := admission.StandingOf(t.kind.terms.Priority, 0)
	epoch := uint8(s.Now / admission.EpochLength)
	own := admission.StandingOf(t.kind.terms.Priority, admission.Rank(t.caller, epoch))
	if float64(own-floor) >= levelMargin*(s.level-float64(floor)) {
		return false
	}
	s.refused++
	return s.refused%levelProbes != 0
}

func (s *overloadSim) place(t *try, copies uint32, not *simUpstream) {
	best := slices.MinFunc(s.upstreams, func(a, b *simUpstream) int {
		if (a == not) != (b == not) {
			return map[bool]int{true: 1, false: -1}[a == not]
		}
		return a.load - b.load
	})
	t.at = best
	if best.load >= slots {
		t.hops = inner.MaxBusyHops
	}
	best.load++
	s.sendOpening(t, copies)
}

func (s *overloadSim) sendOpening(t *try, copies uint32) {
	head := inner.Open{Service: inner.ServiceID(service), Flags: inner.FlagTerms | inner.FlagLoad | inner.FlagStatus, Terms: t.kind.terms, Hops: t.hops}
	if s.back > 0 && admission.MayBeRetry(t.began-s.back) {
		head.Flags |= inner.FlagMayBeRetry
	}
	r, err := t.at.gate.FromBalancer(s.Now-t.at.started, balancer, inner.AppendOpen(nil, head, fromCaller(t.id, 1, copies, platform.FlagSYN, 0)))
	if err != nil {
		panic(err)
	}
	s.handle(t.at, r)
}

// forward sends a packet of an accepted flow to the agent.
func (s *overloadSim) forward(u *simUpstream, t *try, flags platform.Flags, size int) {
	s.After(hop, func() {
		if u.dead {
			return
		}
		r, err := u.gate.FromBalancer(s.Now-u.started, balancer, inner.AppendForward(nil, inner.Forward{Terms: t.kind.terms}, fromCaller(t.id, 2, 101, flags, size)))
		if err != nil {
			panic(err)
		}
		s.handle(u, r)
	})
}

// handle performs what an agent has decided.
func (s *overloadSim) handle(u *simUpstream, r *gate.Result) {
	if u.dead {
		return
	}
	for _, n := range r.Notes {
		if n.Kind == gate.KindRefused || n.Kind == gate.KindAbandoned {
			s.reasons[n.Reason]++
		}
	}
	for _, a := range r.Actions {
		b := slices.Clone(a.Bytes)
		switch {
		case a.Target == gate.ToUpstream:
			s.After(0, func() { s.toUpstream(u, b) })
		case a.Target == gate.ToCaller:
			s.After(hop, func() { s.toCaller(u, b) })
		case inner.KindOf(b) == inner.KindReturned:
			s.After(ms, func() { s.returned(u, b) })
		default:
			s.After(ms, func() { s.status(u, b) })
		}
	}
}

func (s *overloadSim) status(u *simUpstream, b []byte) {
	if status, err := inner.ParseStatus(b); err == nil {
		u.bar = status.Load.Bar
	}
}

func (s *overloadSim) returned(u *simUpstream, b []byte) {
	head, packet, _ := inner.ParseReturned(b)
	p, _ := platform.ParsePacket(packet)
	t := s.tries[p.FromCaller()]
	if p.Flags != platform.FlagSYN || t.over || t.accepted || t.at != u {
		return
	}
	u.load--
	t.at = nil
	t.hops++
	if head.Reason == inner.ReasonOverloaded {
		t.overloaded++
	}
	if t.overloaded == overloadedTries {
		t.resets++
		s.After(hop, func() { s.again(t) })
		return
	}
	s.place(t, p.Acknowledge, u)
}

func (s *overloadSim) toUpstream(u *simUpstream, b []byte) {
	p, _ := platform.ParsePacket(b)
	t := s.tries[p.FromCaller()]
	switch {
	case p.Flags.Has(platform.FlagSYN):
		s.reply(u, t, 100, platform.FlagSYN|platform.FlagACK, 0)
	case p.Length > 0:
		t.ran++
		u.queue = append(u.queue, t)
		s.work(u)
	}
}

func (s *overloadSim) work(u *simUpstream) {
	for u.running < slots && len(u.queue) > 0 {
		t := u.queue[0]
		u.queue = u.queue[1:]
		u.running++
		took := time.Duration(float64(t.kind.work) * math.Exp(0.47*s.random.NormFloat64()-0.11))
		if s.Now < s.cold {
			took = time.Duration(float64(took) * coldTimes)
		}
		s.After(took, func() {
			u.running--
			s.reply(u, t, 101, platform.FlagACK, 20)
			s.work(u)
		})
	}
}

func (s *overloadSim) reply(u *simUpstream, t *try, seq uint32, flags platform.Flags, size int) {
	r, err := u.gate.FromUpstream(s.Now-u.started, fromUpstream(t.id, seq, 2, flags, size))
	if err != nil {
		panic(err)
	}
	s.handle(u, r)
}

func (s *overloadSim) toCaller(u *simUpstream, b []byte) {
	p, _ := platform.ParsePacket(b)
	t := s.tries[p.FromUpstream()]
	switch {
	case t.over:
	case p.Flags.Has(platform.FlagSYN) && !t.accepted:
		t.accepted = true
		s.forward(u, t, platform.FlagACK, 30)
	case p.Length > 0:
		t.end = s.Now
		s.finish(t)
	}
}

// outcome are the shares of the calls of a kind that began within a span.
type outcome struct {
	asked        int
	inTime, lost float64
}

func (s *overloadSim) outcome(k *simKind, from, to time.Duration) (o outcome) {
	for _, c := range s.calls {
		if c.began < from || c.began >= to || k != nil && c.kind != k {
			continue
		}
		o.asked++
		if c.inTime() {
			o.inTime++
		}
		if c.lost() {
			o.lost++
		}
	}
	o.inTime, o.lost = o.inTime/float64(o.asked), o.lost/float64(o.asked)
	return o
}
