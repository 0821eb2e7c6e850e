package steer_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/routing"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/platform"
)

// newHomeBench returns a bench whose route is restricted to a home region; data centre a
// is in region r1, b and c are in r2.
func newHomeBench(t *testing.T, home string, agents ...steer.Agent) *bench {
	b := &bench{WithT: NewWithT(t), now: time.Second}
	b.core = steer.New(steer.Settings{
		DataCentre: "a", Regions: map[string]string{"a": "r1", "b": "r2", "c": "r2"},
		CallerPort: callerPort, Random: rand.New(rand.NewPCG(1, 2)),
	})
	b.core.SetTable(b.now, routing.NewTable(platform.Configuration{
		Version: 1, Services: []platform.Service{{Name: service, ColdRate: 7.5}},
		Routes: []platform.Route{{Name: "r", Face: face, Shares: []platform.Share{{Service: service, Weight: 1}}, AllowedRegions: []string{home}}},
	}), time.Minute)
	b.core.SetTableFresh(true)
	b.last = b.core.SetAgents(b.now, agents, listAge(1))
	b.wait(time.Second)
	return b
}

func TestNewFlowsStayInHomeRegionsOfRoute(t *testing.T) {
	b := newHomeBench(t, "r2", agentAt(1, "a"), agentAt(2, "b"), agentAt(3, "c"))
	b.status(1, inner.Status{Slots: 4})
	b.status(2, inner.Status{Slots: 4, Running: 30})
	b.status(3, inner.Status{Slots: 4, State: inner.StateDraining})
	for n := range 20 {
		b.callerSends(caller(n), platform.FlagSYN, 0)
		b.Expect(b.sent(inner.KindOpen)).To(ConsistOf(address(2, 1)))
	}
	head, _, err := inner.ParseOpen(b.last.Actions[0].Bytes)
	b.Expect(err).NotTo(HaveOccurred())
	b.Expect(head.Cold.Rate).To(BeEquivalentTo(7), "the agent needs the cold rate to limit what its upstream gets")
	b.evacuate(5, "b", "c")
	b.callerSends(caller(30), platform.FlagSYN, 0)
	b.Expect(b.sent(inner.KindOpen)).To(BeEmpty())
	b.Expect(b.notes(steer.KindReset)[0].Reason).To(Equal("service-evacuated"))
}

func TestRouteWithoutAgentInHomeRegionResetsNewFlows(t *testing.T) {
	b := newHomeBench(t, "r3", agentAt(1, "a"))
	b.status(1, inner.Status{Slots: 4})
	b.callerSends(caller(1), platform.FlagSYN, 0)
	b.Expect(b.notes(steer.KindReset)[0].Reason).To(Equal("no-upstream-at-home"))
}

// The warm-up observed at upstreams of a service is used if the configuration has none.
func TestPollsContainObservedWarmUpOfService(t *testing.T) {
	b := newBenchWithout(t, nil)
	b.core.SetTable(b.now, tableRoutedTo(2, service), time.Minute)
	shown := agentAt(1, "a")
	shown.Warmup = 3 * time.Second
	b.last = b.core.SetAgents(b.now, []steer.Agent{shown, agentAt(2, "a")}, listAge(2))
	polls := 0
	for _, a := range b.last.Actions {
		if poll, err := inner.ParsePoll(a.Bytes); err == nil {
			b.Expect(poll.Cold.Warmup).To(Equal(3 * time.Second))
			polls++
		}
	}
	b.Expect(polls).To(Equal(2))
}
