package main

import (
	"fmt"
	"text/tabwriter"

	"github.com/saltbend/saltbend/internal/config"
)

// fleetLabel is shown in place of a service for differences that concern the whole fleet.
const fleetLabel = "(fleet)"

func printDiff(out streams, diff []config.Difference) {
	if len(diff) == 0 {
		return
	}
	w := tabwriter.NewWriter(out.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CHANGE\tSERVICE\tFIELD\tOLD\tNEW")
	for _, d := range diff {
		service := d.Service
		if service == "" {
			service = fleetLabel
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", d.Op, service, dash(d.Field), dash(d.Old), dash(d.New))
	}
	w.Flush()
}

// dash returns "-" for an empty cell of a table.
func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
