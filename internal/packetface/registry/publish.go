package registry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/seed"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

// Bounds of the pause between retries while the store does not answer.
const (
	retryMin = 200 * time.Millisecond
	retryMax = 1 * time.Second
)

// verifyWindow is the time over which agents spread the reading of their entries after
// the store was restored from an older copy: 6,100 agents make 3,050 calls a second, half
// of what the store of a fleet of 59 hosts allows. Agents whose entries balancers miss
// get a hint and read at once.
const verifyWindow = 2 * time.Second

// agentRestores counts restores of the store from an older copy that an agent has
// detected.
var agentRestores = metrics.NewCounter(`saltbend_packet_entry_returns_total`)

// EntryKeeper maintains the entry of an agent in the store.
type EntryKeeper struct {
	Log *slog.Logger
	// Clock returns the time since the process started.
	Clock func() time.Duration

	// MinLease is the shortest lease that the store grants.
	MinLease time.Duration
	// PositionObserved is called with the store's position whenever this process has observed a newer
	// one. All entries up to that position may then be in the store.
	PositionObserved func(at store.Position)

	routes       storeRoutes
	publisher    *Publisher
	entryUpdates chan *Entry
	hints        chan struct{}
	idleSignals  chan struct{}
	eras         chan uint64
	failing      bool
	// entry is the wanted entry, nil for none. inherited is the entry that the previous
	// process left.
	entry     *Entry
	inherited Entry
	// noCallDue is set while no call is due.
	noCallDue atomic.Bool
}

// NewAgent returns an Agent that maintains the entry at the address of self. Seen must be
// set before Run.
func NewAgent(s *platform.Store, log *slog.Logger, clock func() time.Duration, self Entry) *EntryKeeper {
	return &EntryKeeper{
		routes: newStoreRoutes(s), Log: log, Clock: clock, publisher: NewPublisher(agentKey(self.Addr)),
		entryUpdates: make(chan *Entry, 1), hints: make(chan struct{}, 1), idleSignals: make(chan struct{}, 1),
		eras: make(chan uint64, 1),
	}
}

// SetSeeds sets the control addresses of balancers that relay calls while the store
// refuses those of this host. They may be down.
func (a *EntryKeeper) SetSeeds(seeds []netip.AddrPort) { a.routes.setSeeds(seeds) }

// SetEntry sets the entry that should be in the store, nil for none.
func (a *EntryKeeper) SetEntry(entry *Entry) {
	select {
	case <-a.entryUpdates: // replaced by the newer one
	default:
	}
	a.entryUpdates <- entry
	a.noCallDue.Store(false)
}

// Inherit makes Run reuse the entry that the previous process left at the address. It
// must be called before Run.
func (a *EntryKeeper) Inherit() { a.publisher.Inherit() }

// NoCallDue reports whether no call was due when Run last checked.
func (a *EntryKeeper) NoCallDue() bool { return a.noCallDue.Load() }

// EntryMissing signals that, according to a balancer, the entry is missing in the store.
func (a *EntryKeeper) EntryMissing() { signal(a.hints) }

// ObserveEra passes on an era of the store that balancers have observed. It must be called from
// one goroutine only.
func (a *EntryKeeper) ObserveEra(era uint64) {
	select {
	case <-a.eras: // replaced by the newer one
	default:
	}
	a.eras <- era
}

// NotContacted signals that no balancer has contacted the agent for a while.
func (a *EntryKeeper) NotContacted() { signal(a.idleSignals) }

// signal sends to a channel of capacity 1 unless a signal is already pending.
func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Run makes the due calls until ctx ends.
func (a *EntryKeeper) Run(ctx context.Context) {
	backoff := seed.Backoff{Min: retryMin, Max: retryMax}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for ctx.Err() == nil {
		wait := a.publisher.Due(a.Clock())
		step := a.publisher.Next(a.Clock())
		a.noCallDue.Store(step == StepNone && len(a.entryUpdates) == 0)
		if step != StepNone {
			if err := a.call(ctx, step); err == nil {
				backoff.Reset()
				continue
			}
			wait = backoff.Next(random)
		}
		a.wait(ctx, wait)
	}
}

func (a *EntryKeeper) wait(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-a.hints:
		a.publisher.Hint(a.Clock())
	case <-a.idleSignals:
		a.publisher.Idle(a.Clock())
	case era := <-a.eras:
		a.observeEra(era, rand.N(verifyWindow))
	case a.entry = <-a.entryUpdates:
		a.updateWanted()
	}
}

// updateWanted passes the wanted entry to the publisher. It keeps the warm-up time that
// the previous process observed if that was longer.
func (a *EntryKeeper) updateWanted() {
	if a.entry == nil {
		a.publisher.Want(nil)
		return
	}
	entry := *a.entry
	if entry.Service == a.inherited.Service {
		entry.WarmupMS = max(entry.WarmupMS, a.inherited.WarmupMS)
	}
	a.publisher.Want(entry.encode())
}

