package steer_test

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/platform"
	"github.com/saltbend/saltbend/test/simclock"
)

// Compares the choice of upstreams by this package with other algorithms in simulated
// time: four balancers, seven upstreams of five slots, one request a flow, work of 45 ms
// on average, 1.5 ms between hosts. go test -run xxx -bench Choices
// ./internal/packetface/steer

// simBusyHops is how many agents may return an opening packet because all slots are
// taken.
var simBusyHops uint8 = 3

const (
	simBalancers, simAgents, simSlots = 4, 7, 5
	simWorkTime                       = 45 * time.Millisecond
	simDelay                          = 1500 * time.Microsecond
	simRequests                       = 20000
)

// simulation runs requests against simulated upstreams and records their waiting times.
type simulation struct {
	simclock.Clock
	random  *rand.Rand
	running [simAgents]int
	queues  [simAgents][]time.Duration
	waits   []time.Duration
}

// arrive starts a request, sent at the given time, at an upstream, or queues it if all
// slots are taken.
func (s *simulation) arrive(n int, sent time.Duration) {
	if s.running[n] >= simSlots {
		s.queues[n] = append(s.queues[n], sent)
		return
	}
	s.running[n]++
	s.waits = append(s.waits, s.Now-sent)
	s.After(time.Duration(s.random.ExpFloat64()*float64(simWorkTime)), func() {
		s.running[n]--
		if len(s.queues[n]) > 0 {
			next := s.queues[n][0]
			s.queues[n] = s.queues[n][1:]
			s.arrive(n, next)
		}
	})
}

// run sends requests at a load, as a fraction of all slots, and sorts their waiting
// times.
func (s *simulation) run(load float64, send func()) {
	interval := float64(simWorkTime) / (simAgents * simSlots * load)
	sent := 0
	var next func()
	next = func() {
		if sent++; sent > simRequests {
			return
		}
		send()
		s.After(time.Duration(s.random.ExpFloat64()*interval), next)
	}
	s.After(0, next)
	s.Run()
	slices.Sort(s.waits)
}

func (s *simulation) load(n int) int { return s.running[n] + len(s.queues[n]) }

// throughBalancers sends requests through the Cores of balancers. Simulated agents return
// an opening packet while all slots are taken, unless it has been returned simBusyHops
// times, and answer with their status.
func (s *simulation) throughBalancers() func() {
	var cores [simBalancers]*steer.Core
	var agents []steer.Agent
	for n := range simAgents {
		agents = append(agents, agentAt(n, "a"))
	}
	for i := range cores {
		cores[i] = steer.New(steer.Settings{DataCentre: "a", CallerPort: callerPort, Random: s.random})
		cores[i].SetTable(time.Millisecond, table(), time.Minute)
		cores[i].SetAgents(time.Millisecond, agents, listAge(1))
		for n := range simAgents { // the answers to the first polls
			_, _ = cores[i].FromAgent(time.Millisecond, address(n, 1), inner.AppendStatus(nil, inner.Status{State: inner.StateReady, Slots: simSlots}))
		}
	}
	sent := 0
	var deliver func(c *steer.Core, r *steer.Result, began time.Duration)
	deliver = func(c *steer.Core, r *steer.Result, began time.Duration) {
		for _, a := range r.Actions {
			if a.ToCaller || inner.KindOf(a.Bytes) != inner.KindOpen {
				continue
			}
			b := slices.Clone(a.Bytes)
			s.After(simDelay, func() { s.open(c, a.To, b, began, deliver) })
		}
	}
	return func() {
		c := cores[s.random.IntN(simBalancers)]
		sent++
		id := caller(sent)
		id.Caller[2] = byte(sent >> 16)
		r, _ := c.FromCaller(s.Now+time.Millisecond, packet(id, 1, 0, platform.FlagSYN, 0))
		deliver(c, r, s.Now)
	}
}

// open handles an opening packet as the agent that receives it.
func (s *simulation) open(c *steer.Core, to netip.AddrPort, b []byte, began time.Duration, deliver func(*steer.Core, *steer.Result, time.Duration)) {
	n := int(to.Addr().As4()[3])
	head, packet, _ := inner.ParseOpen(b)
	reply := func(datagram []byte) {
		s.After(simDelay, func() {
			r, _ := c.FromAgent(s.Now+time.Millisecond, to, datagram)
			deliver(c, r, began)
		})
	}
	full := s.running[n] >= simSlots && head.Flags&inner.FlagLastChoice == 0 && head.Hops < simBusyHops
	if !full {
		s.arrive(n, began)
	}
	reply(inner.AppendStatus(nil, inner.Status{State: inner.StateReady, Slots: simSlots, Running: uint16(s.load(n))}))
	if full {
		reply(inner.AppendReturned(nil, inner.Returned{Reason: inner.ReasonBusy, Running: uint16(s.load(n))}, packet))
	}
}

func BenchmarkChoices(b *testing.B) {
	choices := map[string]func(s *simulation) func(){
		"hash": func(s *simulation) func() { // the hash of a flow is as good as a random number
			return func() { n, sent := s.random.IntN(simAgents), s.Now; s.After(simDelay, func() { s.arrive(n, sent) }) }
		},
		"two-exact": func(s *simulation) func() { // the less loaded of two, known exactly
			return func() {
				n, m, sent := s.random.IntN(simAgents), s.random.IntN(simAgents), s.Now
				if s.load(m) < s.load(n) {
					n = m
				}
				s.After(simDelay, func() { s.arrive(n, sent) })
			}
		},
		"balancers": (*simulation).throughBalancers,
		"ideal": func(s *simulation) func() { // a single queue: always the least loaded, at once
			return func() {
				best := 0
				for n := range simAgents {
					if s.load(n) < s.load(best) {
						best = n
					}
				}
				s.arrive(best, s.Now)
			}
		},
	}
	for _, name := range []string{"hash", "two-exact", "balancers", "ideal"} {
		for _, load := range []float64{0.5, 0.85} {
			b.Run(name+map[float64]string{0.5: "/load=50", 0.85: "/load=85"}[load], func(b *testing.B) {
				var s *simulation
				for b.Loop() {
					s = &simulation{random: rand.New(rand.NewPCG(7, 7)), Clock: simclock.Clock{Now: time.Second}}
					s.run(load, choices[name](s))
				}
				b.ReportMetric(float64(s.waits[len(s.waits)/2].Microseconds())/1000, "p50-ms")
				b.ReportMetric(float64(s.waits[len(s.waits)*99/100].Microseconds())/1000, "p99-ms")
			})
		}
	}
}
