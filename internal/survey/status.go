package survey

import (
	"context"
	"net/netip"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/member"
)

// methodStatus is the net/rpc method that returns the status of a process.
const methodStatus = "Control.Status"

// maxConcurrent is the maximum number of processes that are queried at the same time.
const maxConcurrent = 64

// Answer is a balancer's reply to a status request, or the error if it did not reply.
type Answer struct {
	Status control.Status
	Err    error
}

// Process is the state of one process.
type Process struct {
	Member member.Member
	// Revision is the configuration revision that the process has in force.
	Revision uint64
	// Late is set if another process knows a newer revision and this one is not gone.
	Late bool
	// Answer is the balancer's answer. It is nil for agents: they are not queried, since
	// balancers report their state and revision.
	Answer *Answer
}

// Report is the state of a fleet.
type Report struct {
	// Newest is the highest configuration revision that any process knows.
	Newest    uint64
	Processes []Process
}

// Status returns the state of the fleet: it reads the members (see Members) and queries
// all balancers among them.
func (c Client) Status(ctx context.Context, peers []netip.AddrPort) (Report, error) {
	members, err := c.Members(ctx, peers)
	if err != nil {
		return Report{}, err
	}
	return Summarise(members, c.queryBalancers(ctx, members)), nil
}

// queryBalancers requests the status of each balancer among the members.
func (c Client) queryBalancers(ctx context.Context, members []member.Member) map[netip.AddrPort]Answer {
	answers := make(map[netip.AddrPort]Answer)
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxConcurrent)
	for _, m := range members {
		if m.Role != member.RoleBalancer {
			continue
		}
		group.Go(func() error {
			answer := c.status(ctx, m.Control)
			mu.Lock()
			defer mu.Unlock()
			answers[m.Control] = answer
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	return answers
}

func (c Client) status(ctx context.Context, addr netip.AddrPort) (answer Answer) {
	limited, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	answer.Err = c.Caller.Call(limited, addr, methodStatus, control.StatusArgs{Witnessed: true}, &answer.Status)
	return answer
}

// Summarise combines the list of members with the balancers' answers. It has no side
// effects.
func Summarise(members []member.Member, answers map[netip.AddrPort]Answer) Report {
	known := make(map[netip.AddrPort]member.Member)
	mergeNewest(known, members)
	var report Report
	for _, answer := range answers {
		if answer.Err != nil {
			continue
		}
		mergeNewest(known, []member.Member{answer.Status.Self})
		mergeNewest(known, answer.Status.Witnessed)
		report.Newest = max(report.Newest, answer.Status.Adopted)
	}
	for _, m := range sorted(known) {
		p := Process{Member: m, Revision: m.Revision}
		if answer, ok := answers[m.Control]; ok {
			p.Answer = &answer
			if answer.Err == nil {
				p.Revision = answer.Status.InForce
			}
		}
		report.Newest = max(report.Newest, p.Revision)
		report.Processes = append(report.Processes, p)
	}
	for i, p := range report.Processes {
		report.Processes[i].Late = p.Revision < report.Newest && p.Member.State != member.StateGone
	}
	return report
}

// mergeNewest adds the members to known and keeps the newest record of each. Renewals of
// a record may carry a new revision without a new version of the record, so among records
// of the same incarnation the highest revision is kept.
func mergeNewest(known map[netip.AddrPort]member.Member, members []member.Member) {
	for _, m := range members {
		old, ok := known[m.Control]
		if !ok {
			known[m.Control] = m
			continue
		}
		newer, older := m, old
		if old.Supersedes(m) {
			newer, older = old, m
		}
		if newer.Incarnation == older.Incarnation {
			newer.Revision = max(newer.Revision, older.Revision)
		}
		known[m.Control] = newer
	}
}
