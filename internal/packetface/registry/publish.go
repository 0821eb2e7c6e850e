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

// agentRestores counts how often an agent has detected that the store was restored from an
// older copy.
var agentRestores = metrics.NewCounter(`saltbend_packet_entry_returns_total`)

// EntryKeeper maintains the entry of an agent in the store.
type EntryKeeper struct {
	Log *slog.Logger
	// Clock returns the time since the process started.
	Clock func() time.Duration

	// MinLease is the shortest lease that the store grants.
	MinLease time.Duration
	// PositionObserved is called with the store's position whenever this process has
	// observed a newer position. All entries up to that position may then be in the store.
	PositionObserved func(at store.Position)

	routes              storeRoutes
	publisher           *Publisher
	entryUpdates        chan *Entry
	missingSignals      chan struct{}
	notContactedSignals chan struct{}
	eras                chan uint64
	failing             bool
	// entry is the wanted entry, nil for none.
	entry *Entry
	// inherited is the entry that the agent's previous process left in the store.
	inherited Entry
	// noCallDue is set if no call was due when Run last checked and SetEntry was not called
	// since.
	noCallDue atomic.Bool
}

// NewEntryKeeper returns an EntryKeeper that maintains the entry of the agent at self.Addr.
// PositionObserved must be set before Run.
func NewEntryKeeper(s *platform.Store, log *slog.Logger, clock func() time.Duration, self Entry) *EntryKeeper {
	return &EntryKeeper{
		routes: newStoreRoutes(s), Log: log, Clock: clock, publisher: NewPublisher(agentKey(self.Addr)),
		entryUpdates: make(chan *Entry, 1), missingSignals: make(chan struct{}, 1), notContactedSignals: make(chan struct{}, 1),
		eras: make(chan uint64, 1),
	}
}

// SetSeeds sets the control addresses of balancers that write the entry, and that relay
// calls while the store refuses the calls of this host. These balancers may be down.
func (k *EntryKeeper) SetSeeds(seeds []netip.AddrPort) { k.routes.setSeeds(seeds) }

// SetEntry sets the entry that should be in the store, nil for none.
func (k *EntryKeeper) SetEntry(entry *Entry) {
	select {
	case <-k.entryUpdates: // replaced by the newer one
	default:
	}
	k.entryUpdates <- entry
	k.noCallDue.Store(false)
}

// Inherit makes Run reuse the entry that the previous process left at the address. It
// must be called before Run.
func (k *EntryKeeper) Inherit() { k.publisher.Inherit() }

// NoCallDue reports whether no call was due when Run last checked. It is false from a call of
// SetEntry until Run checks again.
func (k *EntryKeeper) NoCallDue() bool { return k.noCallDue.Load() }

// EntryMissing signals that, according to a balancer, the entry is missing in the store.
func (k *EntryKeeper) EntryMissing() { signal(k.missingSignals) }

// ObserveEra passes on an era of the store that balancers have observed. It must be called
// from one goroutine only.
func (k *EntryKeeper) ObserveEra(era uint64) {
	select {
	case <-k.eras: // replaced by the newer one
	default:
	}
	k.eras <- era
}

// NotContacted signals that no balancer has contacted the agent for a while.
func (k *EntryKeeper) NotContacted() { signal(k.notContactedSignals) }

// signal sends to a channel of capacity 1 unless a signal is already pending.
func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Run makes the due calls until ctx ends.
func (k *EntryKeeper) Run(ctx context.Context) {
	backoff := seed.Backoff{Min: retryMin, Max: retryMax}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for ctx.Err() == nil {
		wait := k.publisher.Due(k.Clock())
		step := k.publisher.Next(k.Clock())
		k.noCallDue.Store(step == StepNone && len(k.entryUpdates) == 0)
		if step != StepNone {
			if err := k.call(ctx, step); err == nil {
				backoff.Reset()
				continue
			}
			wait = backoff.Next(random)
		}
		k.wait(ctx, wait)
	}
}

func (k *EntryKeeper) wait(ctx context.Context, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-k.missingSignals:
		k.publisher.EntryMissing(k.Clock())
	case <-k.notContactedSignals:
		k.publisher.NotContacted(k.Clock())
	case era := <-k.eras:
		k.observeEra(era, rand.N(verifyWindow))
	case k.entry = <-k.entryUpdates:
		k.updateWanted()
	}
}

// updateWanted passes the wanted entry to the publisher. It keeps the warm-up time in the
// entry of the previous process if that time is longer.
func (k *EntryKeeper) updateWanted() {
	if k.entry == nil {
		k.publisher.Want(nil)
		return
	}
	entry := *k.entry
	if entry.Service == k.inherited.Service {
		entry.WarmupMS = max(entry.WarmupMS, k.inherited.WarmupMS)
	}
	k.publisher.Want(entry.encode())
}

