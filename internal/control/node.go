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
	// ticksPerRenewal sets the grain of periods and retries.
	ticksPerRenewal = 15
	// publishInterval is the least time between snapshots for changes of
	// members.
	publishInterval = 100 * time.Millisecond
	// taskQueueSize bounds the messages that wait for the state's goroutine.
	taskQueueSize = 1024
)

// publication is a snapshot with the channel that its successor closes.
type publication struct {
	snapshot *Snapshot
	changed  chan struct{}
}

// Node keeps the control state of one process. Its methods are safe for
// concurrent use.
type Node struct {
	options Options
	logger  *slog.Logger
	tasks   chan func(now time.Time)
	current atomic.Pointer[publication]
	stopped chan struct{}
	ctx     context.Context

	gauges gauges

	// The fields below belong to the state's goroutine.
	engine  *gossip.Engine
	adopt   *adopt.State
	adopted adopted
	serving *config.Config
	// fetching tells that a configuration is being fetched.
	fetching bool
	rand     *rand.Rand
	store    StoreStatus
	seeding  seedState
	reader   configReader
	finder   finder
	// publishedSeq and dirty tell whether the snapshot is out of date.
	publishedSeq uint64
	dirty        bool
	publishedAt  time.Time
}

// Start joins the process to the fleet. The node works until ctx ends.
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

// run owns the control state.
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

// step does what is due and publishes what has changed.
func (n *Node) step(now time.Time) {
	n.decideConfig(now)
	for _, a := range n.engine.Actions(now) {
		n.perform(now, a)
	}
	n.publishChanges(now)
}

// publishChanges publishes a snapshot if anything changed; changes of members
// that follow each other closely share one.
func (n *Node) publishChanges(now time.Time) {
	seq := n.engine.Table().Seq()
	n.dirty = n.dirty || n.hasExpiredGone(now)
	if !n.dirty && (seq == n.publishedSeq || now.Sub(n.publishedAt) < publishInterval) {
		return
	}
	n.publishedSeq, n.dirty, n.publishedAt = seq, false, now
	n.publish()
}

// post hands a task to the state's goroutine.
func (n *Node) post(task func(now time.Time)) {
	select {
	case n.tasks <- task:
	case <-n.stopped:
	}
}

// runTask runs a task on the state's goroutine and waits for its end. It reports
// whether the task ran.
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

// publish replaces the snapshot and wakes those who wait for a change.
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

// Changed implements Source. To miss nothing, take the channel before the
// snapshot.
func (n *Node) Changed() <-chan struct{} { return n.current.Load().changed }

// SetState changes the process's life-cycle state and announces it at once.
func (n *Node) SetState(state member.State) {
	n.post(func(now time.Time) {
		n.engine.Update(now, func(m *member.Member) { m.State = max(m.State, state) })
	})
}

// SetLoad changes the process's weight, in thousandths of a warm upstream's
// share. Each change is spread to the fleet: callers quantise it coarsely.
func (n *Node) SetLoad(weight int) {
	n.post(func(now time.Time) {
		n.engine.Update(now, func(m *member.Member) { m.Weight = weight })
	})
}

// SetSlots changes the number of requests that the process's upstream serves
// at once.
func (n *Node) SetSlots(slots int) {
	n.post(func(now time.Time) {
		n.engine.Update(now, func(m *member.Member) { m.Slots = slots })
	})
}
