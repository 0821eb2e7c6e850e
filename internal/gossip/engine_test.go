package gossip_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/gossip"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/test/simfleet"
)

const tick = simfleet.Tick

var (
	at    = simfleet.At
	begin = simfleet.Begin
)

func balancer(i int) member.Member {
	return member.Member{Control: at(i), Role: member.RoleBalancer, DataCentre: "a", State: member.StateReady}
}

func agent(i int, service string) member.Member {
	return member.Member{Control: at(100 + i), Role: member.RoleAgent, Service: service, DataCentre: "a", State: member.StateReady, Slots: 5}
}

// populate starts balancers and agents that join at the first two balancers.
func populate(w *simfleet.Fleet, balancers, agents int) {
	for i := range balancers {
		w.Start(balancer(i), at(0), at(1))
	}
	for i := range agents {
		w.Start(agent(i, fmt.Sprintf("service-%d", i%2)), at(0), at(1))
	}
}

// Messages are lost, duplicated and reordered; processes crash, restart and
// leave; partitions come and go. Two minutes after the faults have ended, the
// tables of all balancers must hold exactly the live members with their current
// records.
func TestTablesConvergeAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := simfleet.New(rapid.Uint64().Draw(t, "seed"))
		balancers := rapid.IntRange(2, 6).Draw(t, "balancers")
		agents := rapid.IntRange(0, 6).Draw(t, "agents")
		populate(w, balancers, agents)
		w.Run(5 * time.Second)
		w.Loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			disturb(t, w, balancers, agents)
			w.Run(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
		}
		w.Cut, w.Loss = nil, 0
		w.Run(2 * time.Minute)
		if d := w.Differences(); len(d) > 0 {
			t.Fatalf("%d differences, such as %v", len(d), d[:min(len(d), 5)])
		}
	})
}

// disturb applies one random fault or change.
func disturb(t *rapid.T, w *simfleet.Fleet, balancers, agents int) {
	// The first balancer is never the victim, so that the others can join at it.
	victim := at(rapid.IntRange(1, balancers-1).Draw(t, "balancer"))
	if agents > 0 && rapid.Bool().Draw(t, "of agents") {
		victim = at(100 + rapid.IntRange(0, agents-1).Draw(t, "agent"))
	}
	switch rapid.SampledFrom([]string{"crash", "restart", "leave", "change", "cut", "heal"}).Draw(t, "step") {
	case "crash":
		w.Crash(victim)
	case "restart":
		m := balancer(0)
		if victim.Addr().As4()[3] >= 100 {
			m = agent(0, "service-1") // the agent may have had another service before
		}
		m.Control = victim
		w.Start(m, at(0))
	case "leave":
		if e := w.Engines[victim]; e != nil {
			e.Update(w.Now, func(m *member.Member) { m.State = member.StateGone })
			w.Run(2 * tick)
			w.Crash(victim)
		}
	case "change":
		if e := w.Engines[victim]; e != nil {
			e.Update(w.Now, func(m *member.Member) { m.Weight++; m.State = member.StateDraining })
		}
	case "cut":
		mask := byte(rapid.IntRange(1, 7).Draw(t, "mask"))
		side := func(a netip.AddrPort) bool { return a.Addr().As4()[3]&mask == 0 }
		w.Cut = func(a, b netip.AddrPort) bool { return side(a) != side(b) }
	case "heal":
		w.Cut = nil
	}
}