// useInherited stores the entry of the previous process, and applies its warm-up time to
// the wanted entry.
func (k *EntryKeeper) useInherited(item platform.Item) {
	entry, err := decodeEntry(item)
	if err != nil {
		return // an invalid entry is overwritten
	}
	k.inherited = entry
	if k.entry != nil {
		k.updateWanted()
	}
}

// observeEra passes an era to the publisher. It logs and counts a restore of the store
// from an older copy that the era reveals.
func (k *EntryKeeper) observeEra(era uint64, within time.Duration) {
	p := k.publisher
	before := p.era
	p.ObserveEra(k.Clock(), era, within)
	if p.restored && p.era != before {
		agentRestores.Inc()
		k.Log.Warn("Store came back older; the entry will be read again.", "era_before", before, "era", era,
			"listed", p.Listed(), "at", p.at, "lease", p.lease.ID, "within_ms", within.Milliseconds())
	}
}

// call makes one call of the store. It passes to the publisher first the era that the answer
// named and then the outcome.
func (k *EntryKeeper) call(ctx context.Context, step Step) (err error) {
	sent := k.Clock()
	listed, seen := k.publisher.Listed(), k.publisher.asOf
	calls := k.routes.store(sent)
	switch step {
	case StepGrant:
		var lease platform.Lease
		lease, err = calls.Grant(ctx, max(leaseTTL, k.MinLease))
		k.observeAnswerEra()
		if err == nil {
			k.publisher.Granted(lease, sent)
		}
	case StepRead:
		err = k.read(ctx, calls)
	case StepWrite:
		var at store.Position
		w := k.publisher.Write()
		at, err = k.write(ctx, calls, w)
		k.publisher.Wrote(w.Value, at, err)
		if errors.Is(err, store.ErrConflict) {
			err = nil // the store has answered; the publisher reads the key next
		}
	case StepEnd:
		err = calls.End(ctx, k.publisher.lease.ID)
		k.observeAnswerEra()
		k.publisher.Ended(err)
	case StepRenew:
		err = calls.Renew(ctx, k.publisher.lease.ID)
		k.observeAnswerEra()
		k.publisher.Renewed(err, sent)
	}
	if err != nil && !k.routes.skipWriters && !errors.Is(err, platform.ErrLeaseEnded) {
		k.routes.useNext(k.Clock())
	}
	k.logOutcome(step, listed, err)
	if k.publisher.asOf > seen {
		k.PositionObserved(k.publisher.asOf)
	}
	return err
}

// write sends the entry to a balancer, which combines the writes of many agents into one
// call. If no balancer has accepted the write, it calls the store on the current route.
func (k *EntryKeeper) write(ctx context.Context, calls *platform.Store, w platform.Write) (at store.Position, err error) {
	at, err = k.routes.writeViaBalancer(ctx, w)
	if !errors.Is(err, errNotSent) {
		k.observeEra(at.Era(), 0)
		if err == nil && at.Era() < k.publisher.era {
			err = errors.Wrapf(store.ErrOutcomeUnknown, "registry: write acknowledged at %s, but the store is already in era %d", at, k.publisher.era)
		}
		return at, err
	}
	if k.routes.current == 0 && !errors.Is(err, errNoWriter) {
		k.Log.Info("No balancer accepted the entry; writing it to the store directly.", "error", err.Error())
	}
	at, err = calls.Apply(ctx, w)
	k.observeAnswerEra()
	return at, err
}

// read reads the entry from the store.
func (k *EntryKeeper) read(ctx context.Context, calls *platform.Store) error {
	item, asOf, err := calls.Get(ctx, k.publisher.key)
	k.observeAnswerEra()
	inherits := k.publisher.inherit
	k.publisher.Read(item, asOf, err)
	if inherits && err == nil {
		k.useInherited(item)
	}
	if errors.Is(err, store.ErrNotFound) {
		return nil // the store has answered
	}
	return err
}

// observeAnswerEra observes the era that the latest answer of the store named.
func (k *EntryKeeper) observeAnswerEra() { k.observeEra(k.routes.direct.Era(), 0) }

// logOutcome logs changes of the entry, and when calls begin to fail or succeed again.
func (k *EntryKeeper) logOutcome(step Step, listed bool, err error) {
	p := k.publisher
	if err != nil {
		if !k.failing {
			k.Log.Warn("Store call failed.", "step", step.String(), "error", err.Error(), "listed", p.Listed())
		}
		k.failing = true
		return
	}
	if k.failing {
		k.failing = false
		k.Log.Info("Store answers again.", "step", step.String())
	}
	if step != StepRenew || listed != p.Listed() {
		k.Log.Info("Store call for the entry succeeded.", "step", step.String(), "listed", p.Listed(), "at", p.at, "lease", p.lease.ID, "by_way_of_seed", k.routes.current)
	}
}
