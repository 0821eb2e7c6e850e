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

// Pauses between attempts to find out about a lost answer.
const (
	firstPause = 50 * time.Millisecond
	maxPause   = 2 * time.Second
	idBytes    = 12
	// waitInterval is the time between two rounds of asking who is late.
	waitInterval = 250 * time.Millisecond
)

func (c *applyCommand) run(ctx context.Context, out std) int {
	s, err := c.storeFlags.open()
	if err != nil {
		return fail(out, err, exit.Usage)
	}
	defer s.Close()
	var fleet *fleetAccess
	if c.Wait { // wrong flags are told before anything is written
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
	var spread *survey.Rollout
	if c.Wait && res.Revision > 0 {
		spread = c.await(ctx, out, fleet, res.Revision)
	}
	if c.json() {
		printJSON(out, viewResult(res, spread))
	}
	return exitCode(res.Verdict, spread)
}

// submit validates and writes the file within the time for it.
func (c *applyCommand) submit(ctx context.Context, out std, s store.Store, text []byte) (apply.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	req := apply.Request{File: c.Args.File, Text: text, Operator: c.Operator, Base: c.Base, DryRun: c.DryRun}
	return apply.Run(ctx, req, apply.Env{
		Store: s, Now: time.Now, NewID: newID, Pause: apply.Backoff(firstPause, maxPause),
		Progress: func(note string) { fmt.Fprintln(out.err, note) },
	})
}

// await waits until the revision is in force everywhere and tells who is late.
func (c *applyCommand) await(ctx context.Context, out std, fleet *fleetAccess, revision uint64) *survey.Rollout {
	ctx, cancel := context.WithTimeout(ctx, c.WaitTime)
	defer cancel()
	start := time.Now()
	spread := fleet.asker.Await(ctx, fleet.first, revision, waitInterval, func(f survey.Rollout) {
		fmt.Fprintf(out.err, "%v: revision %d is in force on %s.\n", time.Since(start).Round(time.Millisecond), revision, describe(f))
	})
	return &spread
}

func newID() record.ChangeID {
	b := make([]byte, idBytes)
	rand.Read(b) // never fails
	return record.ChangeID(hex.EncodeToString(b))
}

// exitCode returns the tool's exit code; spread is nil where it did not wait.
func exitCode(v apply.Verdict, spread *survey.Rollout) int {
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
	if spread != nil && !spread.Complete() {
		return exit.Late
	}
	return exit.OK
}
