package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/saltbend/saltbend/internal/apply"
	"github.com/saltbend/saltbend/internal/exit"
	"github.com/saltbend/saltbend/internal/record"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/internal/survey"
)

const applyHelp = `Checks a configuration file, shows the difference to the one in the store and
writes it if no other change came first. With --wait it goes on until the change
is in force on every live balancer, which needs --peer and the fleet's secrets.
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
	Wait     bool          `long:"wait" env:"SALTBEND_WAIT" description:"wait until the change is in force on every balancer"`
	WaitTime time.Duration `long:"wait-timeout" env:"SALTBEND_WAIT_TIMEOUT" default:"60s" value-name:"DURATION" description:"time to wait for that"`
	peerFlags
	fileArgument
}

const (
	// initialPause is the first pause between attempts to find out whether a write whose
	// answer was lost took effect.
	initialPause = 50 * time.Millisecond
	// maxPause is the longest pause between these attempts.
	maxPause = 2 * time.Second
	// changeIDBytes is the length of a random change id before its encoding as hex.
	changeIDBytes = 12
	// waitInterval is the time between two rounds of polling the balancers that don't
	// have the revision in force yet.
	waitInterval = 250 * time.Millisecond
)

func (c *applyCommand) run(ctx context.Context, out streams) int {
	s, err := c.storeFlags.open()
	if err != nil {
		return fail(out, err, exit.Usage)
	}
	defer s.Close()
	var fleet *fleetAccess
	if c.Wait { // so that wrong flags are reported before anything is written
		fleet, err = c.peerFlags.open()
		if err != nil {
			return fail(out, err, exit.Usage)
		}
		defer fleet.caller.Close()
	}
	text, err := c.read()
	if err != nil {
		return fail(out, err, exit.Usage)
	}
	res, err := c.submit(ctx, out, s, text)
	if err != nil {
		return fail(out, err, exit.Failure)
	}
	if !c.json() {
		c.print(out, res)
	}
	var rollout *survey.Rollout
	if c.Wait && res.Revision > 0 {
		rollout = c.await(ctx, out, fleet, res.Revision)
	}
	if c.json() {
		printJSON(out, viewResult(res, rollout))
	}
	return exitCode(res.Verdict, rollout)
}

// submit validates the file and writes it to the store, within c.Timeout.
func (c *applyCommand) submit(ctx context.Context, out streams, s store.Store, text []byte) (apply.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	req := apply.Request{File: c.Args.File, Text: text, Operator: c.Operator, Base: c.Base, DryRun: c.DryRun}
	return apply.Run(ctx, req, apply.Env{
		Store: s, Now: time.Now, NewID: newID, Pause: apply.Backoff(initialPause, maxPause),
		Progress: func(note string) { fmt.Fprintln(out.err, note) },
	})
}

// await waits until the revision is in force on every balancer, for at most c.WaitTime,
// and prints the progress with the late balancers.
func (c *applyCommand) await(ctx context.Context, out streams, fleet *fleetAccess, revision uint64) *survey.Rollout {
	ctx, cancel := context.WithTimeout(ctx, c.WaitTime)
	defer cancel()
	start := time.Now()
	rollout := fleet.client.Await(ctx, fleet.peers, revision, waitInterval, func(f survey.Rollout) {
		fmt.Fprintf(out.err, "%v: revision %d is in force on %s.\n", time.Since(start).Round(time.Millisecond), revision, describeRollout(f))
	})
	return &rollout
}

func newID() record.ChangeID {
	b := make([]byte, changeIDBytes)
	rand.Read(b) // never fails
	return record.ChangeID(hex.EncodeToString(b))
}

// exitCode returns the tool's exit code; rollout is nil if apply did not wait.
func exitCode(v apply.Verdict, rollout *survey.Rollout) int {
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
	if rollout != nil && !rollout.Complete() {
		return exit.Late
	}
	return exit.OK
}
