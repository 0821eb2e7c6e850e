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

// Times of following the store.
const (
	// watchWaitMin and watchMost bound how long one watch waits. A watch may be
	// deaf: the store can drop changes from its history unheard, and only the
	// next watch is told.
	watchWaitMin = 1 * time.Second
	watchWaitMax  = 10 * time.Second
	// watchWaitPerBalancer is the time that each balancer of the fleet adds to the wait:
	// one of them begins a watch in each such time, however many they are, and
	// the others hear of a newer version from it by way of the agents.
	watchWaitPerBalancer = 500 * time.Millisecond
	// hintMinWatchAge is the age of a watch from which on a hint ends it: a younger
	// one is about to tell the same.
	hintMinWatchAge = 300 * time.Millisecond
	// pausePerBalancer is the time that each balancer of the fleet adds to the pause
	// after a watch that brought changes, within pauseLeast and pauseMost: a
	// storm of changes costs few calls, whatever the size of the fleet.
	pausePerBalancer  = 50 * time.Millisecond
	pauseMin = 150 * time.Millisecond
	pauseMax  = 1200 * time.Millisecond
	// retryPerBalancer is the time that each balancer of the fleet adds to the pause after a
	// failed call of one that nobody relies on.
	retryPerBalancer = 50 * time.Millisecond
	// sharedRetryPause is the pause after the first failed call of one that others rely on.
	sharedRetryPause = 20 * time.Millisecond
	// confirmWait is how long the first watch waits after a source was given up: its
	// answer tells others at once that this balancer hears the store.
	confirmWait = time.Millisecond
)

// rejectedEntries counts entries that no agent wrote.
var rejectedEntries = metrics.NewCounter(`saltbend_packet_entries_passed_over_total`)

// allKeys is the prefix of all keys: one watch serves the configuration and
// the agents.
const allKeys = ""

// Follower keeps a balancer's copy of what the store holds.
type Follower struct {
	Store *platform.Store
	Log   *slog.Logger
	// Changed is called with each new state of the copy, from one goroutine.
	Changed func(*Listing)
	// Reached is called when the store was lost or answers again.
	Reached func(bool)
	// Heard is called whenever the store has answered.
	Heard func()
	// Known returns all agents that this balancer knows, whether the store lists
	// them or not.
	Known func() []steer.Agent
	// Unlisted returns those that the store does not list.
	Unlisted func() []steer.Agent
	// Asked is called once others have been asked, after the first listing, with the
	// agents that they know.
	Asked func([]steer.Agent)
	// Balancers returns the number of balancers that follow the store.
	Balancers func() int
	// Shared reports whether others rely on this process's watches, nil for never.
	Shared func() bool
	// AwaitSource tells that Run begins with what another balancer knows: it waits for
	// Listen, or for ReadStore if there is none to listen to.
	AwaitSource bool
	// Snapshots tells that the store may hold a snapshot: the whole system has run before.
	Snapshots bool

	listing *Listing
	// watchFrom is the store's position from which the next watch goes on.
	watchFrom      store.Position
	reached bool
	// settleAt is when this process may note the listing's era as settled.
	settleAt time.Time
	// settledLogged tells that it was settledLogged when others were told last.
	settledLogged bool
	// reachedReported tells that the first loss or answer of the store has been reachedReported,
	// noListingLogged that the seeds were found to know nothing.
	reachedReported, noListingLogged bool
	hints          chan struct{}
	// hintedVersion is the highest version of the configuration that was hintedVersion at.
	hintedVersion atomic.Uint64
	// sourceSignal rings when the balancer that is listened to has sourceSignal, or is another.
	sourceSignal chan struct{}
	// source is the balancer that is listened to, none while the store is watched.
	source atomic.Pointer[netip.AddrPort]
	// readStore rings when there is none at the start; unconfirmed tells that the
	// store has not answered since a source was given up.
	readStore chan struct{}
	// snapshot is what is known of the one in the store.
	snapshot    snapshot
	unconfirmed atomic.Bool
	// initialSource is the balancer that the first listing came from, invalid for the store;
	// heardOfAgents tells that Asked was called.
	initialSource     netip.AddrPort
	agentsReceived atomic.Bool
	// recent are the last changes; log has them with the newest listing, for peers;
	// peer is a balancer that knows more than this one.
	recent changes
	published  atomic.Pointer[changeLog]
	// deliveredAsOf is the position of the last listing that Changed has taken, 0 for none.
	deliveredAsOf atomic.Uint64
	peer     atomic.Pointer[netip.AddrPort]
	seeds    atomic.Pointer[[]netip.AddrPort]
	peers    http.Client
	// agents is the last answer with all known agents, of agentsAt; agentsMu guards both.
	agentsMu sync.Mutex
	agents   *document
	agentsAt time.Time
	// loggedErrors are the entries of other writers that were told of.
	loggedErrors logging.Once
}

// NewFollower returns a Follower; set its callbacks before Run.
func NewFollower(s *platform.Store, log *slog.Logger) *Follower {
	return &Follower{
		Store: s, Log: log, settledLogged: true,
		hints: make(chan struct{}, 1), sourceSignal: make(chan struct{}, 1), readStore: make(chan struct{}, 1),
	}
}

