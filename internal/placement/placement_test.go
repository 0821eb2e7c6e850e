package placement_test

import (
	"fmt"
	"math"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/placement"
)

func address(n, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), uint16(port))
}

func agent(n int, dataCentre string, state member.State, weight int) member.Member {
	return member.Member{
		Control: address(n, 1), Data: address(n, 2), Role: member.RoleAgent,
		DataCentre: dataCentre, State: state, Weight: weight,
	}
}

func balancers(dataCentres ...string) []member.Member {
	var out []member.Member
	for i, d := range dataCentres {
		out = append(out, member.Member{
			Control: address(100+i, 1), Role: member.RoleBalancer, DataCentre: d, State: member.StateReady,
		})
	}
	return out
}

// countChoices counts how many of n keys are placed at each agent.
func countChoices(s *placement.Set, n int) map[netip.AddrPort]int {
	counts := make(map[netip.AddrPort]int)
	for k := range n {
		if a, ok := s.Choose(uint64(k) * 0xD1342543DE82EF95); ok {
			counts[a]++
		}
	}
	return counts
}

// expectShare checks that a count is within five standard deviations of the mean
// of a binomial distribution. The keys are fixed, so the result is deterministic.
func expectShare(g Gomega, count, n int, p float64, what string) {
	mean := float64(n) * p
	slack := 5*math.Sqrt(mean*(1-p)) + 1
	g.ExpectWithOffset(1, float64(count)).To(BeNumerically("~", mean, slack), what)
}

func TestSharesOfNewFlows(t *testing.T) {
	const n = 20000
	type want map[int]float64 // share by agent number
	for _, tc := range []struct {
		name      string
		balancers []member.Member
		agents    []member.Member
		threshold float64
		want      want
		panics    bool
	}{
		{"nobody", balancers("a"), nil, 0, want{}, false},
		{"weights", balancers("a"), []member.Member{
			agent(1, "a", member.StateReady, 1000), agent(2, "a", member.StateReady, 250),
		}, 0, want{1: 0.8, 2: 0.2}, false},
		{"draining, gone and starting agents get none", balancers("a"), []member.Member{
			agent(1, "a", member.StateReady, 1000), agent(2, "a", member.StateDraining, 1000),
			agent(3, "a", member.StateGone, 1000), agent(4, "a", member.StateStarting, 1000),
		}, 0, want{1: 1}, false},
		{"own data centre has enough capacity", balancers("a", "b"), []member.Member{
			agent(1, "a", member.StateReady, 1000), agent(2, "b", member.StateReady, 1000),
		}, 0, want{1: 1}, false},
		{"own data centre has no ready agent", balancers("a", "b"), []member.Member{
			agent(1, "a", member.StateDraining, 1000), agent(2, "b", member.StateReady, 1000),
			agent(3, "c", member.StateReady, 1000),
		}, 0, want{3: 1}, false},
		{"own data centre has too little capacity", balancers("a", "b"), []member.Member{
			agent(1, "a", member.StateReady, 1000), agent(2, "b", member.StateReady, 1000),
			agent(3, "b", member.StateReady, 1000), agent(4, "b", member.StateReady, 1000),
		}, 0, want{1: 0.5, 2: 0.5 / 3, 3: 0.5 / 3, 4: 0.5 / 3}, false},
		{"balancer missing from its own list", nil, []member.Member{
			agent(1, "a", member.StateReady, 1000), agent(2, "b", member.StateReady, 1000),
		}, 0, want{1: 0.5, 2: 0.5}, false},
		{"all ready agents have weight 0", balancers("a"), []member.Member{
			agent(1, "a", member.StateStarting, 1000), agent(2, "a", member.StateReady, 0),
			agent(3, "a", member.StateReady, 0),
		}, 0, want{2: 0.5, 3: 0.5}, true},
		{"healthy agents below the threshold", balancers("a"), []member.Member{
			agent(1, "a", member.StateReady, 1000), agent(2, "a", member.StateReady, 0),
			agent(3, "a", member.StateReady, 0), agent(4, "a", member.StateStarting, 1000),
		}, 0.5, want{1: 1. / 3, 2: 1. / 3, 3: 1. / 3}, true},
		{"healthy agents at the threshold", balancers("a"), []member.Member{
			agent(1, "a", member.StateReady, 1000), agent(2, "a", member.StateReady, 0),
			agent(3, "a", member.StateStarting, 1000),
		}, 0.5, want{1: 1}, false},
		{"no agent is ready", balancers("a"), []member.Member{
			agent(1, "a", member.StateStarting, 0), agent(2, "a", member.StateStarting, 1000),
			agent(3, "a", member.StateDraining, 1000),
		}, 0.5, want{1: 0.5, 2: 0.5}, true},
		{"all agents are draining", balancers("a"), []member.Member{agent(1, "a", member.StateDraining, 1000)}, 0.5, want{}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			s := placement.NewSet(placement.NewLocality("a", tc.balancers), tc.agents, tc.threshold)
			g.Expect(s.Panics()).To(Equal(tc.panics))
			g.Expect(s.Len()).To(Equal(len(tc.want)))
			counts := countChoices(s, n)
			for i := range tc.agents {
				expectShare(g, counts[tc.agents[i].Data], n, tc.want[i+1], fmt.Sprintf("agent %d", i+1))
			}
		})
	}
}

