package registry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/logging"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/internal/packetface/watchshare"
	"github.com/saltbend/saltbend/internal/seed"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/internal/wait"
	"github.com/saltbend/saltbend/platform"
)

// Intervals and time limits of a Follower.
const (
	// watchWaitMin and watchWaitMax bound how long one watch waits. A watch may miss
	// changes: the store can drop them from its history without an error, which only the
	// next watch reports.
	watchWaitMin = 1 * time.Second
	watchWaitMax = 10 * time.Second
	// watchWaitPerBalancer is the time that each balancer of the fleet adds to the wait.
	// In each such interval one balancer begins a watch, whatever the size of the fleet,
	// and agents pass a newer version from this balancer to the others.
	watchWaitPerBalancer = 500 * time.Millisecond
	// hintMinWatchAge is the age from which a watch is cancelled by a hint. A younger
	// watch is about to return the change that the hint concerns. hintMinWatchAge is also
	// how long a follower with a source waits after a hint before it reads the store.
	hintMinWatchAge = 300 * time.Millisecond
	// pausePerBalancer is the time that each balancer of the fleet adds to the pause
	// after a watch that returned changes, between pauseMin and pauseMax. The pause
	// lets a burst of changes cost few calls, whatever the size of the fleet.
	pausePerBalancer = 50 * time.Millisecond
	pauseMin         = 150 * time.Millisecond
	pauseMax         = 1200 * time.Millisecond
	// retryPerBalancer is the time that each balancer of the fleet adds to the pause
	// after a failed call, if no other balancer shares the watch of this one.
	retryPerBalancer = 50 * time.Millisecond
	// sharedRetryPause is the pause after the first failed call if others share the watch
	// of this balancer.
	sharedRetryPause = 20 * time.Millisecond
	// confirmWait is how long the first watch waits after the source was abandoned. The
	// answer to this watch shows other balancers at once that this balancer reaches the
	// store.
	confirmWait = time.Millisecond
)

// rejectedEntries counts entries of the store that were ignored because no agent wrote
// them, and configurations that were ignored because a newer one is known.
var rejectedEntries = metrics.NewCounter(`saltbend_packet_entries_passed_over_total`)

// allKeys is the prefix of all keys. One watch covers the configuration and the agents.
const allKeys = ""

// Follower maintains a balancer's copy of the store. It watches the store, or fetches the
// changes from another balancer that does.
type Follower struct {
	Store *platform.Store
	Log   *slog.Logger
	// Changed is called with each new state of the copy, from one goroutine.
	Changed func(*Listing)
	// Reached is called when the store stops answering (false) or answers again (true).
	Reached func(bool)
	// Answered is called after each successful step of Run: a call of the store, or changes
	// fetched from the source.
	Answered func()
	// Known returns all agents that this balancer knows, including those that the store
	// does not list.
	Known func() []steer.Agent
	// Unlisted returns the known agents that the store does not list.
	Unlisted func() []steer.Agent
	// AgentsReceived is called once, after the first listing, with the agents that other
	// balancers returned.
	AgentsReceived func([]steer.Agent)
	// Balancers returns the number of balancers that follow the store.
	Balancers func() int
	// Shared reports whether others rely on the watches of this process; nil means never.
	Shared func() bool
	// AwaitSource makes Run load the first listing from another balancer: it waits for
	// SetSource, or for ReadStore if there is no balancer to listen to.
	AwaitSource bool
	// Snapshots is set if the store may hold a snapshot because the whole system has run
	// before.
	Snapshots bool

	listing *Listing
	// watchFrom is the position after which the next watch returns changes.
	watchFrom store.Position
	reached   bool
	// settleAt is the earliest time at which this process may record the listing's era as
	// settled.
	settleAt time.Time
	// settledLogged is whether the era was settled when that was logged last.
	settledLogged bool
	// reachedReported is set once the first failure or answer of the store has been
	// reported. noListingLogged is set once the failure of all seeds to return a listing
	// has been logged.
	reachedReported, noListingLogged bool
	hints                            chan struct{}
	// hintedVersion is the highest configuration version that a hint has named.
	hintedVersion atomic.Uint64
	// sourceSignal is signalled when the source announces changes or is replaced.
	sourceSignal chan struct{}
	// source is the balancer to fetch changes from, invalid while the store is watched.
	source atomic.Pointer[netip.AddrPort]
	// readStore is signalled by ReadStore, to end the wait for the first source.
	readStore chan struct{}
	// snapshot describes the snapshot in the store.
	snapshot snapshot
	// unconfirmed is set if the store has not answered since a source was abandoned.
	unconfirmed atomic.Bool
	// initialSource is the balancer that the first listing came from, invalid if it came
	// from the store.
	initialSource netip.AddrPort
	// agentsReceived is set before AgentsReceived is called.
	agentsReceived atomic.Bool
	// recent holds the most recent changes.
	recent changes
	// published holds the newest listing and the most recent changes for other balancers.
	published atomic.Pointer[changeLog]
	// deliveredAsOf is the position of the last listing for which Changed has returned, 0
	// if there is none.
	deliveredAsOf atomic.Uint64
	// peer is a balancer with a newer version than this one.
	peer  atomic.Pointer[netip.AddrPort]
	seeds atomic.Pointer[[]netip.AddrPort]
	peers http.Client
	// agents is the last answer with all known agents, created at agentsAt; agentsMu
	// guards both.
	agentsMu sync.Mutex
	agents   *document
	agentsAt time.Time
	// loggedErrors holds the errors of ignored entries that have been logged.
	loggedErrors logging.Once
}

