package main

import (
	"context"
	"fmt"
	"net/netip"
	"text/tabwriter"
	"time"

	"github.com/saltbend/saltbend/internal/exit"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/survey"
)

const statusHelp = `Shows the members of the fleet, the configuration revision in force at each, who is
late, which balancers hold a lease in the store and how the store answered them.
Exit code 0: all balancers answered and none is late; 1: a balancer didn't answer;
2: wrong flags; 5: no process answered; 6: a process is late.`

type statusCommand struct {
	outputFlags
	peerFlags
}

// statusView is the JSON form of a status.
type statusView struct {
	Revision  uint64        `json:"revision"`
	Processes []processView `json:"processes"`
}

// processView is the JSON form of one process.
type processView struct {
	Control    netip.AddrPort `json:"control"`
	Ops        netip.AddrPort `json:"ops"`
	Role       string         `json:"role"`
	DataCentre string         `json:"data_centre"`
	Service    string         `json:"service,omitempty"`
	State      string         `json:"state"`
	Revision   uint64         `json:"revision"`
	Late       bool           `json:"late"`
	Seed       bool           `json:"seed,omitempty"`
	Suspected  int            `json:"suspected,omitempty"`
	Store      string         `json:"store,omitempty"`
	Error      string         `json:"error,omitempty"`
}

// States of the store as a balancer reports them.
const (
	storeNone        = "none"
	storeReachable   = "reachable"
	storeUnreachable = "unreachable"
	storeNotAsked    = "not asked"
)

func (c *statusCommand) run(ctx context.Context, out streams) int {
	access, err := c.open()
	if err != nil {
		return fail(out, err, exit.Usage)
	}
	defer access.caller.Close()
	report, err := access.client.Status(ctx, access.peers)
	if err != nil {
		return fail(out, err, exit.Unavailable)
	}
	view := statusView{Revision: report.Newest, Processes: []processView{}}
	for _, p := range report.Processes {
		view.Processes = append(view.Processes, viewProcess(p))
	}
	if c.json() {
		printJSON(out, view)
	} else {
		printStatus(out, view)
	}
	return statusCode(view)
}

func viewProcess(p survey.Process) processView {
	m := p.Member
	v := processView{
		Control: m.Control, Ops: m.Ops, Role: "balancer", DataCentre: m.DataCentre, Service: m.Service,
		State: m.State.String(), Revision: p.Revision, Late: p.Late,
	}
	if m.Role == member.RoleAgent {
		v.Role = "agent"
	}
	switch {
	case p.Answer == nil:
	case p.Answer.Err != nil:
		v.Error = p.Answer.Err.Error()
	default:
		s := p.Answer.Status
		v.Seed, v.Suspected = s.Seed, s.Suspected
		v.Store = formatStoreState(s.Store.Configured, s.Store.Reachable, s.Store.LastContact)
	}
	return v
}

func formatStoreState(configured, reachable bool, contact time.Time) string {
	switch {
	case !configured:
		return storeNone
	case reachable:
		return storeReachable
	case contact.IsZero():
		return storeNotAsked
	}
	return storeUnreachable + " since " + contact.UTC().Format(time.RFC3339)
}

func printStatus(out streams, view statusView) {
	late := 0
	w := tabwriter.NewWriter(out.out, 0, 0, tablePadding, ' ', 0)
	fmt.Fprintln(w, "CONTROL\tROLE\tDATA CENTRE\tSERVICE\tSTATE\tREVISION\tSEED\tSTORE\tNOTE")
	for _, p := range view.Processes {
		note := ""
		if p.Late {
			late++
			note = "late"
		}
		if p.Error != "" {
			note = "no answer: " + p.Error
		}
		seed := ""
		if p.Seed {
			seed = "yes"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\n", p.Control, p.Role, dash(p.DataCentre),
			dash(p.Service), p.State, p.Revision, dash(seed), dash(p.Store), dash(note))
	}
	w.Flush()
	if view.Revision == 0 {
		fmt.Fprintln(out.out, "No process that answered knows a configuration.")
		return
	}
	fmt.Fprintf(out.out, "Revision %d is in force at %d of %d processes.\n", view.Revision, len(view.Processes)-late, len(view.Processes))
}

func statusCode(view statusView) int {
	code := exit.OK
	for _, p := range view.Processes {
		if p.Error != "" {
			return exit.Failure
		}
		if p.Late {
			code = exit.Late
		}
	}
	return code
}
