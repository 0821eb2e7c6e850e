package main

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/saltbend/saltbend/internal/event"
	"github.com/saltbend/saltbend/internal/timeline"
)

// Format of the tables.
const (
	timeFormat    = "2006-01-02 15:04:05.000000"
	skewPrecision = 10 * time.Microsecond
	tablePadding  = 2
)

// entryView is the JSON form of one event of the timeline.
type entryView struct {
	Time    time.Time  `json:"time"`
	SkewNS  int64      `json:"skew_ns"`
	Unsure  bool       `json:"unsure,omitempty"`
	Process string     `json:"process"`
	Seq     uint64     `json:"seq"`
	Lost    uint64     `json:"lost,omitempty"`
	Part    string     `json:"part"`
	Kind    event.Kind `json:"kind"`
	Detail  string     `json:"detail,omitempty"`
}

// printEntriesJSON prints one JSON object per line.
func printEntriesJSON(out streams, entries []timeline.Entry) {
	enc := json.NewEncoder(out.out)
	for _, e := range entries {
		view := entryView{
			Time: e.At.UTC(), SkewNS: int64(e.Skew), Unsure: e.Unsure, Process: e.Process, Seq: e.Seq,
			Lost: e.Lost, Part: e.Part, Kind: e.Kind, Detail: e.Detail,
		}
		if err := enc.Encode(view); err != nil {
			fmt.Fprintln(out.err, err)
			return
		}
	}
}

// printEntries prints a table. With --follow it is called once per round and aligns the
// columns of each round separately.
func printEntries(out streams, entries []timeline.Entry, header bool) {
	w := tabwriter.NewWriter(out.out, 0, 0, tablePadding, ' ', 0)
	if header {
		fmt.Fprintln(w, "  TIME (UTC)\tERROR\tPROCESS\tPART\tEVENT\tDETAIL")
	}
	for _, e := range entries {
		if e.Lost > 0 {
			fmt.Fprintf(w, "  \t\t%s\t\t(%d events before are no longer kept)\t\n", e.Process, e.Lost)
		}
		fmt.Fprintf(w, "%s %s\t±%v\t%s\t%s\t%s\t%s\n", orderMark(e), e.At.UTC().Format(timeFormat),
			e.Skew.Round(skewPrecision), e.Process, e.Part, e.Kind, dash(e.Detail))
	}
	w.Flush()
}

// orderMark returns "~" if the previous entry may have happened after this one.
func orderMark(e timeline.Entry) string {
	if e.Unsure {
		return "~"
	}
	return " "
}
