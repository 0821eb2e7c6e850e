// Package dispatch orders the requests of one agent: which request takes the
// next slot of the own upstream, which goes to a sibling, and which is told at
// once that it isn't run. It is pure: the time and messages come in, actions
// go out. One goroutine owns a Scheduler.
//
// Siblings bind late. An agent whose slot falls free with nothing to run says
// so ("idle slot" claims) or takes work from a sibling that has told of its
// queue, by reserving the slot for it. The agent that admitted a request stays
// its only owner: a sibling runs it on the owner's behalf.
package dispatch

import (
	"net/netip"
	"time"
)

// ID identifies a request within one agent.
type ID uint64

// Sibling is the control address of another agent of the service.
type Sibling = netip.AddrPort

// Reservation identifies a slot that an agent holds for a sibling; zero is
// none.
type Reservation uint64

// Request is what the scheduler knows of a request.
type Request struct {
	ID ID
	// Priority orders waiting requests: 0 goes first.
	Priority int
	// Arrived is when the caller's request reached its first agent; it orders
	// requests of one priority.
	Arrived  time.Time
	Deadline time.Time
	// Movable requests may run on a sibling: idempotent, with a bounded body,
	// and not moved yet.
	Movable bool
	// Elsewhere requests failed on the own upstream and rather run on a
	// sibling.
	Elsewhere bool

	// moved requests belong to a sibling.
	moved bool
}

// Limits bound what the upstream takes on.
type Limits struct {
	Slots int
	Queue int
	// Feeds is the number of open feeds.
	Feeds int
}

// Reason tells why a request isn't run.
type Reason string

// Reasons of Refuse.
const (
	// ReasonQueueFull is a full queue without a less urgent request in it.
	ReasonQueueFull Reason = "queue-full"
	// ReasonDisplaced is a queued request that made room for a more urgent one.
	ReasonDisplaced Reason = "displaced"
	// ReasonTooLate is a request whose expected wait is past its deadline.
	ReasonTooLate Reason = "too-late"
	// ReasonExpired is a deadline that passed in the queue.
	ReasonExpired Reason = "expired"
	// ReasonFeeds is a feed beyond the limit.
	ReasonFeeds Reason = "feeds"
	// ReasonBusy is a sibling's request that found no free slot here; its owner
	// keeps it.
	ReasonBusy Reason = "busy"
	// ReasonDraining is a request that came while the agent is draining.
	ReasonDraining Reason = "draining"
)

// Action is what the scheduler wants done. Its types are Start, Refuse, Push,
// Pull, Decline and Announce.
type Action interface{ action() }

// Start runs the request on the own upstream; its slot is taken until Done.
type Start struct{ ID ID }

// Refuse ends the request: it has not run and never will.
type Refuse struct {
	ID     ID
	Reason Reason
	// RetryAfter is when the queue should have room again.
	RetryAfter time.Duration
}

// Push runs the request on the sibling. The owner reports the end by Returned
// (not taken) or Settled.
type Push struct {
	ID          ID
	To          Sibling
	Reservation Reservation
	// Admit asks the sibling to queue the request if no slot is free, as it
	// would one of its own.
	Admit    bool
	Standing Standing
}

// Pull offers a reserved slot to a sibling that has told of its queue. The
// sibling answers with a Push under the reservation, or with Decline.
type Pull struct {
	From        Sibling
	Reservation Reservation
	Standing    Standing
}

// Decline tells a sibling that nothing will come under its reservation.
type Decline struct {
	To          Sibling
	Reservation Reservation
	Standing    Standing
}

// Announce tells a sibling how the agent stands.
type Announce struct {
	To       Sibling
	Standing Standing
}

// Standing is what siblings are told of an agent; each message to a sibling
// carries the sender's.
type Standing struct {
	// Seq orders the standings of one agent.
	Seq uint64
	// Idle is the number of slots that wait for work.
	Idle int
	// Queued is the number of waiting requests that may move.
	Queued int
	// Priority is that of the first of them, Waited the time since it arrived.
	Priority int
	Waited   time.Duration
	// Connections is the number of callers' connections.
	Connections int
	// Draws tells whether the agent may be handed work.
	Draws bool
}

func (Start) action()    {}
func (Refuse) action()   {}
func (Push) action()     {}
func (Pull) action()     {}
func (Decline) action()  {}
func (Announce) action() {}
