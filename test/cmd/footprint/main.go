// Command footprint measures what control costs: it starts fleets of several
// sizes as processes on loopback, without callers, and reports for each role
// the control bytes, processor time and memory of a process, the calls to the
// store, and the time until a change is in force on every balancer; once idle
// and once under configuration changes. The output is in the format of Go
// benchmarks; test/cmd/slope fits lines through it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/saltbend/saltbend/test/harness"
)

type options struct {
	Sizes   []int         `long:"sizes" default:"5" default:"20" default:"40" default:"60" description:"Number of processes of a fleet; may be repeated."`
	Window  time.Duration `long:"window" default:"30s" description:"Length of each measurement; watches of the store last this long."`
	Settle  time.Duration `long:"settle" default:"75s" description:"Time to get quiet: former seeds go on for a minute."`
	Changes int           `long:"changes" default:"10" description:"Configuration changes a minute in the second measurement."`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(1) // the parser has said why
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, "footprint:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	dir, err := harness.MakeDir()
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if err := harness.Build(ctx, filepath.Join(dir, "bin")); err != nil {
		return err
	}
	for _, size := range o.Sizes {
		if err := measureFleet(ctx, o, dir, size); err != nil {
			return err
		}
	}
	return nil
}

// measureFleet measures one fleet from its start to its end.
func measureFleet(ctx context.Context, o options, dir string, size int) error {
	f, err := startFleet(ctx, dir, size)
	if err != nil {
		return err
	}
	defer f.harness.Close()
	if err := pause(ctx, o.Settle); err != nil {
		return err
	}
	idle, err := f.measure(ctx, func() error { return pause(ctx, o.Window) })
	if err != nil {
		return err
	}
	idle.report("FleetIdle", size)
	var delays []time.Duration
	changing, err := f.measure(ctx, func() (err error) {
		delays, err = f.change(ctx, o.Window, time.Minute/time.Duration(o.Changes))
		return err
	})
	if err != nil {
		return err
	}
	changing.calls = minus(changing.calls, f.applyCalls, uint64(len(delays))) // the operator's own
	changing.report("FleetChanging", size)
	reportDelays(size, delays)
	return nil
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
