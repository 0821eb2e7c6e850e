package survey

import (
	"context"
	"net/netip"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/member"
)

// methodStatus is the method that tells what a process knows and does.
const methodStatus = "Control.Status"

// atOnce bounds the processes that are asked at the same time.
const atOnce = 64

// Answer is what a balancer said about itself, or why it didn't.
type Answer struct {
	Status control.Status
	Err    error
}

// Process is what the survey found out about one process.
type Process struct {
	Member member.Member
	// Revision is the configuration revision in force there, Late tells that a
	// newer one is known somewhere.
	Revision uint64
	Late     bool
	// Answer is what a balancer said; agents aren't asked, balancers know them.
	Answer *Answer
}

// Report is the state of a fleet.
type Report struct {
	// Newest is the newest configuration revision that any process knows.
	Newest    uint64
	Processes []Process
}

// Status asks all balancers that the first ones to answer know.
func (a Asker) Status(ctx context.Context, first []netip.AddrPort) (Report, error) {
	members, err := a.Members(ctx, first)
	if err != nil {
		return Report{}, err
	}
	return Summarise(members, a.ask(ctx, members)), nil
}

// ask asks each balancer for its status.
func (a Asker) ask(ctx context.Context, members []member.Member) map[netip.AddrPort]Answer {
	answers := make(map[netip.AddrPort]Answer)
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(atOnce)
	for _, m := range members {
		if m.Role != member.RoleBalancer {
			continue
		}
		group.Go(func() error {
			answer := a.status(ctx, m.Control)
			mu.Lock()
			defer mu.Unlock()
			answers[m.Control] = answer
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	return answers
}

func (a Asker) status(ctx context.Context, addr netip.AddrPort) (answer Answer) {
	limited, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	answer.Err = a.Caller.Call(limited, addr, methodStatus, control.StatusArgs{Witnessed: true}, &answer.Status)
	return answer
}

// Summarise puts together what the members' list and the balancers say. It is
// pure.
func Summarise(members []member.Member, answers map[netip.AddrPort]Answer) Report {
	known := make(map[netip.AddrPort]member.Member)
	learn(known, members)
	var report Report
	for _, answer := range answers {
		if answer.Err != nil {
			continue
		}
		learn(known, []member.Member{answer.Status.Self})
		learn(known, answer.Status.Witnessed)
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

// learn keeps the newest record of each member. A revision comes with renewals
// and without a new version of the record, so the highest of one incarnation
// counts.
func learn(known map[netip.AddrPort]member.Member, members []member.Member) {
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
