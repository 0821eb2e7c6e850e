package steer_test

import (
	"testing"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/routing"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/platform"
)

// polledWarmup returns the warm-up in a balancer's polls after agents have reported the
// given ones. The configuration has none.
func polledWarmup(t *testing.T, estimates ...time.Duration) time.Duration {
	var agents []steer.Agent
	for n := range max(len(estimates), 1) {
		agents = append(agents, agentAt(101+n, "a"))
	}
	b := newBench(t, agents...)
	b.core.SetTable(b.now, routing.NewTable(platform.Configuration{Version: 2, Routes: []platform.Route{
		{Name: "r", Face: face, Shares: []platform.Share{{Service: service, Weight: 1}}, Idempotent: true},
	}}), time.Minute)
	for n, warmup := range estimates {
		b.status(101+n, inner.Status{State: inner.StateReady, Warmup: warmup})
	}
	b.last = b.core.Tick(b.now)
	for _, a := range b.last.Actions {
		if poll, err := inner.ParsePoll(a.Bytes); err == nil {
			return poll.Cold.Warmup
		}
	}
	return 0
}

func TestWarmUpIsEstimatedAsUpperQuartile(t *testing.T) {
	const warmup, back, ahead = 3 * time.Second, 300 * time.Millisecond, 9 * time.Second
	for name, c := range map[string]struct {
		reported []time.Duration
		want     time.Duration
	}{
		"all agree":                {[]time.Duration{warmup, warmup, warmup, warmup, warmup}, warmup},
		"too few":                  {[]time.Duration{warmup, warmup, warmup, warmup}, 0},
		"too few report a warm-up": {[]time.Duration{warmup, 0, warmup, 0, warmup, warmup}, 0},
		"three clocks set back":    {[]time.Duration{back, back, back, warmup, warmup}, warmup},
		"one clock set ahead":      {[]time.Duration{warmup, warmup, ahead, warmup, warmup}, warmup},
		"two clocks set ahead":     {[]time.Duration{warmup, warmup, ahead, ahead, warmup}, ahead},
	} {
		t.Run(name, func(t *testing.T) {
			if got := polledWarmup(t, c.reported...); got != c.want {
				t.Errorf("polls contain a warm-up of %s, want %s", got, c.want)
			}
		})
	}
}
