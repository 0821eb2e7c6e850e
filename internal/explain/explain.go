// Package explain reads the logs of several processes of the packet face (the part of
// saltbend that forwards packets: balancers place each flow on an agent, which runs
// beside an upstream). It reconstructs what happened to one flow: the log lines of the
// flow itself and those on the state of the agents that it was placed on, merged in the
// order of time. Apart from reading the logs it has no side effects.
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

// Line is one log line.
type Line struct {
	At time.Time `json:"time"`
	// Host is the host of the process that wrote the line. Until the process has logged
	// its host, it is the name of the log or of the line's source in the log.
	Host    string `json:"host"`
	Part    string `json:"part"`
	Message string `json:"msg"`
	// Flow, Agent, Balancer, Reason and Data are the log fields that relate lines of
	// different processes to each other. Data is the address at which an agent receives
	// packets, the one that balancers log as Agent.
	Flow     string `json:"flow,omitempty"`
	Agent    string `json:"agent,omitempty"`
	Balancer string `json:"balancer,omitempty"`
	Reason   string `json:"reason,omitempty"`
	Data     string `json:"data,omitempty"`
	// Rest holds all other log fields as "name=value", sorted by name.
	Rest string `json:"rest,omitempty"`
}

// maxLineBytes is the greatest length of a log line. Read fails at a longer one.
const maxLineBytes = 1 << 20

// Read parses a log and returns its lines. Lines that are not JSON are skipped and
// counted. Log collectors may put words, such as a time and a host, before the JSON: the
// last word is taken as the source of the line, the others are ignored.
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

// parsedFields are the log fields that are left out of Line.Rest: those that Line has
// fields for, and the level.
var parsedFields = []string{"time", "level", "msg", "part", "host", "flow", "agent", "balancer", "reason", "data"}

// parse parses one line. hosts maps each source of lines to the host that it has logged
// last; parse updates it.
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
	line.Rest = otherFields(all)
	return line, true
}

// otherFields formats the fields that are not in parsedFields, sorted by name.
func otherFields(all map[string]any) string {
	for _, name := range parsedFields {
		delete(all, name)
	}
	var out []string
	for name, value := range all {
		out = append(out, fmt.Sprintf("%s=%v", name, value))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}

// Skew is a difference between the clocks of two hosts that shows in the logs: the host
// Behind logged an effect with an earlier time than the host Ahead logged its cause.
// Minimum is a lower bound of the difference.
type Skew struct {
	Behind  string        `json:"behind"`
	Ahead   string        `json:"ahead"`
	Minimum time.Duration `json:"least_ns"`
}

// History holds the log lines on a flow, by time, and the clock skews that show in them.
// Causes are sentences that explain why a flow was refused or waited for lack of room.
type History struct {
	Lines  []Line   `json:"lines"`
	Skews  []Skew   `json:"skews"`
	Causes []string `json:"causes,omitempty"`
}

// storeRestoredPrefix is the start of the message that a process logs when the store was
// restored from an older copy. A restore starts a new era of the store: what
// the process reads from then on may lack what it had read before.
const storeRestoredPrefix = "Store came back older"

// FlowHistory returns the log lines on a flow, given by its id or a part of it:
//   - the lines that carry the flow's id;
//   - lines without a flow that name an agent of the flow's lines, come from the host of
//     such an agent or name no agent, if they were logged between the flow's first and
//     last line, or earlier or later than these by at most the time given by around;
//   - for each host that logged the flow, the last restore of the store before all these
//     lines, however long ago, since the host has acted on the restored state from then on.
func FlowHistory(all []Line, flow string, around time.Duration) History {
	var flowLines []Line
	agents := map[string]bool{}
	for _, line := range all {
		if line.Flow == "" || !strings.Contains(line.Flow, flow) {
			continue
		}
		flowLines = append(flowLines, line)
		agents[line.Agent] = true
	}
	delete(agents, "")
	if len(flowLines) == 0 {
		return History{}
	}
	hosts := hostsOf(all, agents)
	first, last := span(flowLines)
	first, last = first.Add(-around), last.Add(around)
	history := History{Skews: skews(flowLines, all), Causes: causes(all, flowLines)}
	history.Lines = append(flowLines, lastRestores(all, flowLines, first)...)
	for _, line := range all {
		related := line.Flow == "" && (agents[line.Agent] || hosts[line.Host] || line.Agent == "")
		if related && !line.At.Before(first) && !line.At.After(last) {
			history.Lines = append(history.Lines, line)
		}
	}
	slices.SortStableFunc(history.Lines, func(a, b Line) int { return a.At.Compare(b.At) })
	return history
}

// lastRestores returns, for each host that logged the flow, the last line on a restore
// of the store from a copy that the host logged before the given time.
func lastRestores(all, flowLines []Line, before time.Time) (out []Line) {
	latest := map[string]Line{}
	for _, line := range all {
		if strings.HasPrefix(line.Message, storeRestoredPrefix) && line.At.Before(before) && line.At.After(latest[line.Host].At) {
			latest[line.Host] = line
		}
	}
	for _, line := range flowLines {
		if last, ok := latest[line.Host]; ok {
			out = append(out, last)
			delete(latest, line.Host)
		}
	}
	return out
}

// hostsOf returns the hosts whose agents receive packets at the given addresses.
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

// skews returns a Skew for each agent that logged the opening of a flow with an earlier
// time than the balancer logged that it placed the flow on this agent.
func skews(flowLines, all []Line) []Skew {
	address := map[string]string{}
	for _, line := range all {
		if line.Data != "" {
			address[line.Host] = line.Data
		}
	}
	var out []Skew
	for _, placed := range flowLines {
		if placed.Message != "placed" && placed.Message != "placed-again" {
			continue
		}
		for _, opened := range flowLines {
			if opened.Message == "opened" && opened.Flow == placed.Flow && address[opened.Host] == placed.Agent && opened.At.Before(placed.At) {
				out = append(out, Skew{Behind: opened.Host, Ahead: placed.Host, Minimum: placed.At.Sub(opened.At)})
			}
		}
	}
	return out
}
