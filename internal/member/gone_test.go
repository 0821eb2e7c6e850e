package member_test

import (
	"slices"
	"testing"
	"time"

	"github.com/saltbend/saltbend/internal/member"
)

func TestGoneAgentsAreListedNewestFirst(t *testing.T) {
	table := member.NewTable(time.Hour)
	merge := func(i int, role member.Role, incarnation, version uint64, state member.State, after time.Duration) {
		table.Merge(member.Member{
			Control: addr(i), Role: role, Incarnation: incarnation, Version: version, State: state,
		}, start.Add(after))
	}
	agent, gone := member.RoleAgent, member.StateGone
	merge(1, agent, 1, 1, gone, 0)
	merge(2, agent, 1, 1, gone, time.Second)
	merge(3, agent, 1, 1, gone, 2*time.Second)
	merge(4, member.RoleBalancer, 1, 1, gone, 3*time.Second)
	merge(5, agent, 1, 1, member.StateReady, 3*time.Second)
	merge(2, agent, 1, 2, member.StateReady, 4*time.Second) // refutes that it is gone
	merge(3, agent, 2, 1, member.StateReady, 4*time.Second) // a new process at the same address
	for _, tc := range []struct {
		since time.Duration
		want  []int
	}{{-1, []int{3, 1}}, {0, []int{3}}, {2 * time.Second, nil}} {
		var want []member.Member
		for _, i := range tc.want {
			want = append(want, member.Member{Control: addr(i), Role: agent, Incarnation: 1, Version: 1, State: gone})
		}
		if got := table.GoneAgents(start.Add(tc.since)); !slices.Equal(got, want) {
			t.Errorf("gone since %v: %v, want %v", tc.since, got, want)
		}
	}
}

func TestGoneAgentsAreBounded(t *testing.T) {
	table := member.NewTable(time.Hour)
	const last = 3*member.MaxGone - 1
	for i := range last + 1 {
		table.Merge(member.Member{Control: addr(i), Role: member.RoleAgent, State: member.StateGone}, start)
	}
	got := table.GoneAgents(start.Add(-1))
	if len(got) > member.MaxGone || len(got) < member.MaxGone/2 || got[0].Control != addr(last) {
		t.Errorf("%d gone agents, the newest is %v", len(got), got[0].Control)
	}
}
