package steer_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/routing"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/platform"
)

// tableRoutedTo returns a table with a face that is routed to one service.
func tableRoutedTo(version uint64, to string) *routing.Table {
	return routing.NewTable(platform.Configuration{Version: version, Routes: []platform.Route{
		{Name: "r", Face: face, Shares: []platform.Share{{Service: to, Weight: 1}}, Idempotent: true},
	}})
}

// newBenchOfAge returns a balancer with one agent of each of three services that has
// followed the configuration for the given time.
func newBenchOfAge(t *testing.T, age time.Duration) *bench {
	b := newBench(t)
	b.core = steer.New(steer.Settings{
		DataCentre: "a", CallerPort: callerPort, Random: rand.New(rand.NewPCG(1, 2)), FlowMaxAge: time.Minute,
	})
	agents := []steer.Agent{agentAt(101, "a"), agentAt(102, "a"), agentAt(103, "a")}
	agents[1].Service, agents[2].Service = inner.ServiceID("former"), inner.ServiceID("other")
	b.last = b.core.SetAgents(b.now, agents, listAge(1))
	b.core.SetTable(b.now, tableRoutedTo(1, "former"), time.Minute)
	b.now += age
	return b
}

// searchUnheld sends a packet of an unknown flow and returns the agents that are asked
// for it, each of which answers that it does not hold the flow.
func (b *bench) searchUnheld(id platform.Flow) (asked []netip.AddrPort) {
	b.callerSends(id, platform.FlagACK, 30)
	for range 20 {
		for _, to := range b.sent(inner.KindAsk) {
			asked = append(asked, to)
			b.answer(int(to.Addr().As4()[3]), id, inner.VerdictNone, 1)
			if b.resets() > 0 {
				return asked
			}
		}
		b.now += 5 * time.Millisecond
		b.last = b.core.Tick(b.now)
	}
	return asked
}

// A former service that was removed under a shorter maximum lifetime may still hold flows
// under a longer one.
func TestLongerFlowMaxAgeRestartsRecordOfFormerServices(t *testing.T) {
	b := newBenchOfAge(t, 20*time.Minute)
	b.core.SetTable(b.now, tableRoutedTo(2, service), time.Minute)
	b.now += 4 * time.Minute
	b.last = b.core.Tick(b.now) // removes the former service from the record
	b.core.SetFlowMaxAge(5 * time.Minute)
	b.Expect(b.searchUnheld(caller(1))).To(ContainElement(address(102, 1)))
}

func TestRecentlyStartedBalancerAsksAllAgents(t *testing.T) {
	b := newBenchOfAge(t, time.Minute)
	b.core.SetTable(b.now, tableRoutedTo(2, service), time.Minute)
	b.Expect(b.searchUnheld(caller(1))).To(ConsistOf(address(101, 1), address(102, 1), address(103, 1)))
	b.Expect(b.resets()).To(Equal(1))
}

// The cost of a search does not grow with the fleet: once the balancer knows all services
// that a face has been routed to, it asks only their agents.
func TestBalancerWithCompleteRecordAsksServicesOfFace(t *testing.T) {
	b := newBenchOfAge(t, 4*time.Minute)
	b.core.SetTable(b.now, tableRoutedTo(2, service), time.Minute)
	b.now += time.Minute
	b.Expect(b.searchUnheld(caller(1))).To(Equal([]netip.AddrPort{address(101, 1), address(102, 1)}))
	b.Expect(b.resets()).To(Equal(1))

	b.now += 4 * time.Minute // no flow of the former service can be left
	b.last = b.core.Tick(b.now)
	b.Expect(b.searchUnheld(caller(2))).To(Equal([]netip.AddrPort{address(101, 1)}))
	b.Expect(b.resets()).To(Equal(1))
}

// The flows of a removed route are held by the services that it had.
func TestFlowOfRemovedRouteIsSearchedAtFormerServices(t *testing.T) {
	b := newBenchOfAge(t, 4*time.Minute)
	b.core.SetTable(b.now, routing.NewTable(platform.Configuration{Version: 2}), time.Minute)
	b.Expect(b.searchUnheld(caller(1))).To(Equal([]netip.AddrPort{address(102, 1)}))
}

// Many agents of other services neither delay a reset nor are asked.
func TestResetInLargeFleetAsksOnlyServicesOfFace(t *testing.T) {
	g := NewWithT(t)
	b := newBenchOfAge(t, 0)
	b.now += 4 * time.Minute
	agents := []steer.Agent{agentAt(102, "a")}
	agents[0].Service = inner.ServiceID("former")
	for n := range 2000 {
		other := agentAt(1000+n, "a")
		other.Service = inner.ServiceID("other")
		agents = append(agents, other)
	}
	b.last = b.core.SetAgents(b.now, agents, listAge(1))
	b.now += time.Second
	g.Expect(b.searchUnheld(caller(1))).To(Equal([]netip.AddrPort{address(102, 1)}))
	g.Expect(b.resets()).To(Equal(1))
}
