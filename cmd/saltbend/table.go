package main

import (
	"fmt"
	"text/tabwriter"

	"github.com/saltbend/saltbend/internal/config"
)

// fleet stands in the table for what concerns no single service.
const fleet = "(fleet)"

func printDiff(out std, diff []config.Difference) {
	if len(diff) == 0 {
		return
	}
	w := tabwriter.NewWriter(out.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CHANGE\tSERVICE\tFIELD\tOLD\tNEW")
	for _, d := range diff {
		service := d.Service
		if service == "" {
			service = fleet
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", d.Op, service, dash(d.Field), dash(d.Old), dash(d.New))
	}
	w.Flush()
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
