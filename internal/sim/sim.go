// Package sim measures the scheduler of internal/dispatch by discrete-event
// simulation: the agents of one service, the slots of their upstreams, and the
// delay of messages between them. All random numbers come from fixed seeds. The
// package is used by benchmarks only; the daemon does not import it.
package sim

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/dispatch"
	"github.com/saltbend/saltbend/internal/health"
)

var epoch = time.Unix(1_700_000_000, 0)

// work is one request of the workload. Each policy is run with copies of the same
// requests.
type work struct {
	class   *class
	arrival time.Duration
	service time.Duration
	flow    int
	// scheduled is the class that the scheduler is given; some policies hide
	// priorities or deadlines from it.
	scheduled class

	started time.Duration
	ended   time.Duration
	refused bool
	failed  bool
}

// class holds the scheduling parameters of a class of requests.
type class struct {
	name     string
	priority int
	movable  bool
	deadline time.Duration
	share    float64 // of all arrivals
}

// server is one slot of an upstream, which serves one request at a time.
type server struct {
	upstream *upstream
}

// upstream describes how one upstream serves its requests.
type upstream struct {
	slots int
	// slowdown returns the factor of service times at the given time.
	slowdown func(now time.Duration) float64
	// A broken upstream answers each request with an error after a millisecond,
	// while its health endpoint reports it as healthy.
	broken bool
}

// node is an agent with its upstream. The ideal policy has a single node with the
// servers of all upstreams.
type node struct {
	addr         netip.AddrPort
	sched        *dispatch.Scheduler
	free         []server
	loadIntegral float64 // running and queued requests, integrated over time
	since        time.Duration
	works        map[dispatch.ID]*work
	wakeAt       time.Duration
	tracker      *health.Tracker
	limits       dispatch.Limits
}

// simulation is the state of one simulation run.
type simulation struct {
	now      time.Duration
	events   events
	nodes    []*node
	rng      *rand.Rand
	delay    time.Duration
	messages int
	order    uint64
}

type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events []event

// Len implements sort.Interface.
func (e events) Len() int { return len(e) }

// Less implements sort.Interface.
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}

// Swap implements sort.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// after schedules a call of do at the end of the simulated duration d.
func (w *simulation) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{at: w.now + d, order: w.order, do: do})
}

func (w *simulation) clock() time.Time { return epoch.Add(w.now) }

func (w *simulation) run() {
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
}

func (w *simulation) node(addr netip.AddrPort) *node { return w.nodes[addr.Port()-1] }

// add creates a node with the servers of the upstreams.
func (w *simulation) add(upstreams []*upstream, queue int, o dispatch.Options) *node {
	n := &node{works: map[dispatch.ID]*work{}}
	for _, u := range upstreams {
		for range u.slots {
			n.free = append(n.free, server{u})
		}
	}
	limits := dispatch.Limits{Slots: len(n.free), Queue: queue}
	n.limits = limits
	seed := uint64(len(w.nodes))
	n.sched = dispatch.New(limits, 1, rand.New(rand.NewPCG(seed, seed)), o)
	w.nodes = append(w.nodes, n)
	n.addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(len(w.nodes)))
	return n
}

// connectSiblings makes all nodes siblings of each other.
func (w *simulation) connectSiblings() {
	for _, n := range w.nodes {
		var others []netip.AddrPort
		for _, o := range w.nodes {
			if o != n {
				others = append(others, o.addr)
			}
		}
		w.do(n, n.sched.SetSiblings(w.clock(), others))
	}
}

func (w *simulation) arrive(n *node, id dispatch.ID, k *work) {
	n.works[id] = k
	w.do(n, n.sched.Arrive(w.clock(), request(id, k)))
}

func request(id dispatch.ID, k *work) dispatch.Request {
	return dispatch.Request{
		ID: id, Priority: k.scheduled.priority, Movable: k.scheduled.movable,
		Arrived: epoch.Add(k.arrival), Deadline: epoch.Add(k.arrival + k.scheduled.deadline),
	}
}

