package registry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/seed"
	"github.com/saltbend/saltbend/internal/wait"
	"github.com/saltbend/saltbend/platform"
)

// Times of following the store.
const (
	// watchWait is how long one watch waits. A cut that hides changes ends a
	// watch at the latest after it.
	watchWait = 10 * time.Second
	// watchPause follows each watch that brought changes, so that a storm of
	// them costs few calls.
	watchPause = 150 * time.Millisecond
)

// everything is the prefix of all keys: one watch serves the configuration and
// the agents.
const everything = ""

// Follower keeps a balancer's copy of what the store holds.
type Follower struct {
	Store *platform.Store
	Log   *slog.Logger
	// Changed is called with each new state of the copy, from one goroutine.
	Changed func(*Listing)
	// Reached is called when the store was lost or answers again.
	Reached func(bool)

	listing  *Listing
	revision uint64
	reached  bool
	again    chan struct{}
}

// NewFollower returns a Follower; set its callbacks before Run.
func NewFollower(s *platform.Store, log *slog.Logger) *Follower {
	return &Follower{Store: s, Log: log, again: make(chan struct{}, 1)}
}

// ReadAgain asks for a new reading, as someone has heard of a newer version.
func (f *Follower) ReadAgain() {
	select {
	case f.again <- struct{}{}:
	default:
	}
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := seed.Backoff{Least: retryLeast, Most: retryMost}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for ctx.Err() == nil {
		err := f.step(ctx)
		f.tell(err)
		if err == nil {
			backoff.Reset()
			continue
		}
		_ = wait.For(ctx, backoff.Next(random)) // the loop sees the end of ctx
	}
}

// step reads everything, or watches for changes once it has.
func (f *Follower) step(ctx context.Context) error {
	if f.listing == nil {
		return f.read(ctx)
	}
	changes, revision, err := f.watch(ctx)
	if errors.Is(err, platform.ErrCompacted) {
		f.Log.Info("History is gone, reading everything.", "revision", f.revision)
		return f.read(ctx)
	}
	if err != nil {
		return err
	}
	f.revision = revision
	if len(changes) == 0 {
		return nil
	}
	f.report(f.listing.Apply(changes))
	f.Changed(f.listing)
	_ = wait.For(ctx, watchPause) // the caller's loop sees the end of ctx
	return nil
}

// watch waits for changes; a request to read again ends it.
func (f *Follower) watch(ctx context.Context) ([]platform.Item, uint64, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-f.again:
			cancel()
		case <-done:
		}
	}()
	return f.Store.Watch(ctx, everything, f.revision, watchWait)
}

func (f *Follower) read(ctx context.Context) error {
	all, revision, err := f.Store.Range(ctx, everything)
	if err != nil {
		return err
	}
	listing, unreadable := NewListing(all)
	f.report(unreadable)
	f.listing, f.revision = listing, revision
	f.Log.Info("Store read.", "revision", revision, "agents", len(listing.agents), "config_revision", listing.ConfigRevision)
	f.Changed(listing)
	return nil
}

func (f *Follower) report(unreadable []error) {
	for _, err := range unreadable {
		f.Log.Warn("Entry passed over.", "error", err.Error())
	}
}

// tell logs and reports each loss and return of the store.
func (f *Follower) tell(err error) {
	reached := err == nil
	if reached == f.reached {
		return
	}
	f.reached = reached
	if reached {
		f.Log.Info("Store reached.", "revision", f.revision)
	} else {
		f.Log.Warn("Store lost.", "error", err.Error(), "revision", f.revision)
	}
	f.Reached(reached)
}
