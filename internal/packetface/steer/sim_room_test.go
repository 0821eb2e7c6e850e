package steer_test

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/capacity"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/policy"
	"github.com/saltbend/saltbend/internal/packetface/routing"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/platform"
	"github.com/saltbend/saltbend/test/simclock"
)

// A simulation of a service whose upstreams differ in speed. Flows that stay open (feeds) and
// flows of one request are placed by the Cores of balancers. Agents learn with package
// capacity and report with each answer to a balancer; answers take some time, get lost or
// overtake each other.

const (
	feedPriority, queryPriority = 2, 1
	// feedLife is the mean life of a feed, feedPause the mean time between two of its
	// requests.
	feedLife  = 20 * time.Second
	feedPause = 3 * time.Second
	roomSlots = 3
)

// roomSettings configure a simulation.
type roomSettings struct {
	balancers, agents int
	// speeds are the speeds of the upstreams, repeated in this order; centres the data
	// centres of agents and balancers.
	speeds  []float64
	centres []string
	// load is the mean share of all slots in use; queryShare is the part of it that flows of
	// one request make.
	load, queryShare float64
	off              []string
	seed             uint64
	// delay is the one-way time between hosts, loss the share of statuses that are lost;
	// held is the longest time for which a status may be held up, 0 for none.
	delay, held time.Duration
	loss        float64
	// callersIn is the data centre of all balancers, empty if they are distributed as agents
	// are.
	callersIn string
	// noTerms is set if routes state no target latency.
	noTerms bool
	// report changes the statuses of agents, nil for no change.
	report func(n int, s *inner.Status)
}

var usualRoom = roomSettings{
	balancers: 17, agents: 44, speeds: []float64{0.55, 1.2, 1.2, 1.2}, centres: []string{"a"},
	load: 0.5, queryShare: 0.25, seed: 1, delay: 2 * time.Millisecond,
}

// roomAgent is a simulated agent with its upstream.
type roomAgent struct {
	n       int
	addr    netip.AddrPort
	speed   float64
	running int
	queue   []roomRequest
	// feeds is the number of open feeds, open that of all open flows.
	feeds, open int
	use         capacity.Use
	times       capacity.Times
	// asked is the service time of all requests that arrived since measurements began,
	// answered and late how many were answered and how many of them took longer than
	// lateAfter.
	asked          time.Duration
	answered, late int
}

const lateAfter = 300 * time.Millisecond

type roomRequest struct {
	priority      uint8
	caller        [4]byte
	arrived, took time.Duration
	done          func()
}

// roomSimulation runs feeds and queries.
type roomSimulation struct {
	simclock.Clock
	roomSettings
	random *rand.Rand
	cores  []*steer.Core
	agents []*roomAgent
	sent   uint32
	// pace is by how much callers ask more than on average.
	pace float64
	// choices are the agents to which flows were placed, in order.
	choices []int
	// near and far count the flows placed in the data centre of their balancer and in others.
	near, far int
	// end is when the simulation ends.
	end time.Duration
}

var feedFace, queryFace = netip.MustParseAddrPort("198.18.0.1:443"), netip.MustParseAddrPort("198.18.0.1:444")

func (w *roomSimulation) table() *routing.Table {
	shares := []platform.Share{{Service: service, Weight: 1}}
	feeds := platform.Route{Name: "feeds", Face: feedFace, Shares: shares, Idempotent: true, Priority: feedPriority}
	queries := platform.Route{Name: "queries", Face: queryFace, Shares: shares, Priority: queryPriority}
	if !w.noTerms {
		feeds.TargetLatency, feeds.Timeout = lateAfter, 3*time.Second
		queries.TargetLatency, queries.Timeout = 400*time.Millisecond, 3*time.Second
	}
	return routing.NewTable(platform.Configuration{Version: 1, Routes: []platform.Route{feeds, queries}, Services: []platform.Service{{Name: service}}})
}

func newRoomSimulation(s roomSettings) *roomSimulation {
	w := &roomSimulation{roomSettings: s, random: rand.New(rand.NewPCG(s.seed, 1)), pace: 1, Clock: simclock.Clock{Now: time.Second}}
	for n := range s.agents {
		w.agents = append(w.agents, &roomAgent{n: n, addr: address(n, 1), speed: s.speeds[n%len(s.speeds)]})
	}
	policies, _ := policy.Without(s.off)
	for n := range s.balancers {
		w.cores = append(w.cores, w.newCore(n, policies, w.listed()))
	}
	return w
}

// listed returns the store's list of agents.
func (w *roomSimulation) listed() []steer.Agent {
	var listed []steer.Agent
	for n := range w.agents {
		entry := agentAt(n, w.centreOf(n, len(w.agents)))
		entry.Slots = roomSlots
		listed = append(listed, entry)
	}
	return listed
}