// useInherited stores the entry of the previous process, and applies its warm-up time to
// the wanted entry.
func (a *EntryKeeper) useInherited(item platform.Item) {
	entry, err := decodeEntry(item)
	if err != nil {
		return // an invalid entry is overwritten
	}
	a.inherited = entry
	if a.entry != nil {
		a.updateWanted()
	}
}

// observeEra passes an era to the publisher. It logs and counts a restore of the store
// from an older copy that the era reveals.
func (a *EntryKeeper) observeEra(era uint64, within time.Duration) {
	p := a.publisher
	before := p.era
	p.ObserveEra(a.Clock(), era, within)
	if p.restored && p.era != before {
		agentRestores.Inc()
		a.Log.Warn("Store came back older; the entry will be read again.", "era_before", before, "era", era,
			"listed", p.Listed(), "at", p.at, "lease", p.lease.ID, "within_ms", within.Milliseconds())
	}
}

// call makes one call and passes its outcome to the publisher, after the era that the
// answer named.
func (a *EntryKeeper) call(ctx context.Context, step Step) (err error) {
	sent := a.Clock()
	listed, seen := a.publisher.Listed(), a.publisher.asOf
	calls := a.routes.store(sent)
	switch step {
	case StepGrant:
		var lease platform.Lease
		lease, err = calls.Grant(ctx, max(leaseTTL, a.MinLease))
		a.observeAnswerEra()
		if err == nil {
			a.publisher.Granted(lease, sent)
		}
	case StepRead:
		err = a.read(ctx, calls)
	case StepWrite:
		var at store.Position
		w := a.publisher.Write()
		at, err = a.write(ctx, calls, w)
		a.publisher.Wrote(w.Value, at, err)
		if errors.Is(err, store.ErrConflict) {
			err = nil // the store has answered; the publisher reads the key next
		}
	case StepEnd:
		err = calls.End(ctx, a.publisher.lease.ID)
		a.observeAnswerEra()
		a.publisher.Ended(err)
	case StepRenew:
		err = calls.Renew(ctx, a.publisher.lease.ID)
		a.observeAnswerEra()
		a.publisher.Renewed(err, sent)
	}
	if err != nil && !a.routes.skipWriters && !errors.Is(err, platform.ErrLeaseEnded) {
		a.routes.useNext(a.Clock())
	}
	a.logOutcome(step, listed, err)
	if a.publisher.asOf > seen {
		a.PositionObserved(a.publisher.asOf)
	}
	return err
}

// write sends the entry to a balancer, which combines the writes of many agents into one
// call. If no balancer has accepted the write, it calls the store on the current route.
func (a *EntryKeeper) write(ctx context.Context, calls *platform.Store, w platform.Write) (at store.Position, err error) {
	at, err = a.routes.writeViaBalancer(ctx, w)
	if !errors.Is(err, errNotSent) {
		a.observeEra(at.Era(), 0)
		if err == nil && at.Era() < a.publisher.era {
			err = errors.Wrapf(store.ErrOutcomeUnknown, "registry: write acknowledged at %s, but the store is already in era %d", at, a.publisher.era)
		}
		return at, err
	}
	if a.routes.current == 0 && !errors.Is(err, errNoWriter) {
		a.Log.Info("No balancer accepted the entry; writing it to the store directly.", "error", err.Error())
	}
	at, err = calls.Apply(ctx, w)
	a.observeAnswerEra()
	return at, err
}

// read reads the entry from the store.
func (a *EntryKeeper) read(ctx context.Context, calls *platform.Store) error {
	item, asOf, err := calls.Get(ctx, a.publisher.key)
	a.observeAnswerEra()
	inherits := a.publisher.inherit
	a.publisher.Read(item, asOf, err)
	if inherits && err == nil {
		a.useInherited(item)
	}
	if errors.Is(err, store.ErrNotFound) {
		return nil // the store has answered
	}
	return err
}

// observeAnswerEra observes the era that the latest answer of the store named.
func (a *EntryKeeper) observeAnswerEra() { a.observeEra(a.routes.direct.Era(), 0) }

// logOutcome logs changes of the entry, and when calls begin to fail or succeed again.
func (a *EntryKeeper) logOutcome(step Step, listed bool, err error) {
	p := a.publisher
	if err != nil {
		if !a.failing {
			a.Log.Warn("Store call failed.", "step", step.String(), "error", err.Error(), "listed", p.Listed())
		}
		a.failing = true
		return
	}
	if a.failing {
		a.failing = false
		a.Log.Info("Store answers again.", "step", step.String())
	}
	if step != StepRenew || listed != p.Listed() {
		a.Log.Info("Store call for the entry succeeded.", "step", step.String(), "listed", p.Listed(), "at", p.at, "lease", p.lease.ID, "by_way_of_seed", a.routes.current)
	}
}