// For any distribution of balancers and agents over data centres, each agent must
// get a share of all flows in proportion to its weight.
func TestCombinedSharesOfAllBalancersMatchWeights(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		names := []string{"a", "b", "c"}
		dataCentres := rapid.SliceOfN(rapid.SampledFrom(names), 1, 6).Draw(t, "balancers")
		var agents []member.Member
		total := 0
		for i, d := range rapid.SliceOfN(rapid.SampledFrom(names), 1, 8).Draw(t, "agents") {
			w := rapid.IntRange(1, 4).Draw(t, "weight") * 250
			agents = append(agents, agent(i+1, d, member.StateReady, w))
			total += w
		}
		const keysPerBalancer = 4000
		fleet := balancers(dataCentres...)
		sum := make(map[netip.AddrPort]int)
		for _, home := range dataCentres {
			for a, c := range countChoices(placement.NewSet(placement.NewLocality(home, fleet), agents, 0), keysPerBalancer) {
				sum[a] += c
			}
		}
		// All balancers place the same keys, so their samples are not independent:
		// the tolerance is that of one balancer's sample.
		for _, a := range agents {
			p := float64(a.Weight) / float64(total)
			got := float64(sum[a.Data]) / float64(keysPerBalancer*len(dataCentres))
			g.Expect(got).To(BeNumerically("~", p, 6*math.Sqrt(p*(1-p)/keysPerBalancer)+0.005))
		}
	})
}

// Within one data centre, draining one agent must move only the flows of that
// agent.
func TestDrainingAnAgentMovesOnlyItsFlows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		n := rapid.IntRange(2, 9).Draw(t, "agents")
		var agents []member.Member
		for i := range n {
			agents = append(agents, agent(i+1, "a", member.StateReady, rapid.IntRange(1, 1000).Draw(t, "weight")))
		}
		victim := rapid.IntRange(0, n-1).Draw(t, "victim")
		changed := append([]member.Member(nil), agents...)
		changed[victim].State = member.StateDraining
		at := placement.NewLocality("a", balancers("a"))
		before, after := placement.NewSet(at, agents, 0), placement.NewSet(at, changed, 0)
		for range 200 {
			key := rapid.Uint64().Draw(t, "key")
			was, _ := before.Choose(key)
			is, ok := after.Choose(key)
			g.Expect(ok).To(BeTrue())
			if was != agents[victim].Data {
				g.Expect(is).To(Equal(was))
			} else {
				g.Expect(is).NotTo(Equal(was))
			}
		}
	})
}

func TestChooseDoesNotAllocate(t *testing.T) {
	var agents []member.Member
	for i := range 7 {
		agents = append(agents, agent(i+1, "a", member.StateReady, 1000))
	}
	s := placement.NewSet(placement.NewLocality("a", balancers("a")), agents, 0)
	key := uint64(0)
	NewWithT(t).Expect(testing.AllocsPerRun(100, func() { key++; s.Choose(key) })).To(BeZero())
}
