// Package dayplot plots the outcomes of requests over the time of a test run, with the
// injected faults marked, into one HTML file. Its input are reports of this project's soak
// test or of a day on the users' test bench.
package dayplot

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// Day is the report of one run: a day on the bench or one seed of the soak test.
type Day struct {
	Title string
	// Step is the length of a window.
	Step    time.Duration
	Windows []Window
	Marks   []Mark
	// Findings are the rules that the run has violated.
	Findings []string
}

// Window counts the requests of one time window by their outcome.
type Window struct {
	// At is the start of the window, counted from the start of the load.
	At time.Duration
	// Served requests were answered in time, Late ones after their time, Refused ones
	// were rejected at once, and Failed ones got no answer.
	Served, Late, Refused, Failed int
}

// Mark is the time span of a fault or of planned work.
type Mark struct {
	From, To time.Duration
	Label    string
}

// ErrReport is returned for a text that is not a report.
var ErrReport = errors.New("dayplot: not a report of a soak or a bench day")

// maxLineBytes is the maximum length of one soak report, which is one line.
const maxLineBytes = 8 << 20

// Read reads the report of one bench day, or soak reports, one per line.
func Read(name string, in io.Reader) ([]Day, error) {
	text, err := io.ReadAll(in)
	if err != nil {
		return nil, errors.Wrapf(err, "read %s", name)
	}
	if day, ok := benchDay(name, text); ok {
		return []Day{day}, nil
	}
	return soakDays(name, text)
}

// benchJSON holds the used fields of a report of the users' bench.
type benchJSON struct {
	Windows []struct {
		Name    string `json:"name"`
		InAim   int    `json:"in_aim"`
		Late    int    `json:"late"`
		Refused int    `json:"refused"`
		Failed  int    `json:"failed"`
	} `json:"windows"`
	Events []struct {
		AtS  float64 `json:"at_s"`
		ToS  float64 `json:"to_s"`
		Kind string  `json:"kind"`
		What string  `json:"what"`
	} `json:"events"`
	Breaks map[string]any `json:"breaks"`
}

// benchDay parses the report of a bench day; ok is false if the text is not one.
func benchDay(name string, text []byte) (day Day, ok bool) {
	var raw benchJSON
	if err := json.Unmarshal(text, &raw); err != nil || len(raw.Windows) < 2 {
		return Day{}, false
	}
	day.Title = name
	for _, w := range raw.Windows {
		at, err := strconv.ParseFloat(w.Name, 64)
		if err != nil {
			return Day{}, false
		}
		day.Windows = append(day.Windows, Window{At: seconds(at), Served: w.InAim, Late: w.Late, Refused: w.Refused, Failed: w.Failed})
	}
	day.Step = day.Windows[1].At - day.Windows[0].At
	for _, e := range raw.Events {
		day.Marks = append(day.Marks, Mark{From: seconds(e.AtS), To: seconds(e.ToS), Label: e.Kind + " " + e.What})
	}
	for rule, what := range raw.Breaks {
		day.Findings = append(day.Findings, fmt.Sprintf("%s: %v", rule, what))
	}
	return day, true
}

// soakJSON holds the used fields of a soak report.
type soakJSON struct {
	Seed   *uint64
	Faults []struct {
		At, For time.Duration
		Kind    string
		Target  int
	}
	Seconds []struct {
		Answered, Late, Reset, TimedOut int
	}
	Findings, Late []string
}

// soakDays parses soak reports, one per line.
func soakDays(name string, text []byte) (days []Day, err error) {
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		var raw soakJSON
		if err := json.Unmarshal(lines.Bytes(), &raw); err != nil || raw.Seed == nil {
			return nil, errors.Wrapf(ErrReport, "%s:%d", name, n)
		}
		days = append(days, soakDay(&raw))
	}
	if err := lines.Err(); err != nil {
		return nil, errors.Wrapf(err, "read %s", name)
	}
	if len(days) == 0 {
		return nil, errors.Wrap(ErrReport, name)
	}
	return days, nil
}

func soakDay(raw *soakJSON) Day {
	day := Day{Title: fmt.Sprintf("seed %d", *raw.Seed), Step: time.Second, Findings: append(raw.Findings, raw.Late...)}
	for at, s := range raw.Seconds {
		day.Windows = append(day.Windows, Window{
			At: time.Duration(at) * time.Second, Served: s.Answered - s.Late, Late: s.Late, Refused: s.Reset, Failed: s.TimedOut,
		})
	}
	for _, f := range raw.Faults {
		day.Marks = append(day.Marks, Mark{From: f.At, To: f.At + f.For, Label: fmt.Sprintf("%s %d", f.Kind, f.Target)})
	}
	return day
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
