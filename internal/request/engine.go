package request

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/saltbend/saltbend/internal/dispatch"
)

// inboxSize is how many messages wait for the engine before senders do.
const inboxSize = 256

// engine is the one goroutine that owns the scheduler. Handlers and siblings
// reach it by messages; it answers each job on the job's own channel.
type engine struct {
	inbox      chan message
	sched      *dispatch.Scheduler
	jobs       map[dispatch.ID]*job
	links      siblingLinks
	log        *slog.Logger
	load       atomic.Pointer[dispatch.Load]
	flowTarget atomic.Pointer[dispatch.FlowTarget]
	ids        atomic.Uint64
	done       chan struct{}
}

// siblingLinks carries messages to siblings; it must not block.
type siblingLinks interface {
	pull(dispatch.Pull)
	decline(dispatch.Decline)
	announce(dispatch.Announce)
}

// message is one input of the scheduler.
type message interface {
	apply(e *engine, now time.Time) []dispatch.Action
}

func newEngine(limits dispatch.Limits, links siblingLinks, log *slog.Logger) *engine {
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	e := &engine{
		inbox: make(chan message, inboxSize),
		sched: dispatch.New(limits, uint64(time.Now().UnixNano()), rng, dispatch.Options{}),
		jobs:  map[dispatch.ID]*job{},
		links: links,
		log:   log,
		done:  make(chan struct{}),
	}
	e.load.Store(&dispatch.Load{Slots: limits.Slots})
	e.flowTarget.Store(&dispatch.FlowTarget{})
	return e
}

// run serves the inbox until ctx ends.
func (e *engine) run(ctx context.Context) {
	defer close(e.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-e.inbox:
			e.deliver(m.apply(e, time.Now()))
		case <-timer.C:
			e.deliver(e.sched.Tick(time.Now()))
		}
		if at, ok := e.sched.NextWake(); ok {
			timer.Reset(max(time.Until(at), 0))
		}
		load, flows := e.sched.Load(), e.sched.FlowTarget()
		e.load.Store(&load)
		e.flowTarget.Store(&flows)
	}
}

// post hands a message to the engine; it reports false when the engine has
// stopped.
func (e *engine) post(m message) bool {
	select {
	case e.inbox <- m:
		return true
	case <-e.done:
		return false
	}
}

func (e *engine) deliver(actions []dispatch.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Start:
			e.sendAction(a.ID, a)
		case dispatch.Refuse:
			e.sendAction(a.ID, a)
		case dispatch.Push:
			e.sendAction(a.ID, a)
		case dispatch.Pull:
			e.links.pull(a)
		case dispatch.Decline:
			e.links.decline(a)
		case dispatch.Announce:
			e.links.announce(a)
		}
	}
}

// sendAction gives a job its next action. The channel holds one and a job has at
// most one to come, so this doesn't block.
func (e *engine) sendAction(id dispatch.ID, a dispatch.Action) {
	j, ok := e.jobs[id]
	if !ok {
		e.log.Error("Action for an unknown request.", "id", uint64(id))
		return
	}
	j.next <- a
	if _, ends := a.(dispatch.Refuse); ends {
		delete(e.jobs, id)
	}
}

// nextID returns an ID that no other request of this process has.
func (e *engine) nextID() dispatch.ID { return dispatch.ID(e.ids.Add(1)) }
