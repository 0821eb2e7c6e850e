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
	// watchLeast and watchMost bound how long one watch waits. A watch may be
	// deaf: the store can drop changes from its history unheard, and only the
	// next watch is told.
	watchLeast = 1 * time.Second
	watchMost  = 10 * time.Second
	// watchPart is the time that each balancer of the fleet adds to the wait:
	// one of them begins a watch in each such time, however many they are, and
	// the others hear of a newer version from it by way of the agents.
	watchPart = 500 * time.Millisecond
	// hintAfter is the age of a watch from which on a hint ends it: a younger
	// one is about to tell the same.
	hintAfter = 300 * time.Millisecond
	// pausePart is the time that each balancer of the fleet adds to the pause
	// after a watch that brought changes, within pauseLeast and pauseMost: a
	// storm of changes costs few calls, whatever the size of the fleet.
	pausePart  = 50 * time.Millisecond
	pauseLeast = 150 * time.Millisecond
	pauseMost  = 1200 * time.Millisecond
	// retryPart is the time that each balancer of the fleet adds to the pause after a
	// failed call of one that nobody relies on.
	retryPart = 50 * time.Millisecond
	// retryAtOnce is the pause after the first failed call of one that others rely on.
	retryAtOnce = 20 * time.Millisecond
	// confirmWait is how long the first watch waits after a source was given up: its
	// answer tells others at once that this balancer hears the store.
	confirmWait = time.Millisecond
)

// passedOver counts entries that no agent wrote.
var passedOver = metrics.NewCounter(`saltbend_packet_entries_passed_over_total`)

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
	// at is the store's position from which the next watch goes on.
	at      store.Position
	reached bool
	// settleAt is when this process may note the listing's era as settled.
	settleAt time.Time
	// settled tells that it was settled when others were told last.
	settled bool
	// told tells that the first loss or answer of the store has been told,
	// seedless that the seeds were found to know nothing.
	told, seedless bool
	hints          chan struct{}
	// hinted is the highest version of the configuration that was hinted at.
	hinted atomic.Uint64
	// news rings when the balancer that is listened to has news, or is another.
	news chan struct{}
	// source is the balancer that is listened to, none while the store is watched.
	source atomic.Pointer[netip.AddrPort]
	// readStore rings when there is none at the start; unconfirmed tells that the
	// store has not answered since a source was given up.
	readStore chan struct{}
	// snapshot is what is known of the one in the store.
	snapshot    snapshot
	unconfirmed atomic.Bool
	// begunWith is the balancer that the first listing came from, invalid for the store;
	// heardOfAgents tells that Asked was called.
	begunWith     netip.AddrPort
	heardOfAgents atomic.Bool
	// kept are the last changes; log has them with the newest listing, for peers;
	// peer is a balancer that knows more than this one.
	kept changes
	log  atomic.Pointer[changeLog]
	// handedOn is the position of the last listing that Changed has taken, 0 for none.
	handedOn atomic.Uint64
	peer     atomic.Pointer[netip.AddrPort]
	seeds    atomic.Pointer[[]netip.AddrPort]
	peers    http.Client
	// agents is the last answer with all known agents, of agentsAt; agentsMu guards both.
	agentsMu sync.Mutex
	agents   *document
	agentsAt time.Time
	// foreign are the entries of other writers that were told of.
	foreign logging.Once
}

// NewFollower returns a Follower; set its callbacks before Run.
func NewFollower(s *platform.Store, log *slog.Logger) *Follower {
	return &Follower{
		Store: s, Log: log, settled: true,
		hints: make(chan struct{}, 1), news: make(chan struct{}, 1), readStore: make(chan struct{}, 1),
	}
}

// Hint tells that someone has heard of a newer version of the configuration, 0 for none,
// or of the agents, and which balancer knows it, if that is known.
func (f *Follower) Hint(peer netip.AddrPort, version uint64) {
	if peer.IsValid() {
		f.peer.Store(&peer)
	}
	f.hinted.Store(max(version, f.hinted.Load())) // from one goroutine
	ring(f.hints)
}

// Run follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := seed.Backoff{Least: retryLeast, Most: retryMost}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for ctx.Err() == nil {
		f.settle(ctx)
		f.keepSnapshot(ctx)
		first := f.listing == nil
		err := f.step(ctx)
		if first && f.listing != nil {
			go f.askAgents(ctx, f.begunWith, f.listing.AsOf)
		}
		if err == nil {
			f.tell(nil)
			backoff.Reset()
			continue
		}
		pause := f.retryAfter(&backoff, random)
		f.tell(err)
		if f.takeHint() {
			f.learn(ctx)
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
	shared, firstFailure := f.isShared(), f.told && f.reached
	switch {
	case shared && firstFailure:
		return retryAtOnce
	case f.Shared == nil || shared || f.listing == nil:
		return backoff.Next(random)
	}
	longest := time.Duration(f.Balancers()) * retryPart
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
			f.learn(ctx)
		case <-f.news:
			if _, listens := f.listensTo(); listens {
				ring(f.news) // what is known there may be newer
				return
			}
		}
	}
}