// A partition that hides a minority causes declarations. When it heals, the
// hidden members must be back within 30 s, and no member may be declared gone
// again.
func TestNoFlappingAfterPartitionHeals(t *testing.T) {
	for seed := range uint64(20) {
		w := simfleet.New(seed)
		populate(w, 8, 12)
		w.Run(10 * time.Second)
		hidden := func(a netip.AddrPort) bool { return a == at(7) || a == at(100) || a == at(101) }
		w.Cut = func(a, b netip.AddrPort) bool { return hidden(a) != hidden(b) }
		w.Run(time.Minute)
		if e := w.Engines[at(0)]; e.Table().Live() != 17 {
			t.Errorf("seed %d: %d members live during the partition, want 17", seed, e.Table().Live())
		}
		w.Cut = nil
		declared := w.Notices[gossip.NoticeDeclared]
		w.Run(30 * time.Second)
		if d := w.Differences(); len(d) > 0 {
			t.Errorf("seed %d: tables differ from the live members after the partition: %v", seed, d)
		}
		if again := w.Notices[gossip.NoticeDeclared] - declared; again > 0 {
			t.Errorf("seed %d: %d members declared gone after the partition, want 0", seed, again)
		}
	}
}

// A member that only one of its witnesses cannot reach must not be declared gone.
func TestMemberUnreachableForOneWitnessStaysLive(t *testing.T) {
	for i := range 5 {
		w := simfleet.New(1)
		populate(w, 5, 3)
		w.Run(10 * time.Second)
		w.Cut = func(a, b netip.AddrPort) bool { return a == at(i) && b == at(100) }
		w.Run(3 * time.Minute)
		if n := w.Notices[gossip.NoticeDeclared]; n > 0 {
			t.Errorf("balancer %d cannot reach the member: %d declarations, want 0", i, n)
		}
		if d := w.Differences(); len(d) > 0 {
			t.Errorf("balancer %d cannot reach the member: tables differ from the live members: %v", i, d)
		}
	}
}

// After ten minutes, the two sides of a partition have declared each other gone.
// Once it heals, they must still find each other and converge.
func TestPartitionsMergeAfterDeclaringEachOtherGone(t *testing.T) {
	for seed := range uint64(10) {
		w := simfleet.New(seed)
		populate(w, 5, 0)
		w.Run(10 * time.Second)
		low := func(a netip.AddrPort) bool { return a == at(0) || a == at(1) }
		w.Cut = func(a, b netip.AddrPort) bool { return low(a) != low(b) }
		w.Run(10 * time.Minute)
		if live := w.Engines[at(0)].Table().Live(); live != 2 {
			t.Fatalf("seed %d: %d members live on one side after ten minutes of partition, want 2", seed, live)
		}
		w.Cut = nil
		w.Run(2 * time.Minute)
		if d := w.Differences(); len(d) > 0 {
			t.Errorf("seed %d: %v", seed, d)
		}
	}
}

// A member crashes together with its witnesses. Other balancers must take over as
// its witnesses and declare it gone.
func TestDeadWitnessesAreReplaced(t *testing.T) {
	for seed := range uint64(10) {
		w := simfleet.New(seed)
		populate(w, 5, 1)
		w.Run(10 * time.Second)
		for _, i := range []int{1, 2, 4, 100} {
			w.Crash(at(i))
		}
		w.Run(2 * time.Minute)
		if d := w.Differences(); len(d) > 0 {
			t.Errorf("seed %d: %v", seed, d)
		}
	}
}

// Checks the propagation times stated in docs/design/control.md, on simulated
// time.
func TestChangesReachAllBalancersInTime(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*simfleet.Fleet)
		within time.Duration
	}{
		"draining": {func(w *simfleet.Fleet) {
			w.Engines[at(100)].Update(w.Now, func(m *member.Member) { m.State = member.StateDraining })
		}, time.Second},
		"a new agent":       {func(w *simfleet.Fleet) { w.Start(agent(50, "service-0"), at(0)) }, time.Second},
		"a crashed process": {func(w *simfleet.Fleet) { w.Crash(at(100)) }, 8 * time.Second},
		"a silent host": {func(w *simfleet.Fleet) {
			w.Cut = func(a, _ netip.AddrPort) bool { return a == at(100) }
			delete(w.Engines, at(100))
		}, 15 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(10) {
				w := simfleet.New(seed)
				populate(w, 8, 12)
				w.Run(10 * time.Second)
				c.change(w)
				w.Run(c.within)
				if d := w.Differences(); len(d) > 0 {
					t.Errorf("seed %d: %v", seed, d)
				}
			}
		})
	}
}
