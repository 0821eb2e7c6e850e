package balancer

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/member"
)

// agentsPerService is the number of agents of each service in the benchmark.
const agentsPerService = 7

// BenchmarkCapacityServices measures the cost of updating all services from a
// snapshot in which one agent has changed.
func BenchmarkCapacityServices(b *testing.B) {
	for _, n := range []int{700, 2100, 6300} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			s := fleet(n)
			all := newServices(func(string, serviceState) {})
			all.update(s)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				s = changed(s, i%n)
				all.update(s)
			}
		})
	}
}

// fleet returns a snapshot with n agents, divided into services, and 780 balancers.
func fleet(n int) *control.Snapshot {
	const balancers = 780
	dataCentres := []string{"a", "b", "c", "d"}
	s := &control.Snapshot{Config: &config.Config{}, Self: member.Member{DataCentre: "a"}}
	for i := range n {
		name := fmt.Sprintf("service-%d", i/agentsPerService)
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 4100)
		s.Agents = append(s.Agents, member.Member{
			Control: addr, Data: addr, Service: name, DataCentre: dataCentres[i%len(dataCentres)],
			State: member.StateReady, Weight: 1000, Version: 1,
		})
		if i%agentsPerService == 0 {
			s.Config.Services = append(s.Config.Services, config.Service{Name: name})
		}
	}
	for i := range balancers {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)}), 4100)
		s.Balancers = append(s.Balancers, member.Member{Control: addr, DataCentre: dataCentres[i%len(dataCentres)], State: member.StateReady})
	}
	return s
}

// changed returns the snapshot with a different weight of agent i.
func changed(s *control.Snapshot, i int) *control.Snapshot {
	next := *s
	next.Agents = append([]member.Member(nil), s.Agents...)
	next.Agents[i].Weight = 1250 - next.Agents[i].Weight
	next.Agents[i].Version++
	return &next
}
