// Command spread measures how long it takes until all balancers of a fleet of
// real processes on loopback have detected that an agent has started, was
// killed, has stopped gracefully, or no longer responds (is suspended).
//
// The output is in the format of Go benchmarks, which test/cmd/slope reads.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"

	"github.com/jessevdk/go-flags"

	"github.com/saltbend/saltbend/test/harness"
)

type settings struct {
	Sizes  []int `long:"processes" default:"5" default:"20" default:"60" description:"number of processes, a quarter of them balancers; may be repeated"`
	Rounds int   `long:"rounds" default:"3" description:"number of agents that are started and ended in each way"`
}

func main() {
	var s settings
	if _, err := flags.Parse(&s); err != nil {
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, s); err != nil {
		fmt.Fprintln(os.Stderr, "spread:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, s settings) error {
	dir, err := harness.MakeDir()
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	bin := filepath.Join(dir, "bin")
	if err := harness.Build(ctx, bin); err != nil {
		return err
	}
	for _, size := range s.Sizes {
		if err := measure(ctx, s, bin, filepath.Join(dir, fmt.Sprintf("fleet-%d", size)), size); err != nil {
			return err
		}
	}
	return nil
}

// measure starts a fleet of the given size and measures s.Rounds rounds of changes.
func measure(ctx context.Context, s settings, bin, dir string, size int) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	f, err := startFleet(ctx, bin, dir, size)
	if err != nil {
		return err
	}
	defer f.Close()
	for range s.Rounds {
		if err := f.measureChanges(ctx); err != nil {
			return err
		}
	}
	return nil
}
