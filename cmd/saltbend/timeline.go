package main

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/exit"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/timeline"
)

const timelineHelp = `Collects the events that each process of the fleet keeps and prints them in one
order, by this host's clock. Each time is shown with the bound of its error; a ~
before it says that the event above may have happened later. With --output json,
one object a line.
Exit code 0: printed; 1: not all processes answered; 2: wrong flags; 5: no process
answered.`

// refreshRounds is the number of rounds after which --follow reads the list of members
// again.
const refreshRounds = 10

type timelineCommand struct {
	outputFlags
	peerFlags
	Parts    []string      `long:"part" value-name:"PART" env:"SALTBEND_PART" env-delim:"," description:"print only events of this part; may be repeated"`
	Since    time.Duration `long:"since" value-name:"DURATION" env:"SALTBEND_SINCE" description:"print only events that are younger than this; processes leave out the others; 0 prints all that are kept"`
	Follow   bool          `long:"follow" env:"SALTBEND_FOLLOW" description:"go on printing new events until interrupted"`
	Interval time.Duration `long:"interval" value-name:"DURATION" env:"SALTBEND_INTERVAL" default:"1s" description:"time between two rounds of collecting with --follow"`
}

func (c *timelineCommand) run(ctx context.Context, out streams) int {
	access, err := c.open()
	if err != nil {
		return fail(out, err, exit.Usage)
	}
	defer access.caller.Close()
	members, err := access.client.Members(ctx, access.peers)
	if err != nil {
		return fail(out, err, exit.Unavailable)
	}
	reader := &timelineReader{
		command: c, out: out, access: access, members: members,
		fleet:  timeline.NewFleetCollector(access.caller, c.PeerTimeout, max(c.Since, 0), time.Now),
		merger: timeline.NewMerger(),
		failed: make(map[netip.AddrPort]bool),
	}
	if c.Follow {
		return reader.follow(ctx)
	}
	reader.round(ctx)
	reader.print(reader.merger.Flush())
	if len(reader.failed) > 0 {
		return exit.Failure
	}
	return exit.OK
}

// timelineReader collects and prints the timeline round by round.
type timelineReader struct {
	command *timelineCommand
	out     streams
	access  *fleetAccess
	fleet   *timeline.FleetCollector
	merger  *timeline.Merger
	members []member.Member
	// failed holds the processes that did not answer in the last round.
	failed map[netip.AddrPort]bool
	// printed is set once the header of the table was printed.
	printed bool
}

// follow collects and prints events until ctx ends.
func (r *timelineReader) follow(ctx context.Context) int {
	ticker := time.NewTicker(max(r.command.Interval, time.Millisecond))
	defer ticker.Stop()
	for n := 1; ; n++ {
		began := r.round(ctx)
		r.print(r.merger.Release(began))
		select {
		case <-ctx.Done():
			r.print(r.merger.Flush())
			return exit.OK
		case <-ticker.C:
		}
		if n%refreshRounds == 0 {
			r.refresh(ctx)
		}
	}
}

// refresh reads the list of members again, which adds processes that have joined. Members
// that have left stay on the list and are still queried, since their last events may not
// have been read yet.
func (r *timelineReader) refresh(ctx context.Context) {
	members, err := r.access.client.Members(ctx, append(addrsOf(r.members), r.access.peers...))
	if err != nil {
		fmt.Fprintln(r.out.err, err)
		return
	}
	r.members = members
}

// round collects once from all members and returns the time when it began.
func (r *timelineReader) round(ctx context.Context) time.Time {
	round := r.fleet.Collect(ctx, addrsOf(r.members))
	for addr, log := range round.Logs {
		r.merger.Add(addr.String(), log)
		r.reportReachability(addr, round.Failed[addr])
	}
	return round.Began
}

// reportReachability prints a line when a process stops answering and when it answers
// again.
func (r *timelineReader) reportReachability(addr netip.AddrPort, err error) {
	switch {
	case err != nil && !r.failed[addr]:
		r.failed[addr] = true
		fmt.Fprintf(r.out.err, "No answer from %s, its events may be missing or late: %v\n", addr, err)
	case err == nil && r.failed[addr]:
		delete(r.failed, addr)
		fmt.Fprintf(r.out.err, "%s answers again.\n", addr)
	}
}

func (r *timelineReader) print(entries []timeline.Entry) {
	entries = slices.DeleteFunc(entries, func(e timeline.Entry) bool { return !r.command.matches(e, time.Now()) })
	if r.command.json() {
		printEntriesJSON(r.out, entries)
		return
	}
	printEntries(r.out, entries, !r.printed)
	r.printed = true
}

// matches reports whether the entry passes the filters --part and --since.
func (c *timelineCommand) matches(e timeline.Entry, now time.Time) bool {
	if len(c.Parts) > 0 && !slices.Contains(c.Parts, e.Part) {
		return false
	}
	return c.Since <= 0 || now.Sub(e.At) <= c.Since
}

func addrsOf(members []member.Member) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(members))
	for _, m := range members {
		out = append(out, m.Control)
	}
	return out
}