// centreOf returns the data centre of the n-th of some agents or balancers.
func (w *roomSimulation) centreOf(n, of int) string { return w.centres[n*len(w.centres)/of] }

func (w *roomSimulation) centreOfBalancer(n int) string {
	if w.callersIn != "" {
		return w.callersIn
	}
	return w.centreOf(n, w.balancers)
}

// newCore starts a balancer, which polls all agents once.
func (w *roomSimulation) newCore(n int, policies policy.Set, listed []steer.Agent) *steer.Core {
	c := steer.New(steer.Settings{DataCentre: w.centreOfBalancer(n), CallerPort: callerPort, Random: rand.New(rand.NewPCG(w.seed, uint64(n)+2)), Policies: policies})
	c.SetTable(w.Now, w.table(), time.Minute)
	w.deliver(c, c.SetAgents(w.Now, listed, listAge(1)), nil)
	return c
}

// meanWork returns the mean service time at an upstream of speed 1.
const meanWork = 50 * time.Millisecond

// work draws a service time at an upstream of speed 1: lognormal with spread 0.5, 3% of the
// requests 7 times as long.
func (w *roomSimulation) work() float64 {
	const spread, tail, tailTimes = 0.5, 0.03, 7
	took := math.Exp(spread*w.random.NormFloat64() - spread*spread/2)
	if w.random.Float64() < tail {
		took *= tailTimes
	}
	return meanWork.Seconds() * took / (1 + tail*(tailTimes-1))
}

// capacityOf returns how many requests a second all upstreams can answer.
func (w *roomSimulation) capacityOf() float64 {
	sum := 0.0
	for _, a := range w.agents {
		sum += a.speed * roomSlots
	}
	return sum / meanWork.Seconds()
}

// start opens feeds, for the whole run, over the given time, and begins to send queries.
func (w *roomSimulation) start(over, end time.Duration) {
	w.end = w.Now + end
	requests := w.capacityOf() * w.load
	feeds := int(requests * (1 - w.queryShare) * feedPause.Seconds())
	for range feeds {
		w.After(time.Duration(w.random.Float64()*float64(over)), w.openFeed)
	}
	if queries := requests * w.queryShare; queries > 0 {
		w.After(0, func() { w.query(queries) })
	}
}

func (w *roomSimulation) query(rate float64) {
	if w.Now >= w.end {
		return
	}
	w.open(queryFace, func(a *roomAgent, id platform.Flow, _ *steer.Core) {
		a.open++
		w.ask(a, roomRequest{priority: queryPriority, caller: id.Caller, done: func() { a.open-- }})
	})
	w.After(time.Duration(w.random.ExpFloat64()/(rate*w.pace)*float64(time.Second)), func() { w.query(rate) })
}

func (w *roomSimulation) openFeed() {
	if w.Now >= w.end {
		return
	}
	closes := w.Now + time.Duration(w.random.ExpFloat64()*float64(feedLife))
	w.open(feedFace, func(a *roomAgent, id platform.Flow, c *steer.Core) {
		a.open++
		a.feeds++
		w.feedAsks(a, id, c, closes)
	})
}

// feedAsks sends a request of a feed and plans the next, or opens another feed in its place
// once it has ended.
func (w *roomSimulation) feedAsks(a *roomAgent, id platform.Flow, c *steer.Core, closes time.Duration) {
	if w.Now >= w.end {
		return
	}
	if w.Now >= closes {
		a.feeds--
		a.open--
		w.openFeed()
		return
	}
	r, _ := c.FromCaller(w.Now, packet(id, 1, 77, platform.FlagACK, 30))
	w.deliver(c, r, nil)
	w.ask(a, roomRequest{priority: feedPriority, caller: id.Caller})
	pause := w.random.ExpFloat64() * feedPause.Seconds() / w.pace
	w.After(time.Duration(pause*float64(time.Second)), func() { w.feedAsks(a, id, c, closes) })
}

// open sends an opening packet through some balancer.
func (w *roomSimulation) open(face netip.AddrPort, opened func(*roomAgent, platform.Flow, *steer.Core)) {
	w.sent++
	id := platform.Flow{
		Caller: [4]byte{100, byte(w.random.IntN(64)), byte(w.random.IntN(256)), 1}, CallerPort: uint16(w.sent),
		Face: face.Addr().As4(), FacePort: face.Port(),
	}
	c := w.cores[w.random.IntN(len(w.cores))]
	r, _ := c.FromCaller(w.Now, packet(id, 1, 0, platform.FlagSYN, 0))
	w.deliver(c, r, func(a *roomAgent) { opened(a, id, c) })
}

