package main

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/exit"
	packetreport "github.com/saltbend/saltbend/internal/packetface/report"
	"github.com/saltbend/saltbend/internal/settings"
)

const packetStatusHelp = `Asks balancers of the packet face at their control addresses, and the seeds that
they know, what they believe: the configuration in force, their list of agents, and
each agent's state and load; with --services the room of each service: free slots,
since when it has been short of room, what is refused, and on how old figures.
Exit code 0: all answered and are ready with one version; 1: one didn't answer or is
not ready; 2: wrong flags; 5: none answered; 6: one has an older configuration.`

type packetStatusCommand struct {
	outputFlags
	Timeout  time.Duration `long:"timeout" env:"SALTBEND_PEER_TIMEOUT" value-name:"DURATION" default:"3s" description:"time for one balancer to answer"`
	Agents   bool          `long:"agents" description:"also show what each balancer believes of each agent"`
	Services bool          `long:"services" description:"also show the room of each service and data centre as each balancer believes"`
	Args     struct {
		Control []settings.Address `positional-arg-name:"IP:PORT" description:"control address of a balancer" required:"1"`
	} `positional-args:"yes"`
}

// balancerView is the JSON form of one balancer.
type balancerView struct {
	Control netip.AddrPort `json:"control"`
	Error   string         `json:"error,omitempty"`
	Late    bool           `json:"late,omitempty"`
	*packetreport.Balancer
}

func (c *packetStatusCommand) run(ctx context.Context, out streams) int {
	first, err := parseAddresses(c.Args.Control)
	if err != nil {
		return fail(out, err, exit.Usage)
	}
	views := c.ask(ctx, first)
	markLate(views)
	if c.json() {
		printJSON(out, views)
	} else {
		printBalancers(out, views)
		if c.Services {
			printServices(out, views)
			printDataCentres(out, views)
		}
		if c.Agents {
			printAgents(out, views)
		}
	}
	return packetStatusCode(views)
}

func parseAddresses(texts []settings.Address) (out []netip.AddrPort, err error) {
	for _, text := range texts {
		addr, err := text.Parse()
		if err != nil {
			return nil, errors.Wrap(err, string(text))
		}
		out = append(out, addr)
	}
	return out, nil
}

// ask queries the balancers and, recursively, the balancers that they list as seeds (other
// balancers that their settings name), each once.
func (c *packetStatusCommand) ask(ctx context.Context, queue []netip.AddrPort) []balancerView {
	views := []balancerView{}
	asked := make(map[netip.AddrPort]bool)
	for len(queue) > 0 {
		control := queue[0]
		queue = queue[1:]
		if asked[control] {
			continue
		}
		asked[control] = true
		view := c.askOne(ctx, control)
		views = append(views, view)
		if view.Balancer != nil {
			queue = append(queue, view.Seeds...)
		}
	}
	return views
}

func (c *packetStatusCommand) askOne(ctx context.Context, control netip.AddrPort) balancerView {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	b, err := packetreport.Fetch(ctx, control)
	if err != nil {
		return balancerView{Control: control, Error: err.Error()}
	}
	return balancerView{Control: control, Balancer: &b}
}

// markLate marks the balancers that have an older configuration than another balancer.
func markLate(views []balancerView) {
	newest := uint64(0)
	for _, v := range views {
		if v.Balancer != nil {
			newest = max(newest, v.Version)
		}
	}
	for i := range views {
		views[i].Late = views[i].Balancer != nil && views[i].Version < newest
	}
}

func printBalancers(out streams, views []balancerView) {
	w := tabwriter.NewWriter(out.out, 0, 0, tablePadding, ' ', 0)
	fmt.Fprintln(w, "CONTROL\tHOST\tDATA CENTRE\tSTATE\tVERSION\tROUTES\tAGENTS\tSUSPECTED\tLIST\tSTORE\tFLOWS\tNOTE")
	for _, v := range views {
		if v.Balancer == nil {
			fmt.Fprintf(w, "%s\t-\t-\t-\t-\t-\t-\t-\t-\t-\t-\t%s\n", v.Control, v.Error)
			continue
		}
		note := balancerNote(v)
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\t%s\t%s\t%d\t%s\n", v.Control, dash(v.Host), v.DataCentre,
			readiness(v.Balancer), v.Version, v.Routes, len(v.Balancer.Agents), countSuspected(v.Balancer), formatList(v.Balancer),
			formatAge(v.StoreAgeMS), v.Flows, dash(note))
	}
	w.Flush()
}

