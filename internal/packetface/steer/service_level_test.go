package steer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/admission"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/routing"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/platform"
)

// refusedOf opens flows of different callers and returns how many are refused untried.
func (b *bench) refusedOf(flows int) (refused int) {
	for n := range flows {
		id := caller(1)
		id.Caller = [4]byte{100, 65, byte(n >> 8), byte(n)}
		b.opens(id, 0)
		refused += b.resets()
	}
	return refused
}

// halfBar is the bar of a service that refuses half of the callers of the least urgent
// route.
const halfBar = admission.Standing(0xff80)

// The balancer refuses untried only if the figures of its agents are recent, sufficient and
// without a contradiction.
func TestLevelNeedsReliableFigures(t *testing.T) {
	const agents, flows = 8, 200
	cases := []struct {
		name    string
		change  func(b *bench)
		refuses bool
	}{
		{"all agents without room", func(*bench) {}, true},
		{"figures are old", func(b *bench) { b.now += 310 * time.Millisecond }, false},
		{"figures are not too old", func(b *bench) { b.now += 80 * time.Millisecond }, true},
		{"fewer than half of the agents are heard of", func(b *bench) {
			b.now += 310 * time.Millisecond
			for n := range 4 {
				b.status(101+n, busy(halfBar))
			}
		}, false},
		{"most agents are of an earlier build", func(b *bench) {
			for n := range 7 {
				s := busy(0)
				s.HasLoad = false
				b.status(101+n, s)
			}
		}, false},
		{"all agents have a new process", func(b *bench) {
			for n := range agents {
				s := busy(halfBar)
				s.Incarnation = 2
				b.status(101+n, s)
			}
		}, false},
		{"the new processes have reported twice", func(b *bench) {
			for range 2 {
				for n := range agents {
					s := busy(halfBar)
					s.Incarnation = 2
					b.status(101+n, s)
				}
			}
		}, true},
		{"a returned packet does not make figures recent", func(b *bench) {
			for n := range agents {
				b.opens(caller(n), 0)
			}
			b.now += 310 * time.Millisecond
			for n := range agents {
				b.returns(101+n, caller(n), 0, inner.ReasonBusy)
			}
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBusyBench(t, nil, agents, halfBar)
			c.change(b)
			if refused := b.refusedOf(flows); c.refuses {
				b.Expect(refused).To(BeNumerically(">", flows/5))
			} else {
				b.Expect(refused).To(BeZero())
			}
		})
	}
}

// One agent of eight has a free slot, which is taken by the next flow.
func TestNothingIsRefusedWhileSlotIsKnownToBeFree(t *testing.T) {
	const agents = 8
	b := newBusyBench(t, nil, agents, all)
	refused := 0
	for n := range 300 {
		b.now += 6 * time.Millisecond // the level is computed anew
		b.allBusy(agents, all)
		s := busy(all)
		s.Running, s.Load = 3, inner.Load{}
		b.status(101+n%agents, s)
		id := caller(1)
		id.Caller = [4]byte{100, 65, byte(n >> 8), byte(n)}
		b.opens(id, 0)
		b.Expect(b.resets()).To(BeZero())
		b.now += 6 * time.Millisecond
		id.CallerPort++
		b.opens(id, 0)
		refused += b.resets()
	}
	b.Expect(refused).To(BeNumerically(">", 100))
}

// One agent of eight has a wrong bar; half of the callers is refused nevertheless.
func TestOneWrongBarDoesNotMoveLevel(t *testing.T) {
	const agents, flows = 8, 400
	shareWith := func(wrong admission.Standing) float64 {
		b := newBusyBench(t, nil, agents, halfBar)
		b.status(101, busy(wrong))
		return float64(b.refusedOf(flows)) / flows
	}
	usual := shareWith(halfBar)
	g := NewWithT(t)
	g.Expect(usual).To(BeNumerically("~", 0.4, 0.1))
	for _, wrong := range []admission.Standing{0, 1, 0x0180, 0xfe80, 0xffff} {
		g.Expect(shareWith(wrong)).To(BeNumerically("~", usual, 0.08), fmt.Sprintf("%x", wrong))
	}
}

// The flows of one route may go to the region north only, where there is no room; those of
// the other may go everywhere.
func TestLevelDependsOnAllowedRegions(t *testing.T) {
	g := NewWithT(t)
	route := func(port uint16, regions ...string) platform.Route {
		r := platform.Route{Name: "r", Face: face, Shares: []platform.Share{{Service: service, Weight: 1}}, AllowedRegions: regions, TargetLatency: usualTerms.TargetLatency, Timeout: usualTerms.Timeout}
		r.Face = addrPort(port)
		return r
	}
	b := &bench{WithT: g, now: time.Second}
	b.core = steer.New(steer.Settings{DataCentre: "a", Regions: map[string]string{"a": "north", "b": "south"}, CallerPort: callerPort, Random: rand.New(rand.NewPCG(1, 2))})
	b.core.SetTable(b.now, routing.NewTable(platform.Configuration{Version: 1, Routes: []platform.Route{route(443, "north"), route(444)}}), time.Minute)
	b.last = b.core.SetAgents(b.now, []steer.Agent{agentAt(101, "a"), agentAt(102, "b")}, listAge(1))
	refused := map[uint16]int{}
	for n := range 100 {
		for _, port := range []uint16{444, 443} {
			b.status(101, busy(all))
			b.status(102, inner.Status{Incarnation: 1, HasLoad: true})
			id := caller(n)
			id.FacePort = port
			b.opens(id, 0)
			refused[port] += b.resets()
			b.now += time.Millisecond
		}
	}
	g.Expect(refused[443]).To(BeNumerically(">", 80))
	g.Expect(refused[444]).To(BeZero())
}

