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

// Waits between tries while the store does not answer.
const (
	retryMin = 200 * time.Millisecond
	retryMax  = 1 * time.Second
)

// verifyWindow is the time within which agents look for their entries after the store
// came back from a copy: 6,100 of them make 3,050 calls a second, half of what the store
// of a fleet of 59 hosts allows. Those whose entries balancers miss are told and look at
// once.
const verifyWindow = 2 * time.Second

// agentReturns counts returns of the store from a copy that an agent has noticed.
var agentReturns = metrics.NewCounter(`saltbend_packet_entry_returns_total`)

// Agent keeps the entry of an agent in the store.
type Agent struct {
	Log *slog.Logger
	// Clock returns the time since the start of the process.
	Clock func() time.Duration

	// LeaseLeast is the shortest lease that the store grants.
	LeaseLeast time.Duration
	// Seen is called with the store's position whenever this process has seen a newer
	// one: it then knows that all entries up to it may be there.
	Seen func(at store.Position)

	routes      storeRoutes
	publisher *Publisher
	entryUpdates     chan *Entry
	hints     chan struct{}
	idleSignals     chan struct{}
	eras      chan uint64
	failing   bool
	// entry is the one that is wanted, nil for none; inherited the one that a process
	// before this one left.
	entry     *Entry
	inherited Entry
	// noCallDue tells that no call is due.
	noCallDue atomic.Bool
}

// NewAgent returns the keeper of the entry at the entry's address; set Seen
// before Run.
func NewAgent(s *platform.Store, log *slog.Logger, clock func() time.Duration, self Entry) *Agent {
	return &Agent{
		routes: newStoreRoutes(s), Log: log, Clock: clock, publisher: NewPublisher(agentKey(self.Addr)),
		entryUpdates: make(chan *Entry, 1), hints: make(chan struct{}, 1), idleSignals: make(chan struct{}, 1),
		eras: make(chan uint64, 1),
	}
}

// SetSeeds names the control addresses of balancers through which calls are made
// while the store turns this host away; they may be gone.
func (a *Agent) SetSeeds(seeds []netip.AddrPort) { a.routes.setSeeds(seeds) }

// Want sets the entry that is to be in the store, nil for none.
func (a *Agent) Want(entry *Entry) {
	select {
	case <-a.entryUpdates: // the latest counts
	default:
	}
	a.entryUpdates <- entry
	a.noCallDue.Store(false)
}

// Inherit asks to go on with the entry that a process before this one left at the
// address; call it before Run.
func (a *Agent) Inherit() { a.publisher.Inherit() }

// Quiet reports whether no call was due when Run last looked.
func (a *Agent) Quiet() bool { return a.noCallDue.Load() }

// Hint tells that the entry is gone from the store, as a balancer says.
func (a *Agent) Hint() { signal(a.hints) }

// Era tells of an era of the store that balancers know. Calls come from one goroutine.
func (a *Agent) Era(era uint64) {
	select {
	case <-a.eras: // the latest counts
	default:
	}
	a.eras <- era
}

// Idle tells that no balancer has called for a while.
func (a *Agent) Idle() { signal(a.idleSignals) }

// signal leaves word in a channel that holds one.
func signal(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// Run makes the calls that are due until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	backoff := seed.Backoff{Least: retryMin, Most: retryMax}
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

func (a *Agent) wait(ctx context.Context, wait time.Duration) {
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

// updateWanted tells the publisher what is to be in the store. What upstreams have shown before
// this process stays known.
func (a *Agent) updateWanted() {
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

// useInherited remembers the entry of a process before this one.
func (a *Agent) useInherited(item platform.Item) {
	entry, err := decodeEntry(item)
	if err != nil {
		return // it is written anew
	}
	a.inherited = entry
	if a.entry != nil {
		a.updateWanted()
	}
}

// observeEra tells the publisher of an era, and the log if the store came back from a copy.
func (a *Agent) observeEra(era uint64, within time.Duration) {
	p := a.publisher
	before := p.era
	p.ObserveEra(a.Clock(), era, within)
	if p.returned && p.era != before {
		agentReturns.Inc()
		a.Log.Warn("Store came back older, the entry is read.", "era_before", before, "era", era,
			"listed", p.Listed(), "at", p.at, "lease", p.lease.ID, "within_ms", within.Milliseconds())
	}
}

// call makes one call and tells the publisher its outcome, after the era that the answer
// named.
func (a *Agent) call(ctx context.Context, step Step) (err error) {
	sent := a.Clock()
	listed, seen := a.publisher.Listed(), a.publisher.asOf
	calls := a.routes.store(sent)
	switch step {
	case StepGrant:
		var lease platform.Lease
		lease, err = calls.Grant(ctx, max(leaseTTL, a.LeaseLeast))
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
			err = nil // an answer: the key is to be read
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
		a.Seen(a.publisher.asOf)
	}
	return err
}

// write writes the entry by way of a balancer, which makes one call for many agents, or
// itself where none is reached.
func (a *Agent) write(ctx context.Context, calls *platform.Store, w platform.Write) (at store.Position, err error) {
	at, err = a.routes.writeViaBalancer(ctx, w)
	if !errors.Is(err, errNotSent) {
		a.observeEra(at.Era(), 0)
		if err == nil && at.Era() < a.publisher.era {
			err = errors.Wrapf(store.ErrOutcomeUnknown, "registry: written at %s, known era %d", at, a.publisher.era)
		}
		return at, err
	}
	if a.routes.current == 0 && !errors.Is(err, errNoWriter) {
		a.Log.Info("No balancer writes the entry.", "error", err.Error())
	}
	at, err = calls.Apply(ctx, w)
	a.observeAnswerEra()
	return at, err
}

// read reads the entry.
func (a *Agent) read(ctx context.Context, calls *platform.Store) error {
	item, asOf, err := calls.Get(ctx, a.publisher.key)
	a.observeAnswerEra()
	inherits := a.publisher.inherit
	a.publisher.Read(item, asOf, err)
	if inherits && err == nil {
		a.useInherited(item)
	}
	if errors.Is(err, store.ErrNotFound) {
		return nil // an answer
	}
	return err
}

// observeAnswerEra notes the era that an answer of the store has named.
func (a *Agent) observeAnswerEra() { a.observeEra(a.routes.direct.Era(), 0) }

// logOutcome logs each change of the entry, and each loss and return of the store.
func (a *Agent) logOutcome(step Step, listed bool, err error) {
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
		a.Log.Info("Entry kept.", "step", step.String(), "listed", p.Listed(), "at", p.at, "lease", p.lease.ID, "by_way_of_seed", a.routes.current)
	}
}