// deliver sends the datagrams of a balancer to the agents.
func (w *roomSimulation) deliver(c *steer.Core, r *steer.Result, opened func(*roomAgent)) {
	for _, action := range r.Actions {
		if action.ToCaller {
			continue
		}
		b := slices.Clone(action.Bytes)
		a := w.agents[int(action.To.Addr().As4()[2])<<8|int(action.To.Addr().As4()[3])]
		w.After(w.delay, func() { w.receive(c, a, b, opened) })
	}
}

// receive handles a datagram as the agent.
func (w *roomSimulation) receive(c *steer.Core, a *roomAgent, b []byte, opened func(*roomAgent)) {
	if inner.KindOf(b) == inner.KindOpen {
		head, packet, _ := inner.ParseOpen(b)
		w.reply(c, a, w.status(a), opened)
		if a.running >= roomSlots && head.Hops < inner.MaxBusyHops {
			w.reply(c, a, inner.AppendReturned(nil, inner.Returned{Reason: inner.ReasonBusy, Running: uint16(a.running + len(a.queue))}, packet), opened)
			return
		}
		w.notePlaced(c, a)
		opened(a)
		return
	}
	if inner.Flags(b[1])&inner.FlagStatus != 0 || inner.KindOf(b) == inner.KindPoll {
		w.reply(c, a, w.status(a), nil)
	}
}

func (w *roomSimulation) notePlaced(c *steer.Core, a *roomAgent) {
	w.choices = append(w.choices, a.n)
	if w.centreOfBalancer(slices.Index(w.cores, c)) == w.centreOf(a.n, len(w.agents)) {
		w.near++
	} else {
		w.far++
	}
}

// reply sends a datagram to a balancer.
func (w *roomSimulation) reply(c *steer.Core, a *roomAgent, b []byte, opened func(*roomAgent)) {
	isStatus := inner.KindOf(b) == inner.KindStatus
	if isStatus && w.random.Float64() < w.loss {
		return
	}
	delay := w.delay
	if isStatus && w.held > 0 {
		delay += time.Duration(w.random.Int64N(int64(w.held)))
	}
	w.After(delay, func() {
		r, _ := c.FromAgent(w.Now, a.addr, b)
		w.deliver(c, r, opened)
	})
}

func (w *roomSimulation) status(a *roomAgent) []byte {
	s := inner.Status{
		State: inner.StateReady, Slots: roomSlots, Running: uint16(a.running + len(a.queue)), Flows: uint32(a.open), HasLoad: true,
		ResponseTime: a.times.Frequent(w.Now)[0].Mean, Load: inner.Load{Utilization: a.use.Share(w.Now)},
	}
	for i, t := range a.times.Frequent(w.Now) {
		s.Load.Times[i] = inner.ServiceTime{Priority: t.Priority, Mean: t.Mean}
	}
	if w.report != nil {
		w.report(a.n, &s)
	}
	return inner.AppendStatus(nil, s)
}

// ask sends a request to an upstream, where it waits for a slot.
func (w *roomSimulation) ask(a *roomAgent, r roomRequest) {
	r.arrived, r.took = w.Now, time.Duration(w.work()/a.speed*float64(time.Second))
	a.asked += r.took
	a.queue = append(a.queue, r)
	w.begin(a)
}

func (w *roomSimulation) begin(a *roomAgent) {
	for a.running < roomSlots && len(a.queue) > 0 {
		r := a.queue[0]
		a.queue = a.queue[1:]
		a.running++
		w.After(r.took, func() { w.answer(a, r) })
	}
	a.use.Observe(w.Now, a.running, roomSlots)
}

func (w *roomSimulation) answer(a *roomAgent, r roomRequest) {
	a.running--
	a.answered++
	if w.Now-r.arrived > lateAfter {
		a.late++
	}
	a.times.Add(w.Now, r.caller, r.priority, r.took)
	w.begin(a)
	if r.done != nil {
		r.done()
	}
}

// resetMeasures begins the measurement of service times.
func (w *roomSimulation) resetMeasures() {
	for _, a := range w.agents {
		a.asked, a.answered, a.late = 0, 0, 0
	}
}

// busiest returns the largest service time asked for at an upstream since resetMeasures,
// divided by the mean of all, and the share of answers that were late.
func (w *roomSimulation) busiest() (ratio, late float64) {
	most, sum, answered, lateAnswers := 0.0, 0.0, 0, 0
	for _, a := range w.agents {
		most = max(most, a.asked.Seconds())
		sum += a.asked.Seconds()
		answered += a.answered
		lateAnswers += a.late
	}
	return most / (sum / float64(len(w.agents))), float64(lateAnswers) / float64(answered)
}
