package main

import (
	"fmt"
	"net/netip"
	"strings"

	"github.com/saltbend/saltbend/internal/apply"
	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/survey"
)

// maxLateShown is the maximum number of late balancers that a progress line lists.
const maxLateShown = 5

// resultView is the JSON form of the result of an apply.
type resultView struct {
	// Verdict is empty after a dry run without findings.
	Verdict  apply.Verdict       `json:"verdict"`
	Base     uint64              `json:"base"`
	Revision uint64              `json:"revision,omitempty"`
	Winner   *storedView         `json:"winner,omitempty"`
	Findings config.Findings     `json:"findings,omitempty"`
	Diff     []config.Difference `json:"diff,omitempty"`
	Error    string              `json:"error,omitempty"`
	InForce  *inForceView        `json:"in_force,omitempty"`
}

// inForceView is the JSON form of the progress of a roll-out.
type inForceView struct {
	Balancers int              `json:"balancers"`
	Done      int              `json:"done"`
	Late      []netip.AddrPort `json:"late"`
}

func viewResult(res apply.Result, rollout *survey.Rollout) resultView {
	v := resultView{Verdict: res.Verdict, Base: res.Base, Revision: res.Revision,
		Winner: viewStored(res.Winner), Findings: res.Findings, Diff: res.Diff}
	if res.Err != nil {
		v.Error = res.Err.Error()
	}
	if rollout != nil {
		v.InForce = &inForceView{Balancers: rollout.Balancers, Done: rollout.Done, Late: append([]netip.AddrPort{}, rollout.Late...)}
	}
	return v
}

// describeRollout describes the progress of a roll-out and lists the late balancers.
func describeRollout(f survey.Rollout) string {
	if f.Balancers == 0 {
		return "no balancer that can be asked"
	}
	text := fmt.Sprintf("%d of %d balancers", f.Done, f.Balancers)
	if len(f.Late) == 0 {
		return text
	}
	names := make([]string, 0, maxLateShown+1)
	for i, addr := range f.Late {
		if i == maxLateShown {
			names = append(names, fmt.Sprintf("and %d more", len(f.Late)-maxLateShown))
			break
		}
		names = append(names, addr.String())
	}
	return text + "; late: " + strings.Join(names, ", ")
}

// print prints the result as text.
func (c *applyCommand) print(out streams, res apply.Result) {
	printDiff(out, res.Diff)
	switch res.Verdict {
	case apply.Refused:
		refuse(out, res.Findings, false)
	case apply.Accepted:
		fmt.Fprintf(out.out, "Accepted as revision %d.\n", res.Revision)
	case apply.Unchanged:
		fmt.Fprintf(out.out, "The store holds this file already, as revision %d.\n", res.Revision)
	case apply.Replaced:
		fmt.Fprintf(out.out, "Accepted as revision %d; since replaced by %s.\n", res.Revision, viewStored(res.Winner))
	case apply.Conflict:
		printConflict(out, res)
	case apply.Unknown:
		fmt.Fprintln(out.err, "It is not known whether the change was accepted. Look with: saltbend get")
	case apply.Unavailable:
		fmt.Fprintf(out.err, "The store was not reached; nothing was written: %v.\n", res.Err)
	default:
		fmt.Fprintf(out.out, "Dry run over revision %d; nothing was written.\n", res.Base)
	}
}

func printConflict(out streams, res apply.Result) {
	winner := "another change"
	if res.Winner != nil {
		winner = viewStored(res.Winner).String()
	}
	fmt.Fprintf(out.err, "Not accepted: based on revision %d, but the store holds %s. Nothing was written.\n", res.Base, winner)
	fmt.Fprintln(out.err, "Look at it with saltbend get, merge, and apply again.")
}
