package request

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/saltbend/saltbend/internal/dispatch"
)

// inboxSize is the number of messages that can be pending before senders block.
const inboxSize = 256

// engine runs the goroutine that owns the scheduler. Handlers and siblings send
// messages to it; it sends each job its next action on the job's own channel.
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

// siblingLinks sends messages to siblings. Its methods must not block.
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

// run processes messages and timer ticks until ctx ends.
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
		load, flowTarget := e.sched.Load(), e.sched.FlowTarget()
		e.load.Store(&load)
		e.flowTarget.Store(&flowTarget)
	}
}

// post sends a message to the engine. It returns false if the engine has stopped.
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

// sendAction sends a job its next action. It doesn't block, because the channel has
// room for one action and a job has at most one pending.
func (e *engine) sendAction(id dispatch.ID, a dispatch.Action) {
	j, ok := e.jobs[id]
	if !ok {
		e.log.Error("Scheduler returned an action for an unknown request.", "id", uint64(id))
		return
	}
	j.next <- a
	if _, ends := a.(dispatch.Refuse); ends {
		delete(e.jobs, id)
	}
}

// nextID returns an ID that is unique within this process.
func (e *engine) nextID() dispatch.ID { return dispatch.ID(e.ids.Add(1)) }
