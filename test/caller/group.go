package caller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/saltbend/saltbend/internal/wait"
	"github.com/saltbend/saltbend/test/upstream"
)

// Load is the load that each caller of a group generates until the group is stopped.
type Load struct {
	// Feed keeps a feed open the whole time.
	Feed bool
	// LookupEvery, SubmitEvery and UploadEvery are the mean pauses between requests of
	// each kind; zero disables the kind.
	LookupEvery, SubmitEvery, UploadEvery time.Duration
	// Timeout limits each request.
	Timeout time.Duration
	// UploadBytes is the size of a photo, BatchBytes that of a submission.
	UploadBytes, BatchBytes int
}

// Group is a group of callers that generate load.
type Group struct {
	stop      context.CancelFunc
	feeds     context.CancelFunc
	work      sync.WaitGroup
	openFeeds sync.WaitGroup
	all       []*Caller
}

// StartGroup starts the load of all callers. It returns when every caller that has a feed
// has opened it, or ctx is cancelled.
func StartGroup(ctx context.Context, callers []*Caller, load Load) *Group {
	working, stop := context.WithCancel(ctx)
	feeding, feeds := context.WithCancel(ctx)
	c := &Group{stop: stop, feeds: feeds, all: callers}
	opened := make(chan struct{}, len(callers))
	for _, one := range callers {
		if load.Feed {
			c.openFeeds.Go(func() {
				signalOpened := sync.OnceFunc(func() { opened <- struct{}{} })
				_ = one.Feed(feeding, signalOpened) // the tally counts errors
				signalOpened()                      // unblocks StartGroup also if the feed never opened
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

// every calls work with random pauses between 0 and twice the mean until ctx is cancelled.
// Work in progress is not cancelled.
func (c *Group) every(ctx context.Context, mean, timeout time.Duration, work func(context.Context)) {
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

// Stop waits for the requests in progress, then closes the feeds and connections.
func (c *Group) Stop() {
	c.stop()
	c.work.Wait()
	c.feeds()
	c.openFeeds.Wait()
	for _, one := range c.all {
		one.Close()
	}
}