// NewFollower returns a Follower. Its callbacks must be set before Run.
func NewFollower(s *platform.Store, log *slog.Logger) *Follower {
	return &Follower{
		Store: s, Log: log, settledLogged: true,
		hints: make(chan struct{}, 1), sourceSignal: make(chan struct{}, 1), readStore: make(chan struct{}, 1),
	}
}

// Hint signals that a newer version of the configuration or of the agent list exists.
// version is the configuration's, 0 if not known; peer is a balancer that has the newer
// version, invalid if not known.
func (f *Follower) Hint(peer netip.AddrPort, version uint64) {
	if peer.IsValid() {
		f.peer.Store(&peer)
	}
	f.hintedVersion.Store(max(version, f.hintedVersion.Load())) // Hint is called from one goroutine only
	signal(f.hints)
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := seed.Backoff{Min: retryMin, Max: retryMax}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for ctx.Err() == nil {
		f.settle(ctx)
		f.writeSnapshot(ctx)
		first := f.listing == nil
		err := f.step(ctx)
		if first && f.listing != nil {
			go f.askAgents(ctx, f.initialSource, f.listing.AsOf)
		}
		if err == nil {
			f.reportReached(nil)
			backoff.Reset()
			continue
		}
		pause := f.retryAfter(&backoff, random)
		f.reportReached(err)
		if f.clearHint() {
			f.mergeFromPeer(ctx)
		}
		f.waitToRetry(ctx, pause)
	}
}

// retryAfter returns the pause after a failed call. Other balancers abandon a source that
// has had no answer of the store for 2 s, and a watch that fails may have waited for most
// of that time; so a balancer whose watch others share retries at once. The pauses of
// the balancers whose watches nobody shares together allow some 20 calls a second,
// whatever the size of the fleet: the first balancer that the store answers informs the
// others.
func (f *Follower) retryAfter(backoff *seed.Backoff, random *rand.Rand) time.Duration {
	shared, firstFailure := f.isShared(), f.reachedReported && f.reached
	switch {
	case shared && firstFailure:
		return sharedRetryPause
	case f.Shared == nil || shared || f.listing == nil:
		return backoff.Next(random)
	}
	longest := time.Duration(f.Balancers()) * retryPerBalancer
	return max(backoff.Next(random), longest/2+rand.N(longest/2+1))
}