// Hint tells that someone has heard of a newer version of the configuration, 0 for none,
// or of the agents, and which balancer knows it, if that is known.
func (f *Follower) Hint(peer netip.AddrPort, version uint64) {
	if peer.IsValid() {
		f.peer.Store(&peer)
	}
	f.hintedVersion.Store(max(version, f.hintedVersion.Load())) // from one goroutine
	signal(f.hints)
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := seed.Backoff{Least: retryMin, Most: retryMax}
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

// retryAfter returns the pause after a failed call. Others give up a balancer that has not
// heard the store for 2 s, and a watch that is cut may have waited for most of them: so
// one that they rely on tries again at once. While nobody relies on this process the
// pauses of all balancers together make some 20 calls a second, however many they are: the
// first that the store answers tells the others.
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

// waitToRetry waits until the store is to be tried again, or another balancer is to be
// listened to. A hint that comes meanwhile is followed to the process that knows more.
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
				signal(f.sourceSignal) // what is known there may be newer
				return
			}
		}
	}
}

// step reads everything, or watches for changes once it has.
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
		return f.read(ctx) // the changes are not all that there were since, or are of an era before
	}
	f.watchFrom = asOf
	changes = f.filterSnapshot(changes)
	if len(changes) == 0 {
		return nil
	}
	f.apply(changes, asOf)
	_ = wait.For(ctx, f.pause()) // the caller's loop sees the end of ctx
	return nil
}

// pause returns how long changes are collected before the next watch.
func (f *Follower) pause() time.Duration {
	if f.isShared() {
		return pauseMin
	}
	return min(max(time.Duration(f.Balancers())*pausePerBalancer, pauseMin), pauseMax)
}

func (f *Follower) isShared() bool { return f.Shared != nil && f.Shared() }

// watch waits for changes. A hint that comes later than hintAfter ends it, and so does
// another balancer that is to be listened to.
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

// interruption says why a watch was ended before its time.
type interruption uint8

const (
	notInterrupted interruption = iota
	interruptedByHint
	interruptedBySource
)

// awaitInterruption cancels a watch on a hint, once it is older than hintAfter, or when
// another balancer is to be listened to; it reports why.
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
				signal(f.sourceSignal) // what is known there may be newer
				return interruptedBySource
			}
		}
	}
}

// watchWait returns how long the next watch waits, spread so that balancers do
// not fall into step.
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

// readAfterHint reads everything, and asks the process that knows more where the store
// does not answer, or offers less than was hinted at: one that came back from a copy has
// an older configuration until operators write theirs again.
func (f *Follower) readAfterHint(ctx context.Context) error {
	err := f.read(ctx)
	if err != nil || f.olderThanHinted() {
		f.mergeFromPeer(ctx)
	}
	return err
}

// olderThanHinted reports whether the configuration is older than one that was hinted at.
func (f *Follower) olderThanHinted() bool {
	return platform.ConfigurationVersion(f.listing.Config) < f.hintedVersion.Load()
}

// acceptReading takes over a reading of everything, unless it is of an era before what is known.
func (f *Follower) acceptReading(all []platform.Item, asOf store.Position) error {
	if before := f.knownPosition(); asOf.Era() < before.Era() {
		return errors.Wrapf(store.ErrUnavailable, "registry: reading at %s, known %s", asOf, before)
	}
	f.replaceListing(all, asOf)
	f.Log.Info("Store read.", "as_of", asOf, "agents", len(f.listing.agents), "config_at", f.listing.ConfigAt)
	return nil
}

// knownPosition returns up to where every change is knownPosition, 0 before the first listing.
func (f *Follower) knownPosition() store.Position {
	if f.listing == nil {
		return 0
	}
	return f.listing.AsOf
}

// replaceListing takes over all keys as they were at a position.
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

// recordDifferences keeps for others what differs between a reading of everything and what was
// known before it. Without that, all listeners would ask for everything whenever the
// store drops its history.
func (f *Follower) recordDifferences(all []platform.Item, asOf store.Position) {
	if !asOf.SameEra(f.recent.to) || asOf < f.recent.to {
		f.recent = changes{from: asOf, to: asOf}
		return
	}
	f.recent.add(f.listing.differences(all, f.recent.to, asOf), asOf, len(all))
}

// deliver hands on the newest listing.
func (f *Follower) deliver() {
	shared := f.listing.Shared()
	f.published.Store(&changeLog{shared: &shared, changes: f.recent})
	f.logSettled()
	f.Changed(f.listing)
	f.deliveredAsOf.Store(uint64(f.listing.AsOf))
}

// clearHint takes a hint that came before now; it reports whether one did.
func (f *Follower) clearHint() bool {
	select {
	case <-f.hints:
		return true
	default:
		return false
	}
}

func (f *Follower) report(unreadable []error) {
	for _, err := range unreadable {
		rejectedEntries.Inc()
		if f.loggedErrors.First(err.Error()) {
			f.Log.Warn("Entry passed over.", "error", err.Error())
		}
	}
}

// reportReached logs and reports each loss and return of the store.
func (f *Follower) reportReached(err error) {
	reached := err == nil
	if reached {
		f.Heard()
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
