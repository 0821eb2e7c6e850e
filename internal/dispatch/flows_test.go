package dispatch_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/saltbend/saltbend/internal/dispatch"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/placement"
)

// arrivals is how callers come to a service: connections for each agent on
// average, all within a window, each counted when its handshake is over.
type arrivals struct {
	agents, each      int
	window, handshake time.Duration
	// bound is what the fullest may have over the mean.
	bound float64
}

func (a arrivals) String() string {
	return fmt.Sprintf("%dx%d/%s/%s", a.agents, a.each, a.window, a.handshake)
}

// fewAndMany are a small service and a large one, with callers that come at
// their leisure and all at once.
func fewAndMany() []arrivals {
	return []arrivals{
		{agents: 4, each: 25, window: time.Minute, handshake: 20 * time.Millisecond, bound: 1.1},
		{agents: 4, each: 25, window: 100 * time.Millisecond, handshake: 50 * time.Millisecond, bound: 1.2},
		{agents: 7, each: 2000, window: time.Minute, handshake: 20 * time.Millisecond, bound: 1.05},
		{agents: 7, each: 2000, window: 5 * time.Second, handshake: 50 * time.Millisecond, bound: 1.05},
	}
}

// siblingDelay is one way between agents.
const siblingDelay = 500 * time.Microsecond

// flowAgent is one agent of the simulation.
type flowAgent struct {
	sched       *dispatch.Scheduler
	placer      dispatch.Placer
	connections int
}

// flowWorld simulates the placement of new flows alone.
type flowWorld struct {
	agents   []*flowAgent
	events   []flowEvent
	messages int
	handed   int
}

type flowEvent struct {
	at time.Duration
	do func(at time.Duration)
}

func (w *flowWorld) after(at time.Duration, do func(time.Duration)) {
	i, _ := slices.BinarySearchFunc(w.events, at, func(e flowEvent, at time.Duration) int {
		return cmp.Or(cmp.Compare(e.at, at), -1)
	})
	w.events = slices.Insert(w.events, i, flowEvent{at: at, do: do})
}

// spread simulates arrivals and returns the largest number of connections over
// the mean.
func (w *flowWorld) spread(a arrivals, seed uint64) float64 {
	rng := rand.New(rand.NewPCG(seed, 3))
	members := make([]member.Member, a.agents)
	for i := range members {
		at := address(uint16(i + 1))
		members[i] = member.Member{Control: at, Data: at, Role: member.RoleAgent, State: member.StateReady, Weight: 1000}
		w.agents = append(w.agents, &flowAgent{sched: scheduler(dispatch.Limits{Slots: 1})})
	}
	w.introduce()
	set := placement.NewSet(placement.Locality{}, members, 0)
	for range a.agents * a.each {
		to, _ := set.Choose(rng.Uint64())
		w.after(time.Duration(rng.Int64N(int64(a.window))), func(at time.Duration) { w.arrive(at, to, a.handshake) })
	}
	for len(w.events) > 0 {
		e := w.events[0]
		w.events = w.events[1:]
		e.do(e.at)
	}
	most := slices.MaxFunc(w.agents, func(x, y *flowAgent) int { return x.connections - y.connections })
	return float64(most.connections) / float64(a.each)
}

func (w *flowWorld) introduce() {
	for i, one := range w.agents {
		var others []netip.AddrPort
		for j := range w.agents {
			if j != i {
				others = append(others, address(uint16(j+1)))
				one.sched.Heard(start, address(uint16(j+1)), dispatch.Standing{Seq: 1, Draws: true})
			}
		}
		one.sched.SetSiblings(start, others)
	}
}

func (w *flowWorld) at(addr netip.AddrPort) *flowAgent { return w.agents[addr.Port()-1] }

// arrive places a new flow, with at most one hop.
func (w *flowWorld) arrive(at time.Duration, addr netip.AddrPort, handshake time.Duration) {
	one := w.at(addr)
	if to, ok := one.placer.Place(start.Add(at), one.sched.FlowTargets(), one.connections); ok {
		w.handed++
		addr = to
	}
	w.after(at+handshake, func(at time.Duration) { w.connect(at, addr) })
}

func (w *flowWorld) connect(at time.Duration, addr netip.AddrPort) {
	one := w.at(addr)
	one.connections++
	for _, action := range one.sched.SetConnections(start.Add(at), one.connections) {
		a, ok := action.(dispatch.Announce)
		if !ok {
			continue
		}
		w.messages++
		w.after(at+siblingDelay, func(at time.Duration) {
			w.at(a.To).sched.Heard(start.Add(at), addr, a.Standing)
		})
	}
}

// BenchmarkFlows shows how even connections are over 20 seeds.
func BenchmarkFlows(b *testing.B) {
	const seeds = 20
	for _, a := range fewAndMany() {
		b.Run(a.String(), func(b *testing.B) {
			var worst, sum, messages, handed float64
			for seed := range uint64(seeds) {
				var w flowWorld
				ratio := w.spread(a, seed)
				worst = max(worst, ratio)
				sum += ratio / seeds
				messages += float64(w.messages) / seeds
				handed += float64(w.handed) / float64(seeds*a.agents*a.each)
			}
			b.ReportMetric(sum, "max/mean")
			b.ReportMetric(worst, "worst")
			b.ReportMetric(messages, "messages")
			b.ReportMetric(100*handed, "handed-%")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// evenSeeds is the number of runs of which each has to be even.
const evenSeeds = 5

// The bound for messages is what a step of 16 connections costs.
func TestConnectionsAreEvenInSmallServicesToo(t *testing.T) {
	for _, a := range fewAndMany() {
		t.Run(a.String(), func(t *testing.T) {
			for seed := range uint64(evenSeeds) {
				var w flowWorld
				if ratio := w.spread(a, seed); ratio > a.bound {
					t.Errorf("seed %d: the fullest has %.2f times the mean", seed, ratio)
				}
				if most := a.agents * (a.agents - 1) * a.each / 16; a.each > 256 && w.messages > most {
					t.Errorf("seed %d: %d messages, more than %d", seed, w.messages, most)
				}
			}
		})
	}
}

func TestFloodOfFlowsStays(t *testing.T) {
	targets := []dispatch.FlowTarget{{To: address(2)}, {To: address(3)}, {To: address(4)}}
	var p dispatch.Placer
	handed := 0
	for range 100_000 {
		if _, ok := p.Place(start, targets, 0); ok {
			handed++
		}
	}
	if handed == 0 || handed > 1000 {
		t.Fatalf("%d of 100,000 flows that never connected were handed on", handed)
	}
	if _, ok := p.Place(start.Add(time.Minute), targets, 10); !ok {
		t.Fatal("the flood is still counted after a minute")
	}
}