// waitToRetry waits for the pause to end, or until there is a source. On a hint it merges
// the listing of the peer that the hint named.
func (f *Follower) waitToRetry(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case <-f.hints:
			f.mergeFromPeer(ctx)
		case <-f.sourceSignal:
			if _, listens := f.currentSource(); listens {
				signal(f.sourceSignal) // the source may have newer changes
				return
			}
		}
	}
}

// step loads the first listing, or waits for changes if there is one.
func (f *Follower) step(ctx context.Context) error {
	if f.listing == nil {
		return f.load(ctx)
	}
	if source, ok := f.currentSource(); ok {
		return f.followSource(ctx, source)
	}
	changes, asOf, hinted, err := f.watch(ctx)
	if errors.Is(err, errSourceAvailable) {
		return nil
	}
	if hinted {
		return f.readAfterHint(ctx)
	}
	if errors.Is(err, platform.ErrCompacted) {
		f.Log.Info("History is gone, reading everything.", "at", f.watchFrom)
		return f.read(ctx)
	}
	if err != nil {
		return err
	}
	if !asOf.SameEra(f.knownPosition()) {
		return f.read(ctx) // a restore of the store lost some changes, or the answer is of an earlier era
	}
	f.watchFrom = asOf
	changes = f.filterSnapshot(changes)
	if len(changes) == 0 {
		return nil
	}
	f.apply(changes, asOf)
	_ = wait.For(ctx, f.pause()) // Run checks whether ctx has ended
	return nil
}

// pause returns how long changes accumulate before the next watch.
func (f *Follower) pause() time.Duration {
	if f.isShared() {
		return pauseMin
	}
	return min(max(time.Duration(f.Balancers())*pausePerBalancer, pauseMin), pauseMax)
}

func (f *Follower) isShared() bool { return f.Shared != nil && f.Shared() }

// watch waits for changes of the store. The wait is cancelled when there is a source, and
// by a hint once the wait has lasted for hintMinWatchAge.
func (f *Follower) watch(ctx context.Context) (changes []platform.Item, asOf store.Position, hinted bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan interruption, 1)
	go func() { ended <- f.awaitInterruption(ctx, cancel) }()
	changes, asOf, err = f.Store.Watch(ctx, allKeys, f.watchFrom, f.watchWait())
	cancel()
	why := <-ended
	if err != nil && why == interruptedBySource {
		err = errSourceAvailable
	}
	return changes, asOf, err != nil && why == interruptedByHint, err
}

// interruption is the reason for which a watch was cancelled.
type interruption uint8

const (
	notInterrupted interruption = iota
	interruptedByHint
	interruptedBySource
)

// awaitInterruption cancels a watch when there is a source, or on a hint once the watch is
// older than hintMinWatchAge. It returns the reason for the cancellation.
func (f *Follower) awaitInterruption(ctx context.Context, cancel context.CancelFunc) interruption {
	defer cancel()
	timer := time.NewTimer(hintMinWatchAge)
	defer timer.Stop()
	var hints <-chan struct{}
	for {
		select {
		case <-ctx.Done():
			return notInterrupted
		case <-timer.C:
			hints = f.hints
		case <-hints:
			return interruptedByHint
		case <-f.sourceSignal:
			if _, ok := f.currentSource(); ok {
				signal(f.sourceSignal) // the source may have newer changes
				return interruptedBySource
			}
		}
	}
}

// watchWait returns how long the next watch waits, randomized so that the watches of
// balancers do not synchronize.
func (f *Follower) watchWait() time.Duration {
	if f.unconfirmed.Swap(false) {
		return confirmWait
	}
	wait := min(max(time.Duration(f.Balancers())*watchWaitPerBalancer, watchWaitMin), watchWaitMax)
	if f.isShared() {
		wait = watchshare.WatchWait
	}
	return wait*3/4 + rand.N(wait/4)
}

func (f *Follower) read(ctx context.Context) error {
	all, asOf, err := f.Store.Range(ctx, allKeys)
	if err != nil {
		return err
	}
	return f.acceptReading(all, asOf)
}