func TestRouteWithoutTimeoutIsNotRefusedByLevel(t *testing.T) {
	b := newBusyBench(t, nil, 8, all)
	b.core.SetTable(b.now, tableWith(0, inner.Terms{TargetLatency: time.Second}), time.Minute)
	b.Expect(b.refusedOf(50)).To(BeZero())
}

func TestRefusalNotesWhatItIsBasedOn(t *testing.T) {
	b := newBusyBench(t, nil, 8, all)
	b.now += 40 * time.Millisecond
	b.status(103, busy(all))
	b.opens(caller(1), 0)
	n := b.notes(steer.KindReset)[0]
	b.Expect(n.Reason).To(Equal("service-overloaded"))
	b.Expect(n.Agents).To(Equal(8))
	b.Expect(n.Age).To(Equal(40 * time.Millisecond))
	b.Expect(n.Bar).To(BeNumerically(">", 0xff00))
	b.Expect(n.Standing).To(BeNumerically("<=", n.Bar))
}

// overloadedSizes are numbers of agents of one service.
var overloadedSizes = []int{37, 543, 6100}

// newOverloadedCore returns a balancer whose service has no room and refuses all flows, or
// none if bar is 0.
func newOverloadedCore(size int, bar admission.Standing) (*steer.Core, func(now time.Duration, n int)) {
	c := steer.New(steer.Settings{DataCentre: "a", CallerPort: callerPort, Random: rand.New(rand.NewPCG(1, 2))})
	c.SetTable(time.Second, tableWith(0, usualTerms), time.Minute)
	agents := make([]steer.Agent, size)
	for n := range agents {
		agents[n] = agentAt(n, "a")
	}
	c.SetAgents(time.Second, agents, listAge(1))
	s := busy(bar)
	s.State, s.Slots, s.ResponseTime = inner.StateReady, 4, 45*time.Millisecond
	datagram := inner.AppendStatus(nil, s)
	report := func(now time.Duration, n int) { _, _ = c.FromAgent(now, address(n%size, 1), datagram) }
	for n := range size {
		report(time.Second, n)
	}
	return c, report
}

// putCaller makes a packet one of the n-th caller.
func putCaller(p []byte, n int) {
	p[21], p[22], p[23] = byte(n>>16), byte(n>>8), byte(n)
}

// benchmarkOverload measures openings with a status for each, so many that all figures are
// recent.
func benchmarkOverload(b *testing.B, bar admission.Standing) {
	const interval = 10 * time.Microsecond
	for _, size := range overloadedSizes {
		b.Run(fmt.Sprintf("agents=%d", size), func(b *testing.B) {
			c, report := newOverloadedCore(size, bar)
			now, n := time.Second, 0
			p := packet(caller(1), 1, 0, platform.FlagSYN, 0)
			b.ReportAllocs()
			for b.Loop() {
				n++
				now += interval
				report(now, n)
				putCaller(p, n)
				_, _ = c.FromCaller(now, p)
			}
		})
	}
}

func BenchmarkCapacityOverloadRefuse(b *testing.B) { benchmarkOverload(b, all) }
func BenchmarkCapacityOverloadPlace(b *testing.B)  { benchmarkOverload(b, 0) }

// BenchmarkCapacityOverloadLevel measures an opening for which the level is computed anew;
// core-% is the share of a processor that this takes at most.
func BenchmarkCapacityOverloadLevel(b *testing.B) {
	for _, size := range overloadedSizes {
		b.Run(fmt.Sprintf("agents=%d", size), func(b *testing.B) {
			c, report := newOverloadedCore(size, all)
			now, n := time.Second, 0
			interval := 5*time.Millisecond + time.Duration(size)*time.Microsecond
			p := packet(caller(1), 1, 0, platform.FlagSYN, 0)
			b.ReportAllocs()
			for b.Loop() {
				if n%4 == 0 {
					b.StopTimer()
					for i := range size {
						report(now, i)
					}
					b.StartTimer()
				}
				n++
				now += interval
				putCaller(p, n)
				_, _ = c.FromCaller(now, p)
			}
			b.ReportMetric(100*float64(b.Elapsed())/float64(b.N)/float64(interval), "core-%")
		})
	}
}
