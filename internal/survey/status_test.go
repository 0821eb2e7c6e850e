package survey_test

import (
	"context"
	"fmt"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/survey"
)

func addr(port int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("192.0.2.1:%d", port))
}

func balancer(port int, revision uint64) member.Member {
	return member.Member{Control: addr(port), Role: member.RoleBalancer, Incarnation: 1, State: member.StateReady, Revision: revision}
}

func agent(port int, revision uint64) member.Member {
	m := balancer(port, revision)
	m.Role, m.Service = member.RoleAgent, "results"
	return m
}

func TestSummariseMarksProcessesBehindTheNewestRevisionAsLate(t *testing.T) {
	g := NewWithT(t)
	members := []member.Member{balancer(1, 5), balancer(2, 4), balancer(3, 4), agent(11, 4), agent(12, 4)}
	answers := map[netip.AddrPort]survey.Answer{
		addr(1): {Status: control.Status{Self: balancer(1, 5), Adopted: 6, InForce: 5, Witnessed: []member.Member{agent(11, 6)}}},
		addr(2): {Status: control.Status{Self: balancer(2, 6), Adopted: 6, InForce: 6, Witnessed: []member.Member{agent(12, 5)}}},
		addr(3): {Err: errors.New("no answer")},
	}
	report := survey.Summarise(members, answers)
	g.Expect(report.Newest).To(Equal(uint64(6)))
	late := make(map[netip.AddrPort]bool)
	for _, p := range report.Processes {
		late[p.Member.Control] = p.Late
	}
	g.Expect(late).To(Equal(map[netip.AddrPort]bool{addr(1): true, addr(2): false, addr(3): true, addr(11): false, addr(12): true}))
}

func TestSummariseDoesNotDependOnTheOrderOfRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []member.Member
		for range rapid.IntRange(0, 12).Draw(t, "records") {
			m := agent(rapid.IntRange(1, 3).Draw(t, "port"), rapid.Uint64Range(0, 3).Draw(t, "revision"))
			m.Incarnation = rapid.Uint64Range(1, 2).Draw(t, "incarnation")
			m.Version = rapid.Uint64Range(0, 2).Draw(t, "version")
			m.State = member.StateStarting + member.State(m.Version) // one record per version
			records = append(records, m)
		}
		want := survey.Summarise(records, nil)
		got := survey.Summarise(rapid.Permutation(records).Draw(t, "order"), nil)
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("report of permuted records is %v, want %v", got, want)
		}
	})
}

// fleet answers Control.Members with the members by address of the queried process. A
// process without an entry is unreachable.
type fleet map[netip.AddrPort][]member.Member

func (f fleet) Call(_ context.Context, a netip.AddrPort, _ string, _, reply any) error {
	members, ok := f[a]
	if !ok {
		return errors.New("unreachable")
	}
	*reply.(*[]member.Member) = members
	return nil
}

func TestMembersQueriesABalancerThatAnAgentKnows(t *testing.T) {
	g := NewWithT(t)
	all := []member.Member{balancer(2, 0), balancer(1, 0), agent(11, 0), agent(12, 0)}
	f := fleet{
		addr(11): {agent(11, 0), balancer(1, 0), balancer(2, 0)},
		addr(2):  all,
	}
	client := survey.Client{Caller: f, Timeout: 1}
	members, err := client.Members(context.Background(), []netip.AddrPort{addr(9), addr(11)})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(members).To(ConsistOf(all))
	_, err = client.Members(context.Background(), []netip.AddrPort{addr(9)})
	g.Expect(err).To(MatchError(survey.ErrNoAnswer))
}