// do performs the scheduler's actions, as the request handler does in an agent.
func (w *simulation) do(n *node, actions []dispatch.Action) {
	n.account(w.now)
	for _, a := range slices.Clone(actions) {
		switch a := a.(type) {
		case dispatch.Start:
			w.start(n, a.ID)
		case dispatch.Refuse:
			w.refuse(n, a)
		case dispatch.Push:
			w.push(n, a)
		case dispatch.Pull:
			w.send(n, a.From, a.Standing, func(to *node) []dispatch.Action {
				return to.sched.SlotOffered(w.clock(), n.addr, a.Reservation)
			})
		case dispatch.Decline:
			w.send(n, a.To, a.Standing, func(to *node) []dispatch.Action {
				return to.sched.ReservationDeclined(w.clock(), n.addr, a.Reservation)
			})
		case dispatch.Announce:
			w.send(n, a.To, a.Standing, nil)
		}
	}
	w.wake(n)
}

func (w *simulation) send(from *node, to netip.AddrPort, s dispatch.Standing, then func(to *node) []dispatch.Action) {
	w.messages++
	w.after(w.delay, func() {
		n := w.node(to)
		w.do(n, n.sched.ReceiveStanding(w.clock(), from.addr, s))
		if then != nil {
			w.do(n, then(n))
		}
	})
}

func (w *simulation) wake(n *node) {
	at, ok := n.sched.NextWake()
	due := at.Sub(epoch)
	if !ok || (n.wakeAt > w.now && n.wakeAt <= due) {
		return
	}
	n.wakeAt = max(due, w.now)
	w.after(n.wakeAt-w.now, func() { w.do(n, n.sched.Tick(w.clock())) })
}

func (w *simulation) start(n *node, id dispatch.ID) {
	k := n.works[id]
	k.started = w.now
	at := w.rng.IntN(len(n.free))
	s := n.free[at]
	n.free = slices.Delete(n.free, at, at+1)
	service := time.Duration(float64(k.service) * s.upstream.slowdown(w.now))
	k.failed = s.upstream.broken
	if k.failed {
		service = time.Millisecond
	}
	w.after(service, func() {
		k.ended = w.now
		n.free = append(n.free, s)
		w.updateHealth(n, health.Outcome{Good: !k.failed, Latency: service})
		w.do(n, n.sched.Done(w.clock(), id, service, !k.failed))
	})
}

// updateHealth updates the health of the node's upstream with an outcome, as the
// request handler does in an agent.
func (w *simulation) updateHealth(n *node, o health.Outcome) {
	if n.tracker == nil {
		return
	}
	n.tracker.Observe(w.clock(), o)
	v := n.tracker.Judge(w.clock(), n.limits.Slots, health.Peers{})
	w.do(n, n.sched.SetHealth(w.clock(), v.Slots, v.Draws))
}

func (w *simulation) refuse(n *node, a dispatch.Refuse) {
	k := n.works[a.ID]
	delete(n.works, a.ID)
	k.refused, k.ended = true, w.now
}

func (w *simulation) push(from *node, p dispatch.Push) {
	k := from.works[p.ID]
	w.messages++
	w.after(w.delay, func() {
		to := w.node(p.To)
		w.do(to, to.sched.ReceiveStanding(w.clock(), from.addr, p.Standing))
		to.works[p.ID] = k
		w.do(to, to.sched.ArriveMoved(w.clock(), request(p.ID, k), p.Reservation, p.Admit))
		if !k.refused {
			// When Settled is called matters only to the bookkeeping of the node
			// that pushed the request, so the end of the request is not awaited.
			w.after(w.delay, func() { w.do(from, from.sched.Settled(w.clock(), p.ID)) })
			return
		}
		k.refused = false
		w.messages++
		w.after(w.delay, func() { w.do(from, from.sched.Returned(w.clock(), p.ID)) })
	})
}

// account adds the running and queued requests since the last call to the
// integral.
func (n *node) account(now time.Duration) {
	l := n.sched.Load()
	n.loadIntegral += float64(l.Running+l.Queued) * (now - n.since).Seconds()
	n.since = now
}
