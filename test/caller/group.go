package caller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/saltbend/saltbend/internal/wait"
	"github.com/saltbend/saltbend/test/upstream"
)

// Load is what each caller of a crowd does until it is stopped.
type Load struct {
	// Feed holds a feed open all the while.
	Feed bool
	// LookupEvery, SubmitEvery and UploadEvery are mean pauses; zero is never.
	LookupEvery, SubmitEvery, UploadEvery time.Duration
	// Timeout bounds one piece of work.
	Timeout time.Duration
	// UploadBytes is the size of a photo, BatchBytes that of a submission.
	UploadBytes, BatchBytes int
}

// Crowd runs many callers.
type Crowd struct {
	stop  context.CancelFunc
	feeds context.CancelFunc
	work  sync.WaitGroup
	held  sync.WaitGroup
	all   []*Caller
}

// Gather starts load on each of the callers. It returns once every caller that
// holds a feed has it open, or ctx has ended.
func Gather(ctx context.Context, callers []*Caller, load Load) *Crowd {
	working, stop := context.WithCancel(ctx)
	feeding, feeds := context.WithCancel(ctx)
	c := &Crowd{stop: stop, feeds: feeds, all: callers}
	opened := make(chan struct{}, len(callers))
	for _, one := range callers {
		if load.Feed {
			c.held.Go(func() {
				tell := sync.OnceFunc(func() { opened <- struct{}{} })
				_ = one.Feed(feeding, tell) // counted by the tally
				tell()                      // also when it never opened
			})
		}
	}
	for range callers {
		if !load.Feed {
			break
		}
		select {
		case <-opened:
		case <-ctx.Done():
		}
	}
	for _, one := range callers {
		c.every(working, load.LookupEvery, load.Timeout, func(ctx context.Context) { _ = one.Lookup(ctx) })
		c.every(working, load.SubmitEvery, load.Timeout, func(ctx context.Context) {
			_, _ = one.Submit(ctx, upstream.PathAnswer, make([]byte, load.BatchBytes))
		})
		c.every(working, load.UploadEvery, load.Timeout, func(ctx context.Context) {
			_ = one.Upload(ctx, make([]byte, load.UploadBytes))
		})
	}
	return c
}

// every does work at random pauses around the mean until ctx ends; work that
// has begun goes on to its own end.
func (c *Crowd) every(ctx context.Context, mean, timeout time.Duration, work func(context.Context)) {
	if mean == 0 {
		return
	}
	c.work.Go(func() {
		for wait.For(ctx, time.Duration(rand.Int64N(int64(2*mean)))) == nil {
			bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
			work(bounded)
			cancel()
		}
	})
}

// Disperse lets work in progress end, then closes the feeds and connections.
func (c *Crowd) Disperse() {
	c.stop()
	c.work.Wait()
	c.feeds()
	c.held.Wait()
	for _, one := range c.all {
		one.Close()
	}
}