// balancerNote returns the NOTE column of a balancer: an older configuration, data centres
// under evacuation, an era of the store that has not settled yet (the store was restored
// from a copy, and lost data may still be written again), services that are short of room,
// and whether the balancer receives changes of the store through another balancer or passes
// them on to others.
func balancerNote(v balancerView) string {
	var notes []string
	if v.Late {
		notes = append(notes, "older configuration")
	}
	for _, e := range v.Evacuations {
		age := time.Duration(e.KnownForMS) * time.Millisecond
		notes = append(notes, fmt.Sprintf("%s evacuated at %s, known for %s", e.DataCentre, e.At, age))
	}
	if v.Settling {
		notes = append(notes, fmt.Sprintf("settling in era %d", v.Era))
	}
	notes = append(notes, shortServices(v.Balancer)...)
	if v.ListensTo != "" {
		notes = append(notes, "listens to "+v.ListensTo)
	}
	if v.Listeners > 0 {
		notes = append(notes, fmt.Sprintf("%d listen to it", v.Listeners))
	}
	return strings.Join(notes, ", ")
}

func printAgents(out streams, views []balancerView) {
	w := tabwriter.NewWriter(out.out, 0, 0, tablePadding, ' ', 0)
	fmt.Fprintln(w, "BALANCER\tAGENT\tDATA CENTRE\tSERVICE\tSTATE\tRUNNING\tSLOTS\tFLOWS\tHEARD\tWAIT\tIN USE\tSERVICE TIMES\tLOAD\tBAR\tNOTE")
	for _, v := range views {
		if v.Balancer == nil {
			continue
		}
		for _, a := range v.Balancer.Agents {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\n", v.Host, a.Address, a.DataCentre, a.Service, a.State,
				a.Running, a.Slots, a.Flows, formatAge(a.HeardAgeMS), formatLoad(a.Load), dash(agentNote(a)))
		}
	}
	w.Flush()
}

func readiness(b *packetreport.Balancer) string {
	switch {
	case b.Stopping:
		return "stopping"
	case b.Ready:
		return "ready"
	}
	return "not ready"
}

func countSuspected(b *packetreport.Balancer) (n int) {
	for _, a := range b.Agents {
		if a.Suspected {
			n++
		}
	}
	return n
}

// formatList returns the store's position of the list of agents, and the newer position
// that agents have reported, if there is one.
func formatList(b *packetreport.Balancer) string {
	if b.ListOutdated {
		return fmt.Sprintf("%s, outdated by %s", b.ListAsOf, b.ListHeard)
	}
	return b.ListAsOf
}

func formatAge(ms int64) string {
	if ms == packetreport.Never {
		return "never"
	}
	return (time.Duration(ms) * time.Millisecond).String() + " ago"
}

func agentNote(a packetreport.Agent) string {
	switch {
	case a.Suspected && a.Unlisted:
		return "silent, not in the store"
	case a.Suspected:
		return "silent"
	case a.Unlisted:
		return "not in the store"
	case a.Evacuated:
		return "evacuated"
	}
	return ""
}

func packetStatusCode(views []balancerView) int {
	answered, late, failed := 0, 0, 0
	for _, v := range views {
		switch {
		case v.Balancer == nil:
			failed++
			continue
		case !v.Ready && !v.Stopping:
			failed++
		case v.Late:
			late++
		}
		answered++
	}
	switch {
	case answered == 0:
		return exit.Unavailable
	case failed > 0:
		return exit.Failure
	case late > 0:
		return exit.Late
	}
	return exit.OK
}
