package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Messages of log lines on a shortage of room.
const (
	messageRefused = "refused"
	messageWaited  = "waited"
	messageAbandon = "abandoned"
	messageReset   = "reset"
	messageDropped = "dropped"
	messageShort   = "service-short"
	messageRoom    = "service-has-room"
	// openingPrefix precedes the reason why an opening packet that had waited was passed
	// on.
	openingPrefix = "opening-"
	// copySuffix marks the reason for which a copy of an opening packet was dropped.
	copySuffix = "-copy"
)

// refusals are the reasons for which an agent returns an opening packet that it has held.
var refusals = map[string]string{
	"overloaded": "more callers asked than its upstream has room for, and this one was below the agent's bar",
	"hopeless":   "the caller would have given up before its upstream could answer",
	"down":       "its upstream had ended or fallen silent",
	"draining":   "its upstream was draining",
	"evacuated":  "its data centre was evacuated",
	"failing":    "its upstream was shut out, as it failed its requests",
}

// passedOn are the reasons for which an agent passes on an opening packet that has waited.
var passedOn = map[string]string{
	"in-time":  "there was room and the target latency could still be met",
	"pressing": "it would have missed its caller's deadline otherwise",
	"late":     "there was room and nothing in time waited",
	"overdue":  "its caller was about to abandon the attempt",
}

// abandonments are the reasons for which an agent drops an opening packet or a request that
// has waited.
var abandonments = map[string]string{
	"attempt-ended":   "dropped the opening packet: its caller no longer waited for the flow to be accepted",
	"caller-moved-on": "dropped the opening packet: its caller had reset the flow, or another upstream had accepted it",
	"deadline-passed": "dropped the request: it had waited for its route's whole timeout",
}

// notRun ends the sentences on flows that were refused.
const notRun = "No request of the flow has run."

