package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/saltbend/saltbend/internal/apply"
	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/exit"
	"github.com/saltbend/saltbend/internal/record"
)

const applyHelp = `Checks a configuration file, shows the difference to the one in the store and
writes it if no other change came first.
Exit code 0: accepted, or the store holds this file already; 1: failed; 2: refused
for its findings; 3: another change won; 4: the outcome is unknown, look with get;
5: store not reached; 6: accepted, but not in force everywhere in time.
With 1, 2, 3 and 5 nothing was written.`

type applyCommand struct {
	outputFlags
	storeFlags
	Base     *uint64       `long:"base" env:"SALTBEND_BASE" value-name:"REVISION" description:"revision on which the file is based (0: none yet); without it, the one that the store holds now"`
	DryRun   bool          `long:"dry-run" env:"SALTBEND_DRY_RUN" description:"check and show the difference, write nothing"`
	Operator string        `long:"operator" env:"SALTBEND_OPERATOR" default:"unnamed" description:"name to record with the change"`
	Timeout  time.Duration `long:"timeout" env:"SALTBEND_TIMEOUT" default:"30s" description:"time to find out whether the change was accepted"`
	fileArgument
}

// Pauses between attempts to find out about a lost answer.
const (
	firstPause = 50 * time.Millisecond
	maxPause   = 2 * time.Second
	idBytes    = 12
)

func (c *applyCommand) run(ctx context.Context, out std) int {
	s, err := c.open()
	if err != nil {
		return fail(out, err, exit.Usage)
	}
	defer s.Close()
	text, err := c.read()
	if err != nil {
		return fail(out, err, exit.Usage)
	}
	writing, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	req := apply.Request{File: c.Args.File, Text: text, Operator: c.Operator, Base: c.Base, DryRun: c.DryRun}
	res, err := apply.Run(writing, req, apply.Env{
		Store: s, Now: time.Now, NewID: newID, Pause: apply.Backoff(firstPause, maxPause),
		Progress: func(note string) { fmt.Fprintln(out.err, note) },
	})
	if err != nil {
		return fail(out, err, exit.Failure)
	}
	c.print(out, res)
	return exitCode(res.Verdict)
}

func newID() record.ChangeID {
	b := make([]byte, idBytes)
	rand.Read(b) // never fails
	return record.ChangeID(hex.EncodeToString(b))
}

func exitCode(v apply.Verdict) int {
	switch v {
	case apply.Refused:
		return exit.Usage
	case apply.Conflict:
		return exit.Conflict
	case apply.Unknown:
		return exit.Unknown
	case apply.Unavailable:
		return exit.Unavailable
	}
	return exit.OK
}

// resultView is the JSON form of an apply.
type resultView struct {
	Verdict  apply.Verdict       `json:"verdict"`
	Base     uint64              `json:"base"`
	Revision uint64              `json:"revision,omitempty"`
	Winner   *heldView           `json:"winner,omitempty"`
	Findings config.Findings     `json:"findings,omitempty"`
	Diff     []config.Difference `json:"diff,omitempty"`
	Error    string              `json:"error,omitempty"`
}

func (c *applyCommand) print(out std, res apply.Result) {
	if c.json() {
		v := resultView{Verdict: res.Verdict, Base: res.Base, Revision: res.Revision,
			Winner: viewOf(res.Winner), Findings: res.Findings, Diff: res.Diff}
		if res.Err != nil {
			v.Error = res.Err.Error()
		}
		printJSON(out, v)
		return
	}
	printDiff(out, res.Diff)
	switch res.Verdict {
	case apply.Refused:
		refuse(out, res.Findings, false)
	case apply.Accepted:
		fmt.Fprintf(out.out, "Accepted as revision %d.\n", res.Revision)
	case apply.Unchanged:
		fmt.Fprintf(out.out, "The store holds this file already, as revision %d.\n", res.Revision)
	case apply.Replaced:
		fmt.Fprintf(out.out, "Accepted as revision %d; since replaced by %s.\n", res.Revision, viewOf(res.Winner))
	case apply.Conflict:
		printConflict(out, res)
	case apply.Unknown:
		fmt.Fprintln(out.err, "It is not known whether the change was accepted. Look with: saltbend get")
	case apply.Unavailable:
		fmt.Fprintf(out.err, "The store was not reached; nothing was written: %v.\n", res.Err)
	default:
		fmt.Fprintf(out.out, "Dry run over revision %d; nothing was written.\n", res.Base)
	}
}

func printConflict(out std, res apply.Result) {
	winner := "another change"
	if res.Winner != nil {
		winner = viewOf(res.Winner).String()
	}
	fmt.Fprintf(out.err, "Not accepted: based on revision %d, but the store holds %s. Nothing was written.\n", res.Base, winner)
	fmt.Fprintln(out.err, "Look at it with saltbend get, merge, and apply again.")
}
