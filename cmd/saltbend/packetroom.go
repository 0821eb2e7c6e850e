package main

import (
	"fmt"
	"math"
	"strings"
	"text/tabwriter"
	"time"

	packetreport "github.com/saltbend/saltbend/internal/packetface/report"
)

// printServices prints the room of each service as each balancer knows it.
func printServices(out streams, views []balancerView) {
	w := tabwriter.NewWriter(out.out, 0, 0, tablePadding, ' ', 0)
	fmt.Fprintln(w, "BALANCER\tSERVICE\tAGENTS\tRECENT\tFREE SLOTS\tSHORT\tREFUSED\tWAIT\tFIGURES\tBAR")
	for _, v := range views {
		if v.Balancer == nil {
			continue
		}
		for _, s := range v.Services {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d of %d\t%s\t%s\t%s\t%s\t%s\n", v.Host, s.Service, s.Agents, s.Recent, s.FreeSlots, s.Slots,
				shortage(s), formatShare(s.RefusedShare), formatRange(s.ShortestWaitMS, s.LongestWaitMS),
				formatRange(s.NewestAgeMS, s.OldestAgeMS)+" ago", s.Bar)
		}
	}
	w.Flush()
}

// printDataCentres prints the room in each data centre as each balancer knows it.
func printDataCentres(out streams, views []balancerView) {
	w := tabwriter.NewWriter(out.out, 0, 0, tablePadding, ' ', 0)
	fmt.Fprintln(w, "BALANCER\tDATA CENTRE\tAGENTS\tFREE SLOTS\tIN USE")
	for _, v := range views {
		if v.Balancer == nil {
			continue
		}
		for _, d := range v.DataCentres {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d of %d\t%s\n", v.Host, d.DataCentre, d.Agents, d.FreeSlots, d.Slots, formatShare(d.Utilization))
		}
	}
	w.Flush()
}

// shortage says since when a service has been short of room.
func shortage(s packetreport.Service) string {
	if !s.Short {
		return "no"
	}
	return "for " + (time.Duration(s.ShortForMS) * time.Millisecond).Round(time.Second/10).String()
}

// shortServices returns a note on each service that is short of room.
func shortServices(b *packetreport.Balancer) (notes []string) {
	for _, s := range b.Services {
		if s.Short {
			notes = append(notes, fmt.Sprintf("%s short of room %s", s.Service, shortage(s)))
		}
	}
	return notes
}

// formatLoad returns the columns on the load of an agent: the expected wait, the share of
// the slots in use, service times, the age of the figures, and the bar.
func formatLoad(l *packetreport.Load) string {
	if l == nil {
		return "-\t-\t-\t-\t-"
	}
	var times []string
	for _, t := range l.ServiceTimes {
		times = append(times, fmt.Sprintf("priority %d %sms", t.Priority, formatMillis(t.MeanMS)))
	}
	return fmt.Sprintf("%dms\t%s\t%s\t%s\t%s", l.WaitMS, formatShare(l.Utilization), dash(strings.Join(times, ", ")), formatAge(l.AgeMS), l.Bar)
}

// formatMillis rounds milliseconds to tenths.
func formatMillis(ms float64) string { return fmt.Sprintf("%.1f", ms) }

// formatShare returns a share in per cent; one that is not 0 does not appear as 0.
func formatShare(share float64) string {
	if share > 0 && share < 0.005 {
		return "<1%"
	}
	return fmt.Sprintf("%.0f%%", math.Min(share, 1)*100)
}

// formatRange returns two times in milliseconds, or one if they are equal.
func formatRange(least, most int64) string {
	shortest, longest := time.Duration(least)*time.Millisecond, time.Duration(most)*time.Millisecond
	if least == most {
		return shortest.String()
	}
	return shortest.String() + " to " + longest.String()
}
