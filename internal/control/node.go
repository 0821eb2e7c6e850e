package control

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/adopt"
	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/gossip"
	"github.com/saltbend/saltbend/internal/logging"
	"github.com/saltbend/saltbend/internal/member"
)

const (
	// ticksPerRenewal sets the ticker's interval as a fraction of the renewal
	// period. The interval limits how precisely periods and retries are kept.
	ticksPerRenewal = 15
	// publishInterval is the minimum time between two snapshots that differ only
	// in members.
	publishInterval = 100 * time.Millisecond
	// taskQueueSize is the maximum number of tasks that wait for the goroutine
	// that owns the state.
	taskQueueSize = 1024
)

// publication is a published snapshot with a channel that is closed when the next
// snapshot replaces it.
type publication struct {
	snapshot *Snapshot
	changed  chan struct{}
}

// Node maintains the control state of one process. Its methods are safe for
// concurrent use.
type Node struct {
	options Options
	logger  *slog.Logger
	tasks   chan func(now time.Time)
	current atomic.Pointer[publication]
	stopped chan struct{}
	ctx     context.Context

	gauges gauges

	// The goroutine that owns the state uses the fields below.
	engine  *gossip.Engine
	adopt   *adopt.State
	adopted adopted
	serving *config.Config
	// fetching is set while a configuration is being fetched.
	fetching bool
	rand     *rand.Rand
	store    StoreStatus
	seeding  seedState
	reader   configReader
	finder   finder
	// publishedSeq is the member table's change number at the last publication;
	// dirty is set if another part of the snapshot has changed since then.
	publishedSeq uint64
	dirty        bool
	publishedAt  time.Time
}

// Start joins the process to the fleet. The node runs until ctx ends.
func Start(ctx context.Context, o Options) (*Node, error) {
	o, err := o.withDefaults()
	if err != nil {
		return nil, err
	}
	n := &Node{
		options: o,
		logger:  logging.Part(o.Logger, Part),
		tasks:   make(chan func(time.Time), taskQueueSize),
		stopped: make(chan struct{}),
		ctx:     ctx,
		engine:  gossip.New(o.Self, o.Timing, newRand(o.Self)),
		adopt:   adopt.New(o.Rules, o.Now()),
		rand:    newRand(o.Self),
	}
	n.seeding = newSeedState(n)
	n.reader.backoff = storeBackoff()
	n.finder.backoff = storeBackoff()
	n.engine.SetJoin(o.Join)
	n.publish()
	if err := o.Peer.Register(serviceName, &Service{node: n}); err != nil {
		return nil, errors.Wrap(err, "control: register service")
	}
	n.gauges.register(n.stopped)
	go n.run(ctx)
	return n, nil
}

// run is the goroutine that owns the control state.
func (n *Node) run(ctx context.Context) {
	defer close(n.stopped)
	ticker := time.NewTicker(n.options.Timing.Renew / ticksPerRenewal)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case task := <-n.tasks:
			task(n.options.Now())
		case <-ticker.C:
			n.runStoreTasks(n.options.Now())
			n.updateMetrics(n.options.Now())
		}
		n.step(n.options.Now())
	}
}

// step performs the actions that are due and publishes changes.
func (n *Node) step(now time.Time) {
	n.decideConfig(now)
	for _, a := range n.engine.Actions(now) {
		n.perform(now, a)
	}
	n.publishChanges(now)
}

// publishChanges publishes a snapshot if anything has changed. Changes of members
// within publishInterval share one snapshot.
func (n *Node) publishChanges(now time.Time) {
	seq := n.engine.Table().Seq()
	n.dirty = n.dirty || n.hasExpiredGone(now)
	if !n.dirty && (seq == n.publishedSeq || now.Sub(n.publishedAt) < publishInterval) {
		return
	}
	n.publishedSeq, n.dirty, n.publishedAt = seq, false, now
	n.publish()
}

// post queues a task for the goroutine that owns the state.
func (n *Node) post(task func(now time.Time)) {
	select {
	case n.tasks <- task:
	case <-n.stopped:
	}
}

// runTask runs a task on the goroutine that owns the state and waits until it has
// ended. It reports whether the task has ended.
func (n *Node) runTask(ctx context.Context, task func(now time.Time)) bool {
	done := make(chan struct{})
	n.post(func(now time.Time) {
		task(now)
		close(done)
	})
	select {
	case <-done:
		return true
	case <-n.stopped:
	case <-ctx.Done():
	}
	return false
}

// publish replaces the snapshot and notifies those who wait for a change.
func (n *Node) publish() {
	table := n.engine.Table()
	s := &Snapshot{Config: n.serving, Self: n.engine.Self(), Balancers: table.Balancers()}
	if s.Self.Role == member.RoleAgent {
		s.Agents = table.Service(s.Self.Service)
	} else {
		s.Agents = table.Agents()
		s.Gone = table.GoneAgents(n.options.Now().Add(-GoneFor))
	}
	before := n.current.Swap(&publication{snapshot: s, changed: make(chan struct{})})
	if before != nil {
		close(before.changed)
	}
}

// Snapshot implements Source.
func (n *Node) Snapshot() *Snapshot { return n.current.Load().snapshot }

// Changed implements Source. Call it before Snapshot: a change between the two
// calls then still closes the channel.
func (n *Node) Changed() <-chan struct{} { return n.current.Load().changed }

// SetState advances the process's life-cycle state and announces the change at
// once. A state that is earlier than the current one does not replace it.
func (n *Node) SetState(state member.State) {
	n.post(func(now time.Time) {
		n.engine.Update(now, func(m *member.Member) { m.State = max(m.State, state) })
	})
}

// SetLoad changes the process's weight, which scales its share of new flows, in
// thousandths of the share of a warmed-up upstream. Each change is sent to the whole
// fleet, so the weight should be rounded to coarse steps.
func (n *Node) SetLoad(weight int) {
	n.post(func(now time.Time) {
		n.engine.Update(now, func(m *member.Member) { m.Weight = weight })
	})
}

// SetSlots changes the number of requests that the process's upstream serves
// concurrently.
func (n *Node) SetSlots(slots int) {
	n.post(func(now time.Time) {
		n.engine.Update(now, func(m *member.Member) { m.Slots = slots })
	})
}