// causes returns sentences on the lines of a flow that was refused or waited because its
// service was short of room, in the order of time: who decided, why, and on whose figures.
func causes(all, flowLines []Line) (out []string) {
	lines := slices.Clone(flowLines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	for i, line := range lines {
		text := cause(all, lines[:i], line)
		if text == "" {
			continue
		}
		out = append(out, fmt.Sprintf("%s %s %s", line.At.UTC().Format("15:04:05.000"), line.Host, text))
	}
	return out
}

// cause returns the sentence on a line without its subject, empty if the line is not about
// a shortage of room. before are the earlier lines of the flow.
func cause(all, before []Line, line Line) string {
	switch {
	case line.Message == messageRefused:
		return refusedBy(all, line)
	case line.Message == messageWaited && strings.HasPrefix(line.Reason, openingPrefix):
		return heldBy(line)
	case line.Message == messageAbandon && abandonments[line.Reason] != "":
		return fmt.Sprintf("%s. It had waited for %s%s and has not run here.", abandonments[line.Reason], line.millis("took_ms"), upstreamFigures(line))
	case line.Message == messageReset && isShortage(line.Reason):
		return "refused the flow" + refusedFor(before, line) + ". " + notRun + shortages(all, line)
	case line.Message == messageDropped && isShortage(strings.TrimSuffix(line.Reason, copySuffix)):
		return "dropped a copy of the opening packet" + refusedFor(before, line) +
			"; it sent no reset, as an upstream may have accepted an earlier copy." + shortages(all, line)
	}
	return ""
}

// isShortage reports whether a flow was refused for this reason because there was no room.
func isShortage(reason string) bool {
	return reason == "service-overloaded" || reason == "all-returned-overloaded"
}

// refusedBy returns the sentence on an agent that refused an opening packet.
func refusedBy(all []Line, line Line) string {
	held := "at once"
	if took := line.millis("took_ms"); took > 0 {
		held = "after it had held it for " + took.String()
	}
	why, known := refusals[line.Reason]
	if !known {
		why = line.Reason
	}
	return fmt.Sprintf("refused the opening packet from %s %s: %s%s. %s", hostAt(all, line.Balancer), held, why, upstreamFigures(line), notRun)
}

// heldBy returns the sentence on an agent that held an opening packet and passed it on.
func heldBy(line Line) string {
	reason := strings.TrimPrefix(line.Reason, openingPrefix)
	why, known := passedOn[reason]
	if !known {
		why = reason
	}
	return fmt.Sprintf("held the opening packet for %s, as its upstream had no room%s, and passed it on because %s.", line.millis("took_ms"), upstreamFigures(line), why)
}

// upstreamFigures says on which figures of its upstream an agent decided.
func upstreamFigures(line Line) string {
	running, ok := line.value("running")
	if !ok {
		return ""
	}
	text := " (" + running + " requests running"
	if age, ok := line.value("heartbeat_age_ms"); ok {
		text += ", last heartbeat " + age + "ms before"
	}
	return text + ")"
}

// refusedFor says on whose figures a balancer refused a flow, and how old they were.
func refusedFor(before []Line, line Line) string {
	if strings.HasPrefix(line.Reason, "service-") {
		text := " without trying an agent, as the agents of the service refuse callers of this rank"
		return text + figures(line)
	}
	text := ""
	if count, ok := line.value("count"); ok {
		text = " after " + count + " agents had returned it"
	}
	var who []string
	for _, l := range before {
		if l.Message == messageRefused && l.Flow == line.Flow && !slices.Contains(who, l.Host) {
			who = append(who, l.Host)
		}
	}
	if len(who) > 0 {
		text += ", refused by " + strings.Join(who, ", ")
	}
	return text + figures(line)
}

// figures says on the figures of how many agents a decision was based, how old these were,
// and which bar followed from them.
func figures(line Line) string {
	var parts []string
	if age, ok := line.value("age_ms"); ok {
		agents, _ := line.value("agents")
		parts = append(parts, strings.TrimSpace("figures of "+agents)+" agents up to "+age+"ms old")
	}
	if bar, ok := line.value("bar"); ok {
		standing, _ := line.value("standing")
		parts = append(parts, "bar "+inWords(bar)+", this flow "+inWords(standing))
	}
	if len(parts) == 0 {
		return ""
	}
	return " (" + strings.Join(parts, "; ") + ")"
}

// inWords returns a standing that is logged as PRIORITY/RANK.
func inWords(standing string) string {
	priority, rank, _ := strings.Cut(standing, "/")
	return "priority " + priority + " rank " + rank
}

// shortages says since when the services have been short of room that the host of a line
// had logged as short when it logged the line.
func shortages(all []Line, line Line) string {
	since := map[string]time.Time{}
	var services []string
	for _, l := range all {
		if l.Host != line.Host || l.At.After(line.At) {
			continue
		}
		switch l.Message {
		case messageShort:
			since[l.Reason] = l.At.Add(-l.millis("took_ms"))
			services = append(services, l.Reason)
		case messageRoom:
			delete(since, l.Reason)
		}
	}
	text := ""
	slices.Sort(services)
	for _, service := range slices.Compact(services) {
		if at, short := since[service]; short {
			text += fmt.Sprintf(" It had found %s short of room for %s.", service, line.At.Sub(at).Round(time.Millisecond))
		}
	}
	return text
}

// hostAt returns the host with the address, or the address if no line tells whose it is.
func hostAt(all []Line, address string) string {
	ip, _, _ := strings.Cut(address, ":")
	for _, l := range all {
		if l.Data != "" && strings.HasPrefix(l.Data, ip+":") {
			return l.Host
		}
	}
	return address
}

// value returns the value of one of the line's other fields.
func (l *Line) value(name string) (value string, found bool) {
	for field := range strings.FieldsSeq(l.Rest) {
		if value, found = strings.CutPrefix(field, name+"="); found {
			return value, true
		}
	}
	return "", false
}

// millis returns the duration in a field in milliseconds, 0 if the line lacks it.
func (l *Line) millis(name string) time.Duration {
	value, _ := l.value(name)
	d, err := time.ParseDuration(value + "ms")
	if err != nil {
		return 0
	}
	return d
}
