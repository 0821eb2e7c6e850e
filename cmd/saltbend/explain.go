package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/exit"
	"github.com/saltbend/saltbend/internal/explain"
)

const explainHelp = `Reads logs of processes of the packet face, one file a process or all on standard
input, and prints what happened to one flow: its own lines and the changes of
belief about the agents that it met, in one order by the hosts' clocks. Where an
effect is logged before its cause, the skew of the clocks is told first. If the flow
was refused or waited because there was too little room, sentences say who decided
that, why, and on how old figures.
Exit code 0: printed; 1: no line is about the flow, or a file could not be read;
2: wrong flags.`

type explainCommand struct {
	outputFlags
	Around time.Duration `long:"around" value-name:"DURATION" default:"5s" description:"how long before and after the flow's own lines others are shown"`
	Args   struct {
		Flow  string   `positional-arg-name:"FLOW" description:"id of the flow, or a part such as the caller's IP:PORT" required:"yes"`
		Files []string `positional-arg-name:"FILE" description:"logs; none reads standard input"`
	} `positional-args:"yes"`
}

func (c *explainCommand) run(_ context.Context, out streams) int {
	lines, err := c.read(out)
	if err != nil {
		return fail(out, err, exit.Failure)
	}
	history := explain.FlowHistory(lines, c.Args.Flow, max(c.Around, 0))
	if len(history.Lines) == 0 {
		return fail(out, errors.Errorf("no line is about the flow %q", c.Args.Flow), exit.Failure)
	}
	if c.json() {
		printJSON(out, history)
		return exit.OK
	}
	printHistory(out, history)
	return exit.OK
}

// read reads all logs, or standard input if none is given.
func (c *explainCommand) read(out streams) (all []explain.Line, err error) {
	if len(c.Args.Files) == 0 {
		return readLog(out, os.Stdin, "stdin")
	}
	for _, name := range c.Args.Files {
		file, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "read a log")
		}
		lines, err := readLog(out, file, name)
		_ = file.Close() // nothing was written, so no data can be lost
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(out streams, in io.Reader, name string) ([]explain.Line, error) {
	lines, skipped, err := explain.Read(in, name)
	if skipped > 0 {
		fmt.Fprintf(out.err, "%s: %d lines are not JSON and were skipped.\n", name, skipped)
	}
	return lines, err
}

func printHistory(out streams, history explain.History) {
	for _, s := range history.Skews {
		fmt.Fprintf(out.out, "The clock of %s is at least %s behind that of %s.\n", s.Behind, s.Minimum, s.Ahead)
	}
	for _, sentence := range history.Causes {
		fmt.Fprintln(out.out, sentence)
	}
	w := tabwriter.NewWriter(out.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "TIME\tHOST\tWHAT\tREASON\tFLOW\tPEER\tMORE")
	for _, l := range history.Lines {
		peer := l.Agent
		if peer == "" {
			peer = l.Balancer
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", l.At.UTC().Format("15:04:05.000"), l.Host, l.Message,
			dash(l.Reason), dash(l.Flow), dash(peer), dash(l.Rest))
	}
	w.Flush()
}