// step reads everything, or watches for changes once it has.
func (f *Follower) step(ctx context.Context) error {
	if f.listing == nil {
		return f.begin(ctx)
	}
	if source, ok := f.listensTo(); ok {
		return f.listen(ctx, source)
	}
	changes, asOf, hinted, err := f.watch(ctx)
	if errors.Is(err, errStopsWatching) {
		return nil
	}
	if hinted {
		return f.readAfterHint(ctx)
	}
	if errors.Is(err, platform.ErrCompacted) {
		f.Log.Info("History is gone, reading everything.", "at", f.at)
		return f.read(ctx)
	}
	if err != nil {
		return err
	}
	if !asOf.SameEra(f.known()) {
		return f.read(ctx) // the changes are not all that there were since, or are of an era before
	}
	f.at = asOf
	changes = f.takeSnapshot(changes)
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
		return pauseLeast
	}
	return min(max(time.Duration(f.Balancers())*pausePart, pauseLeast), pauseMost)
}

func (f *Follower) isShared() bool { return f.Shared != nil && f.Shared() }

// watch waits for changes. A hint that comes later than hintAfter ends it, and so does
// another balancer that is to be listened to.
func (f *Follower) watch(ctx context.Context) (changes []platform.Item, asOf store.Position, hinted bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	ended := make(chan interruption, 1)
	go func() { ended <- f.awaitInterruption(ctx, cancel) }()
	changes, asOf, err = f.Store.Watch(ctx, everything, f.at, f.watchWait())
	cancel()
	why := <-ended
	if err != nil && why == interruptedBySource {
		err = errStopsWatching
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
	timer := time.NewTimer(hintAfter)
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
		case <-f.news:
			if _, ok := f.listensTo(); ok {
				ring(f.news) // what is known there may be newer
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
	wait := min(max(time.Duration(f.Balancers())*watchPart, watchLeast), watchMost)
	if f.isShared() {
		wait = watchshare.WatchWait
	}
	return wait*3/4 + rand.N(wait/4)
}

func (f *Follower) read(ctx context.Context) error {
	all, asOf, err := f.Store.Range(ctx, everything)
	if err != nil {
		return err
	}
	return f.take(all, asOf)
}

// readAfterHint reads everything, and asks the process that knows more where the store
// does not answer, or offers less than was hinted at: one that came back from a copy has
// an older configuration until operators write theirs again.
func (f *Follower) readAfterHint(ctx context.Context) error {
	err := f.read(ctx)
	if err != nil || f.lacksHinted() {
		f.learn(ctx)
	}
	return err
}

// lacksHinted reports whether the configuration is older than one that was hinted at.
func (f *Follower) lacksHinted() bool {
	return platform.ConfigurationVersion(f.listing.Config) < f.hinted.Load()
}

// take takes over a reading of everything, unless it is of an era before what is known.
func (f *Follower) take(all []platform.Item, asOf store.Position) error {
	if before := f.known(); asOf.Era() < before.Era() {
		return errors.Wrapf(store.ErrUnavailable, "registry: reading at %s, known %s", asOf, before)
	}
	f.takeWhole(all, asOf)
	f.Log.Info("Store read.", "as_of", asOf, "agents", len(f.listing.agents), "config_at", f.listing.ConfigAt)
	return nil
}

// known returns up to where every change is known, 0 before the first listing.
func (f *Follower) known() store.Position {
	if f.listing == nil {
		return 0
	}
	return f.listing.AsOf
}

// takeWhole takes over all keys as they were at a position.
func (f *Follower) takeWhole(all []platform.Item, asOf store.Position) {
	all = f.takeSnapshot(all)
	listing, unreadable := NewListing(all, asOf)
	f.report(unreadable)
	before := f.summary()
	if f.listing != nil {
		f.keepNet(all, asOf)
		listing.Inherit(f.listing)
	} else {
		f.kept = changes{from: asOf, to: asOf}
	}
	f.listing, f.at = listing, asOf
	f.noteEra(before)
	f.takeHint()
	f.changed()
}

// keepNet keeps for others what differs between a reading of everything and what was
// known before it. Without that, all listeners would ask for everything whenever the
// store drops its history.
func (f *Follower) keepNet(all []platform.Item, asOf store.Position) {
	if !asOf.SameEra(f.kept.to) || asOf < f.kept.to {
		f.kept = changes{from: asOf, to: asOf}
		return
	}
	f.kept.add(f.listing.net(all, f.kept.to, asOf), asOf, len(all))
}

// changed hands on the newest listing.
func (f *Follower) changed() {
	shared := f.listing.Shared()
	f.log.Store(&changeLog{shared: &shared, changes: f.kept})
	f.tellSettled()
	f.Changed(f.listing)
	f.handedOn.Store(uint64(f.listing.AsOf))
}

// takeHint takes a hint that came before now; it reports whether one did.
func (f *Follower) takeHint() bool {
	select {
	case <-f.hints:
		return true
	default:
		return false
	}
}

func (f *Follower) report(unreadable []error) {
	for _, err := range unreadable {
		passedOver.Inc()
		if f.foreign.First(err.Error()) {
			f.Log.Warn("Entry passed over.", "error", err.Error())
		}
	}
}

// tell logs and reports each loss and return of the store.
func (f *Follower) tell(err error) {
	reached := err == nil
	if reached {
		f.Heard()
	}
	if f.told && reached == f.reached {
		return
	}
	f.told, f.reached = true, reached
	if reached {
		f.Log.Info("Store reached.", "at", f.at)
	} else {
		f.Log.Warn("Store lost.", "error", err.Error(), "at", f.at)
	}
	f.Reached(reached)
}
