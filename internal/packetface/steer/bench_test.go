package steer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/platform"
)

// prepared returns a balancer with seven agents, as one service has.
func prepared() *steer.Core {
	c := steer.New(steer.Settings{DataCentre: "a", CallerPort: callerPort, Random: rand.New(rand.NewPCG(1, 2))})
	c.SetTable(table(), time.Minute)
	var agents []steer.Agent
	for n := range 7 {
		agents = append(agents, at(100+n, "a"))
	}
	c.SetAgents(time.Second, agents, 1)
	for n := range 7 {
		_, _ = c.FromAgent(time.Second, address(100+n, 1), inner.AppendStatus(nil, inner.Status{State: inner.StateReady, Slots: 4}))
	}
	return c
}

func BenchmarkKnownFlow(b *testing.B) {
	c := prepared()
	_, _ = c.FromCaller(time.Second, packet(caller(1), 1, 0, platform.FlagSYN, 0))
	p := packet(caller(1), 1, 77, platform.FlagACK, 200)
	b.ReportAllocs()
	for b.Loop() {
		_, _ = c.FromCaller(time.Second, p)
	}
}

func BenchmarkNewFlow(b *testing.B) {
	c := prepared()
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		_, _ = c.FromCaller(time.Second, packet(caller(n), 1, 0, platform.FlagSYN, 0))
	}
}

func BenchmarkReturnedFlow(b *testing.B) {
	c := prepared()
	from := address(100, 1)
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		p := packet(caller(n), 1, 77, platform.FlagACK, 30)
		_, _ = c.FromAgent(time.Second, from, inner.AppendReturned(nil, inner.ReasonUnknown, p))
	}
}
