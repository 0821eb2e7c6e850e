// Command soak runs package soak for one or more seeds: it injects faults into real
// processes of the packet face on loopback and prints the violations that it finds. It
// builds the daemon first.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/sirupsen/logrus"

	"github.com/saltbend/saltbend/internal/exit"
	"github.com/saltbend/saltbend/test/harness"
	"github.com/saltbend/saltbend/test/soak"
)

type options struct {
	Seed      uint64        `long:"seed" default:"1" description:"first seed"`
	Count     int           `long:"count" default:"1" description:"number of seeds, one after the other"`
	For       time.Duration `long:"for" default:"20s" description:"time during which faults are injected, for each seed"`
	Balancers int           `long:"balancers" default:"3" description:"number of balancers"`
	Agents    int           `long:"agents" default:"6" description:"number of agents"`
	Callers   int           `long:"callers" default:"40" description:"number of concurrent flows"`
	Returns   bool          `long:"returns" description:"also restore the store from copies, and evacuate a data centre"`
	Keep      string        `long:"keep" value-name:"DIR" description:"keep logs and settings in this directory (default: they are deleted)"`
	Verbose   bool          `long:"verbose" description:"print each fault"`
	JSON      string        `long:"report" value-name:"FILE" description:"append each report to this file as a line of JSON"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(exit.Usage)
	}
	logrus.SetOutput(io.Discard) // toxiproxy logs each connection
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(play(ctx, o))
}

// play runs all seeds and returns the exit code.
func play(ctx context.Context, o options) int {
	bin, err := os.MkdirTemp("", "saltbend-soak-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exit.Failure
	}
	defer os.RemoveAll(bin)
	if err := harness.Build(ctx, bin); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exit.Failure
	}
	code := exit.OK
	for i := range o.Count {
		if ctx.Err() != nil {
			return exit.Failure
		}
		if err := playOne(ctx, o, bin, o.Seed+uint64(i)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = exit.Failure
		}
	}
	return code
}

func playOne(ctx context.Context, o options, bin string, seed uint64) error {
	dir := filepath.Join(bin, fmt.Sprint(seed))
	if o.Keep != "" {
		dir = filepath.Join(o.Keep, fmt.Sprint(seed))
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	log := io.Discard
	if o.Verbose {
		log = os.Stdout
	}
	report, err := soak.Run(ctx, soak.Options{
		Seed: seed, For: o.For, Program: filepath.Join(bin, "saltbendd"), Dir: dir,
		Balancers: o.Balancers, Agents: o.Agents, Callers: o.Callers, Returns: o.Returns, Log: log,
	})
	if err != nil {
		return err
	}
	total := report.Total()
	fmt.Printf("seed %d: %d faults, %d asked, %d answered (%d late), %d reset, %d timed out, %s, recovered in %s, %d findings\n", seed, len(report.Faults),
		total.Asked, total.Answered, total.Late, total.Reset, total.TimedOut, report.Rush, report.Recovery.Round(time.Millisecond), len(report.Findings)+len(report.Late))
	for _, finding := range append(report.Findings, report.Late...) {
		fmt.Println("  " + finding)
	}
	if o.JSON != "" {
		if err := report.AppendTo(o.JSON); err != nil {
			return err
		}
	}
	return report.Err()
}
