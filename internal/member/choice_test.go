package member_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/member"
)

func newBalancers(n int) []member.Member {
	out := make([]member.Member, n)
	for i := range out {
		out[i] = member.Member{Control: addr(i), Incarnation: 1, State: member.StateReady, Role: member.RoleBalancer, DataCentre: "a"}
	}
	return out
}

// A transition that each balancer forwards to its neighbours must reach all
// balancers within ten hops.
func TestNeighboursReachAllBalancers(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 7, 60, 780} {
		all := newBalancers(n)
		candidates := member.NewCandidates(all)
		hops := map[int]int{0: 0}
		queue := []int{0}
		deepest := 0
		for len(queue) > 0 {
			at := queue[0]
			queue = queue[1:]
			for _, next := range candidates.Neighbours(addr(at), 4) {
				i := int(next.Addr().As4()[2])<<8 | int(next.Addr().As4()[3])
				if _, seen := hops[i]; seen {
					continue
				}
				hops[i] = hops[at] + 1
				deepest = max(deepest, hops[i])
				queue = append(queue, i)
			}
		}
		if len(hops) != n || deepest > 10 {
			t.Errorf("%d balancers: %d reached, in up to %d hops; want all within 10", n, len(hops), deepest)
		}
	}
}

func TestRemovedCandidateMovesOnlyItsOwnKeys(t *testing.T) {
	all := newBalancers(50)
	full, fewer := member.NewCandidates(all), member.NewCandidates(all[1:])
	load := make(map[netip.AddrPort]int)
	const keys = 3000
	for i := range keys {
		key := addr(1000 + i)
		after := fewer.Choose(key, member.Witnesses, nil)
		for _, w := range full.Choose(key, member.Witnesses, nil) {
			load[w]++
			if w != all[0].Control && !slices.Contains(after, w) {
				t.Fatalf("key %v lost witness %v, which is still a candidate", key, w)
			}
		}
	}
	mean := keys * member.Witnesses / len(all)
	for w, n := range load {
		if n < mean/2 || n > 2*mean {
			t.Errorf("witness %s has %d members, want between half and twice the mean of %d", w, n, mean)
		}
	}
}

// IsChosen is the fast form of Choose and must give the same result.
func TestIsChosenAgreesWithChoose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := newBalancers(rapid.IntRange(1, 30).Draw(t, "candidates"))
		c := member.NewCandidates(all)
		key := addr(rapid.IntRange(0, 60).Draw(t, "key"))
		one := rapid.SampledFrom(all).Draw(t, "one").Control
		want := slices.Contains(c.Choose(key, member.Witnesses, nil), one)
		if got := c.IsChosen(key, member.Witnesses, one); got != want {
			t.Fatalf("key %v, candidate %v: chosen %v, want %v", key, one, got, want)
		}
	})
}

func TestRanksAreDistinctWithinADataCentre(t *testing.T) {
	all := newBalancers(9)
	all[3].DataCentre = "b"
	all[4].State = member.StateDraining
	seen := make(map[int]bool)
	for _, b := range all {
		rank := member.Rank(b, all)
		if b.State != member.StateReady {
			if rank != -1 {
				t.Errorf("draining balancer has rank %d, want -1", rank)
			}
			continue
		}
		if b.DataCentre == "a" && seen[rank] {
			t.Errorf("two balancers have rank %d", rank)
		}
		seen[rank] = seen[rank] || b.DataCentre == "a"
	}
	if len(seen) != 7 {
		t.Errorf("%d distinct ranks, want 7", len(seen))
	}
}

func TestPanicThresholdRetainsUnreachableMembers(t *testing.T) {
	for name, c := range map[string]struct {
		agents, lost int
		evidence     member.Evidence
		age          time.Duration
		retained     bool
	}{
		"one of seven unreachable":             {7, 1, member.Unreachable, time.Minute, false},
		"one of two unreachable":               {2, 1, member.Unreachable, time.Second, false},
		"most unreachable, 1 second ago":       {7, 4, member.Unreachable, time.Second, true},
		"most unreachable, 1 minute ago":       {7, 4, member.Unreachable, time.Minute, false},
		"all unreachable, 1 day ago":           {7, 7, member.Unreachable, 24 * time.Hour, true},
		"all refused":                          {7, 7, member.Refused, time.Second, false},
		"the only one unreachable, 1 hour ago": {1, 1, member.Unreachable, time.Hour, true},
	} {
		t.Run(name, func(t *testing.T) {
			table := member.NewTable(time.Hour)
			for _, b := range newBalancers(20) {
				table.Merge(b, start)
			}
			suspects := member.NewSuspects(table)
			for i := range c.agents {
				m := member.Member{Control: addr(100 + i), Incarnation: 1, State: member.StateReady, Role: member.RoleAgent, Service: "results"}
				table.Merge(m, start)
				if i < c.lost {
					suspects.Add(member.Suspicion{Control: m.Control, Incarnation: 1, Witness: addr(0), Evidence: c.evidence}, start)
				}
			}
			verdicts := suspects.Verdicts()
			if got := member.NewPanic(table, verdicts).Retains(verdicts[0], start.Add(c.age)); got != c.retained {
				t.Errorf("retained: %v, want %v", got, c.retained)
			}
		})
	}
}

func TestRequiredWitnesses(t *testing.T) {
	for name, c := range map[string]struct {
		balancers, silent int
		evidence          member.Evidence
		age               time.Duration
		want              int
	}{
		"five balancers":                   {5, 0, 0, 0, 2},
		"one other balancer":               {2, 0, 0, 0, 1},
		"two others, one refuses":          {3, 1, member.Refused, 0, 1},
		"two others, one just unreachable": {3, 1, member.Unreachable, 0, 2},
		"two others, one long unreachable": {3, 1, member.Unreachable, time.Hour, 1},
		"all others refuse":                {4, 3, member.Refused, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			table := member.NewTable(time.Hour)
			all := newBalancers(c.balancers)
			var verdicts []member.Verdict
			for i, b := range all {
				table.Merge(b, start)
				if i > 0 && i <= c.silent {
					verdicts = append(verdicts, member.Verdict{Member: b, Evidence: c.evidence, Since: start})
				}
			}
			if got := member.RequiredWitnesses(table, verdicts, all[len(all)-1], start.Add(c.age)); got != c.want {
				t.Errorf("%d witnesses required, want %d", got, c.want)
			}
		})
	}
}
