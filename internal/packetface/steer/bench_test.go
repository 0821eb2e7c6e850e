package steer_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/platform"
)

// newCoreWithAgents returns a balancer with seven agents of one service.
func newCoreWithAgents() *steer.Core {
	c := steer.New(steer.Settings{DataCentre: "a", CallerPort: callerPort, Random: rand.New(rand.NewPCG(1, 2))})
	c.SetTable(time.Second, table(), time.Minute)
	var agents []steer.Agent
	for n := range 7 {
		agents = append(agents, agentAt(100+n, "a"))
	}
	c.SetAgents(time.Second, agents, listAge(1))
	for n := range 7 {
		_, _ = c.FromAgent(time.Second, address(100+n, 1), inner.AppendStatus(nil, inner.Status{State: inner.StateReady, Slots: 4}))
	}
	return c
}

func BenchmarkKnownFlow(b *testing.B) {
	c := newCoreWithAgents()
	_, _ = c.FromCaller(time.Second, packet(caller(1), 1, 0, platform.FlagSYN, 0))
	p := packet(caller(1), 1, 77, platform.FlagACK, 200)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = c.FromCaller(time.Second, p)
	}
}

func BenchmarkNewFlow(b *testing.B) {
	c := newCoreWithAgents()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		_, _ = c.FromCaller(time.Second, packet(caller(n), 1, 0, platform.FlagSYN, 0))
	}
}

func BenchmarkReturnedFlow(b *testing.B) {
	c := newCoreWithAgents()
	from := address(100, 1)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		p := packet(caller(n), 1, 77, platform.FlagACK, 30)
		_, _ = c.FromAgent(time.Second, from, inner.AppendReturned(nil, inner.Returned{Reason: inner.ReasonUnknown}, p))
	}
}

// capacitySizes are the numbers of agents for docs/CAPACITY.md, with seven agents of each
// service.
var capacitySizes = []int{700, 2100, 4200, 6300}

func agentsOf(size int) []steer.Agent {
	agents := make([]steer.Agent, size)
	for n := range agents {
		agents[n] = agentAt(n, "a")
		agents[n].Service = inner.ServiceID(fmt.Sprintf("s-%d", n/7))
	}
	return agents
}

func BenchmarkCapacityPacketList(b *testing.B) {
	for _, size := range capacitySizes {
		b.Run(fmt.Sprintf("agents=%d", size), func(b *testing.B) {
			agents := agentsOf(size)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			c := steer.New(steer.Settings{DataCentre: "a", CallerPort: callerPort, Random: rand.New(rand.NewPCG(1, 2))})
			c.SetTable(time.Second, table(), time.Minute)
			c.SetAgents(time.Second, agents, listAge(1))
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				c.SetAgents(time.Second, agents, listAge(1))
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-B")
		})
	}
}

func BenchmarkCapacityPacketTick(b *testing.B) {
	for _, size := range capacitySizes {
		b.Run(fmt.Sprintf("agents=%d", size), func(b *testing.B) {
			c := steer.New(steer.Settings{DataCentre: "a", CallerPort: callerPort, Random: rand.New(rand.NewPCG(1, 2))})
			c.SetAgents(time.Second, agentsOf(size), listAge(1))
			for n := range size {
				_, _ = c.FromAgent(time.Second, address(n, 1), inner.AppendStatus(nil, inner.Status{State: inner.StateReady}))
			}
			for b.Loop() {
				c.Tick(time.Second)
			}
		})
	}
}

func BenchmarkCapacityPacketFlows(b *testing.B) {
	for _, size := range []int{1000, 5000, 25000} {
		b.Run(fmt.Sprintf("flows=%d", size), func(b *testing.B) {
			c := newCoreWithAgents()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for n := range size {
				_, _ = c.FromCaller(time.Second, packet(caller(n), 1, 0, platform.FlagSYN, 0))
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			for b.Loop() {
				c.Tick(time.Second)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc), "heap-B")
		})
	}
}

// BenchmarkCapacityPacketSearch runs searches that end with a reset, at a balancer with a
// complete record of former services. bytes/search counts the questions and answers.
func BenchmarkCapacityPacketSearch(b *testing.B) {
	for _, size := range capacitySizes {
		b.Run(fmt.Sprintf("agents=%d", size), func(b *testing.B) {
			c := steer.New(steer.Settings{
				DataCentre: "a", CallerPort: callerPort, Random: rand.New(rand.NewPCG(1, 2)), FlowMaxAge: time.Minute,
			})
			c.SetTable(time.Second, tableRoutedTo(1, "s-0"), time.Minute)
			c.SetAgents(time.Second, agentsOf(size), listAge(1))
			now, n, bytes := 10*time.Minute, 0, 0
			for b.Loop() {
				n++
				now += 5 * time.Millisecond
				bytes += search(c, now, caller(n%60000))
			}
			b.ReportMetric(float64(bytes)/float64(n), "bytes/search")
		})
	}
}

// search runs a search in which all agents answer that they do not hold the flow; it
// returns the bytes sent between the processes.
func search(c *steer.Core, now time.Duration, id platform.Flow) (bytes int) {
	r, _ := c.FromCaller(now, packet(id, 1, 77, platform.FlagACK, 30))
	var asked []steer.Action
	for _, a := range r.Actions {
		if !a.ToCaller {
			asked = append(asked, a)
			bytes += len(a.Bytes)
		}
	}
	for _, a := range asked {
		answer := inner.AppendAnswer(inner.AppendAnswerHead(nil, 1), inner.Answer{Flow: id, Verdict: inner.VerdictNone})
		bytes += len(answer)
		_, _ = c.FromAgent(now, a.To, answer)
	}
	return bytes
}