// readAfterHint reads all keys. If the store does not answer, or returns a configuration
// older than the hinted one, readAfterHint fetches the listing of the peer that the hint
// named. A store restored from an older copy has an older configuration until operators
// write the current one again.
func (f *Follower) readAfterHint(ctx context.Context) error {
	err := f.read(ctx)
	if err != nil || f.olderThanHinted() {
		f.mergeFromPeer(ctx)
	}
	return err
}

// olderThanHinted reports whether the configuration is older than one that a hint named.
func (f *Follower) olderThanHinted() bool {
	return platform.ConfigurationVersion(f.listing.Config) < f.hintedVersion.Load()
}

// acceptReading replaces the listing by all keys that the store returned, unless they are
// of an earlier era than the listing.
func (f *Follower) acceptReading(all []platform.Item, asOf store.Position) error {
	if before := f.knownPosition(); asOf.Era() < before.Era() {
		return errors.Wrapf(store.ErrUnavailable, "registry: store answered at %s, of an earlier era than the known %s", asOf, before)
	}
	f.replaceListing(all, asOf)
	f.Log.Info("Store read.", "as_of", asOf, "agents", len(f.listing.agents), "config_at", f.listing.ConfigAt)
	return nil
}

// knownPosition returns the position up to which every change is known, 0 before the
// first listing.
func (f *Follower) knownPosition() store.Position {
	if f.listing == nil {
		return 0
	}
	return f.listing.AsOf
}

// replaceListing replaces the listing by all keys as of a position.
func (f *Follower) replaceListing(all []platform.Item, asOf store.Position) {
	all = f.filterSnapshot(all)
	listing, unreadable := NewListing(all, asOf)
	f.report(unreadable)
	before := f.summary()
	if f.listing != nil {
		f.recordDifferences(all, asOf)
		listing.Inherit(f.listing)
	} else {
		f.recent = changes{from: asOf, to: asOf}
	}
	f.listing, f.watchFrom = listing, asOf
	f.noteEra(before)
	f.clearHint()
	f.deliver()
}

// recordDifferences adds the differences between all keys and the previous listing to the
// recent changes. Without the differences, all listeners would request the full listing
// whenever the store drops its history.
func (f *Follower) recordDifferences(all []platform.Item, asOf store.Position) {
	if !asOf.SameEra(f.recent.to) || asOf < f.recent.to {
		f.recent = changes{from: asOf, to: asOf}
		return
	}
	f.recent.add(f.listing.differences(all, f.recent.to, asOf), asOf, len(all))
}

// deliver publishes the newest listing to other balancers and passes it to Changed.
func (f *Follower) deliver() {
	shared := f.listing.Shared()
	f.published.Store(&changeLog{shared: &shared, changes: f.recent})
	f.logSettled()
	f.Changed(f.listing)
	f.deliveredAsOf.Store(uint64(f.listing.AsOf))
}

// clearHint discards a pending hint and reports whether there was one.
func (f *Follower) clearHint() bool {
	select {
	case <-f.hints:
		return true
	default:
		return false
	}
}

// report counts the errors of ignored entries, and logs each distinct one once.
func (f *Follower) report(unreadable []error) {
	for _, err := range unreadable {
		rejectedEntries.Inc()
		if f.loggedErrors.First(err.Error()) {
			f.Log.Warn("Store entry ignored.", "error", err.Error())
		}
	}
}

// reportReached logs and reports when calls begin to fail or succeed again.
func (f *Follower) reportReached(err error) {
	reached := err == nil
	if reached {
		f.Answered()
	}
	if f.reachedReported && reached == f.reached {
		return
	}
	f.reachedReported, f.reached = true, reached
	if reached {
		f.Log.Info("Store reached.", "at", f.watchFrom)
	} else {
		f.Log.Warn("Store lost.", "error", err.Error(), "at", f.watchFrom)
	}
	f.Reached(reached)
}
