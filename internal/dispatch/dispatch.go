// Package dispatch schedules the requests of one agent. An agent is the process next to
// one upstream, its local upstream, and gives it at most as many requests at a time as
// it has slots. The scheduler decides which request gets the next free slot, which is
// sent to a sibling (another agent of the same service), and which is refused at once.
// It does no I/O and reads no clock: the agent passes in the time and received messages,
// and gets back the actions to carry out. A Scheduler isn't safe for concurrent use; one
// goroutine owns it.
//
// Requests are assigned to siblings as late as possible. An agent that has a free slot
// and no waiting request announces the idle slot, or reserves it for a sibling that has
// reported a queue and pulls a request from there. The agent that admitted a request
// remains its only owner: a sibling runs it on the owner's behalf and returns the
// answer to the owner.
package dispatch

import (
	"net/netip"
	"time"
)

// ID identifies a request within one agent.
type ID uint64

// Sibling is the control address of another agent of the service.
type Sibling = netip.AddrPort

// Reservation identifies a slot that an agent reserves for a sibling; zero means none.
type Reservation uint64

// Request describes a request to the scheduler.
type Request struct {
	ID ID
	// Priority orders waiting requests: 0 starts first.
	Priority int
	// Arrived is when the request arrived at the agent that owns it. Requests of
	// equal priority start in this order.
	Arrived  time.Time
	Deadline time.Time
	// Movable allows a run on a sibling. The request is idempotent, its body is
	// held in memory, and no sibling has sent it here.
	Movable bool
	// PreferSibling asks for a run on a sibling if possible, because an earlier run
	// has failed.
	PreferSibling bool

	// moved marks a request that a sibling owns.
	moved bool
}

// Limits bound the load on the upstream.
type Limits struct {
	Slots int
	Queue int
	// Feeds is the maximum number of open feeds (long-lived event streams).
	Feeds int
}

// Reason says why a request is refused.
type Reason string

// Reasons of Refuse.
const (
	// ReasonQueueFull means that the queue is full and holds no less urgent request
	// that could be displaced.
	ReasonQueueFull Reason = "queue-full"
	// ReasonDisplaced means that the request was removed from the full queue in favour
	// of a more urgent one.
	ReasonDisplaced Reason = "displaced"
	// ReasonTooLate means that the request is expected to miss its deadline in the
	// queue.
	ReasonTooLate Reason = "too-late"
	// ReasonExpired means that the deadline passed while the request was queued.
	ReasonExpired Reason = "expired"
	// ReasonFeeds means that the limit of open feeds is reached.
	ReasonFeeds Reason = "feeds"
	// ReasonBusy means that no slot is free for a sibling's request; its owner keeps
	// it.
	ReasonBusy Reason = "busy"
	// ReasonDraining means that the request arrived while the agent was draining.
	ReasonDraining Reason = "draining"
)

// Action is a step that the scheduler's owner has to carry out: a Start, Refuse, Push,
// Pull, Decline or Announce.
type Action interface{ action() }

// Start runs the request on the agent's local upstream. The request occupies a slot until
// Done.
type Start struct{ ID ID }

// Refuse ends a request that has not run and will not run.
type Refuse struct {
	ID     ID
	Reason Reason
	// RetryAfter is the expected time until the queue has room again.
	RetryAfter time.Duration
}

// Push sends the request to a sibling to run there. The owner calls Returned if the
// sibling refused it and Settled if it ended in any other way.
type Push struct {
	ID          ID
	To          Sibling
	Reservation Reservation
	// Admit asks the sibling to queue the request if no slot is free there, by the
	// same rules as for requests from the sibling's own callers.
	Admit    bool
	Standing Standing
}

// Pull offers a reserved slot to a sibling that has reported a queue. The sibling
// answers with a Push that names the reservation, or with a Decline.
type Pull struct {
	From        Sibling
	Reservation Reservation
	Standing    Standing
}

// Decline tells a sibling that no request will be sent for its reservation.
type Decline struct {
	To          Sibling
	Reservation Reservation
	Standing    Standing
}

// Announce sends the agent's standing to a sibling.
type Announce struct {
	To       Sibling
	Standing Standing
}

// Standing is the state of an agent as its siblings see it: its idle slots, queue and
// connections. Every message to a sibling carries the sender's standing.
type Standing struct {
	// Seq increases with each standing that an agent sends. Receivers ignore a
	// standing that isn't newer than the last one.
	Seq uint64
	// Idle is the number of free slots.
	Idle int
	// Queued is the number of waiting requests that may run on a sibling.
	Queued int
	// Priority and Waited are the priority of the first waiting request that may run
	// on a sibling, and the time since that request arrived.
	Priority int
	Waited   time.Duration
	// Connections is the number of connections from callers.
	Connections int
	// Draws is false while siblings must not send requests or connections to the
	// agent.
	Draws bool
}

func (Start) action()    {}
func (Refuse) action()   {}
func (Push) action()     {}
func (Pull) action()     {}
func (Decline) action()  {}
func (Announce) action() {}
