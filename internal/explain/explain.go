// Package explain reads the logs of several processes of the packet face and
// tells what happened to one flow: its own lines and the changes of belief about
// the agents that it met, in one order. It is pure but for reading.
package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Line is one line of a log.
type Line struct {
	At time.Time `json:"time"`
	// Host is the process's host, or the name of its log until it told.
	Host    string `json:"host"`
	Part    string `json:"part"`
	Message string `json:"msg"`
	// Flow, Agent, Balancer, Reason and Data are the fields that connect lines.
	Flow     string `json:"flow,omitempty"`
	Agent    string `json:"agent,omitempty"`
	Balancer string `json:"balancer,omitempty"`
	Reason   string `json:"reason,omitempty"`
	Data     string `json:"data,omitempty"`
	// Rest holds the other fields as the log has them.
	Rest string `json:"rest,omitempty"`
}

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Read reads a log. Lines that are no JSON are counted; a word or two before the
// JSON, as collectors put there, are passed over, and the last names the host.
func Read(in io.Reader, name string) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	hosts := map[string]string{}
	for scanner.Scan() {
		line, ok := parse(scanner.Text(), name, hosts)
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	return lines, skipped, errors.Wrapf(scanner.Err(), "explain: read %s", name)
}

// known are the fields that Line has or that say nothing here.
var known = []string{"time", "level", "msg", "part", "host", "flow", "agent", "balancer", "reason", "data"}

// parse reads one line; hosts remembers what each source has told of its host.
func parse(text, name string, hosts map[string]string) (Line, bool) {
	prefix, body, found := strings.Cut(text, "{")
	if !found {
		return Line{}, false
	}
	var line Line
	var all map[string]any
	if json.Unmarshal([]byte("{"+body), &line) != nil || json.Unmarshal([]byte("{"+body), &all) != nil {
		return Line{}, false
	}
	source := name
	if words := strings.Fields(prefix); len(words) > 0 {
		source = words[len(words)-1]
	}
	if line.Host != "" {
		hosts[source] = line.Host
	}
	line.Host = cmp.Or(hosts[source], source)
	line.Rest = rest(all)
	return line, true
}

// rest returns the other fields in the order of their names.
func rest(all map[string]any) string {
	for _, name := range known {
		delete(all, name)
	}
	var out []string
	for name, value := range all {
		out = append(out, fmt.Sprintf("%s=%v", name, value))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// Skew says that the clock of one host is behind another's: an effect is logged
// before its cause.
type Skew struct {
	Behind string        `json:"behind"`
	Ahead  string        `json:"ahead"`
	Least  time.Duration `json:"least_ns"`
}

// Story is what happened to a flow.
type Story struct {
	Lines []Line `json:"lines"`
	Skews []Skew `json:"skews"`
}

// returned starts the lines that tell that the store came back from a copy: what a
// process knows since then is of another era.
const returned = "Store came back older"

// Tell returns the lines of the flow, given by its id or a part of it, and those
// on the agents that it met that were logged within around of them. Of returns of the
// store each host's last one before that is told, too, however long ago.
func Tell(all []Line, flow string, around time.Duration) Story {
	var own []Line
	met := map[string]bool{}
	for _, line := range all {
		if line.Flow == "" || !strings.Contains(line.Flow, flow) {
			continue
		}
		own = append(own, line)
		met[line.Agent] = true
	}
	delete(met, "")
	if len(own) == 0 {
		return Story{}
	}
	hosts := hostsOf(all, met)
	first, last := span(own)
	first, last = first.Add(-around), last.Add(around)
	story := Story{Lines: append(own, lastReturns(all, own, first)...), Skews: skews(own, all)}
	for _, line := range all {
		belief := line.Flow == "" && (met[line.Agent] || hosts[line.Host] || line.Agent == "")
		if belief && !line.At.Before(first) && !line.At.After(last) {
			story.Lines = append(story.Lines, line)
		}
	}
	slices.SortStableFunc(story.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return story
}

// lastReturns returns the last return of the store before a time at each host that had
// to do with the flow.
func lastReturns(all, own []Line, before time.Time) (out []Line) {
	latest := map[string]Line{}
	for _, line := range all {
		if strings.HasPrefix(line.Message, returned) && line.At.Before(before) && line.At.After(latest[line.Host].At) {
			latest[line.Host] = line
		}
	}
	for _, line := range own {
		if last, ok := latest[line.Host]; ok {
			out = append(out, last)
			delete(latest, line.Host)
		}
	}
	return out
}

// hostsOf returns the hosts of the agents at the addresses.
func hostsOf(all []Line, agents map[string]bool) map[string]bool {
	out := map[string]bool{}
	for _, line := range all {
		if line.Data != "" && agents[line.Data] {
			out[line.Host] = true
		}
	}
	return out
}

func span(lines []Line) (first, last time.Time) {
	first, last = lines[0].At, lines[0].At
	for _, line := range lines {
		if line.At.Before(first) {
			first = line.At
		}
		if line.At.After(last) {
			last = line.At
		}
	}
	return first, last
}

// skews finds agents that have logged a flow's opening before the balancer that
// placed it there has.
func skews(own, all []Line) []Skew {
	address := map[string]string{}
	for _, line := range all {
		if line.Data != "" {
			address[line.Host] = line.Data
		}
	}
	var out []Skew
	for _, placed := range own {
		if placed.Message != "placed" && placed.Message != "placed-again" {
			continue
		}
		for _, opened := range own {
			if opened.Message == "opened" && opened.Flow == placed.Flow && address[opened.Host] == placed.Agent && opened.At.Before(placed.At) {
				out = append(out, Skew{Behind: opened.Host, Ahead: placed.Host, Least: placed.At.Sub(opened.At)})
			}
		}
	}
	return out
}
