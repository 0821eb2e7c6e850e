// Command footprint measures the resources used by the control plane. It starts
// fleets of several sizes as processes on loopback, without callers, and
// reports for each role the control bytes, processor time and memory of a
// process, the calls to the store, and the time until a change is in force on
// every balancer, once for an idle fleet and once during configuration changes.
// The output is in the format of Go benchmarks, which test/cmd/slope reads.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"github.com/jessevdk/go-flags"

	"github.com/saltbend/saltbend/test/crowd"
	"github.com/saltbend/saltbend/test/harness"
)

// Parts of the measurement.
const (
	partFleets = "fleets"
	partCrowd  = "crowd"
)

type options struct {
	Parts   []string      `long:"part" choice:"fleets" choice:"crowd" default:"fleets" default:"crowd" description:"What to measure; may be repeated."`
	Sizes   []int         `long:"sizes" default:"5" default:"20" default:"40" default:"60" description:"Number of processes of a fleet; may be repeated."`
	Members []int         `long:"members" default:"700" default:"2100" default:"6900" description:"Number of members of a fleet of one real balancer, all others simulated; may be repeated."`
	Window  time.Duration `long:"window" default:"30s" description:"Duration of each measurement; a watch of the store lasts this long."`
	Settle  time.Duration `long:"settle" default:"75s" description:"Time to wait before the measurement; former seeds continue for a minute."`
	Changes int           `long:"changes" default:"10" description:"Configuration changes per minute in the second measurement."`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(1) // the parser has printed the error
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
	measure := map[string]func(context.Context, options, string, int) error{partFleets: measureFleet, partCrowd: measureCrowd}
	sizes := map[string][]int{partFleets: o.Sizes, partCrowd: o.Members}
	for _, part := range o.Parts {
		for _, size := range sizes[part] {
			if err := measure[part](ctx, o, dir, size); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureFleet starts a fleet of the given size and measures it.
func measureFleet(ctx context.Context, o options, dir string, size int) error {
	f, err := startFleet(ctx, dir, size)
	if err != nil {
		return err
	}
	defer f.harness.Close()
	return f.measureBoth(ctx, o, "Fleet", fmt.Sprintf("processes=%d", size))
}

// measureCrowd measures one balancer in a fleet whose other members are simulated.
func measureCrowd(ctx context.Context, o options, dir string, members int) error {
	f, err := startFleet(ctx, dir, 1)
	if err != nil {
		return err
	}
	defer f.harness.Close()
	others, err := crowd.Surround(ctx, harness.Secrets, f.processes[balancer][0].Address("control"), members)
	if err != nil {
		return err
	}
	defer others.Close()
	fmt.Fprintf(os.Stderr, "the balancer communicates with %d of %d members\n", others.Contacts(), members)
	return f.measureBoth(ctx, o, "Crowd", fmt.Sprintf("members=%d", members))
}

// measureBoth measures the idle fleet, then the fleet during configuration changes.
func (f *fleet) measureBoth(ctx context.Context, o options, name, size string) error {
	if err := pause(ctx, o.Settle); err != nil {
		return err
	}
	idle, err := f.measure(ctx, func() error { return pause(ctx, o.Window) })
	if err != nil {
		return err
	}
	idle.report(name+"Idle", size)
	var delays []time.Duration
	changing, err := f.measure(ctx, func() (err error) {
		delays, err = f.change(ctx, o.Window, time.Minute/time.Duration(o.Changes))
		return err
	})
	if err != nil {
		return err
	}
	changing.calls = minus(changing.calls, f.applyCalls, uint64(len(delays))) // without the calls of `saltbend apply`
	changing.report(name+"Changing", size)
	reportDelays(name+"InForce", size, delays)
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
