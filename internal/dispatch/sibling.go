package dispatch

import (
	"time"
)

const (
	// idleClaimTTL is how long a sibling's reported idle slots are relied on.
	idleClaimTTL = 250 * time.Millisecond
	// maxPrefetched is the number of siblings' requests that may wait here for the next
	// free slot, so that the slot doesn't idle while messages are in transit.
	maxPrefetched = 1
	// maxUnconfirmed bounds the standings kept from agents that aren't known as
	// siblings yet.
	maxUnconfirmed = 64
	// reservationTTL is how long a slot stays reserved for a sibling's request: some
	// round trips between data centres.
	reservationTTL = 25 * time.Millisecond
)

// reservation is a slot that is reserved for a sibling's request.
type reservation struct {
	from  Sibling
	until time.Time
	// displaced marks a reservation without a slot, either because a request that
	// was already here took it or because the request is prefetched. A request
	// that arrives for it waits in the queue.
	displaced bool
}

// pushed is a request that was sent to a sibling and hasn't ended.
type pushed struct {
	request Request
	to      Sibling
	// admit is Push.Admit. If the sibling returns a request that was pushed with
	// admit set, an agent that is draining refuses the request.
	admit bool
}

// ArriveMoved handles a request that a sibling owns. It is started if a slot is
// available. Otherwise it is queued if it has a reservation or asks to be admitted, and
// refused as busy if not. An agent that is draining accepts only requests with a
// reservation.
func (s *Scheduler) ArriveMoved(now time.Time, r Request, under Reservation, admit bool) []Action {
	s.begin()
	r.Movable, r.moved = false, true
	_, hasReservation := s.reserved[under]
	delete(s.reserved, under)
	switch {
	case s.draining && !hasReservation:
		s.refuse(r.ID, r.Priority, ReasonDraining)
	case s.queue.position(&r) == 0 && s.takeSlot():
		s.start(r)
	case hasReservation:
		s.queue.push(r)
	case admit:
		s.admit(now, r)
	default:
		s.refuse(r.ID, r.Priority, ReasonBusy)
	}
	return s.finish(now)
}

// SlotOffered handles a sibling's offer of a reserved slot. The actions contain either a
// Push of a waiting request for the reservation or a Decline.
func (s *Scheduler) SlotOffered(now time.Time, from Sibling, held Reservation) []Action {
	s.begin()
	s.expire(now)
	if i := s.queue.firstMovable(); i >= 0 {
		s.push(now, s.queue.removeAt(i), Push{To: from, Reservation: held})
	} else {
		s.emit(Decline{To: from, Reservation: held, Standing: s.standing(now, from)})
	}
	return s.finish(now)
}

// ReservationDeclined ends a reservation of this agent that the sibling doesn't need.
func (s *Scheduler) ReservationDeclined(now time.Time, from Sibling, held Reservation) []Action {
	s.begin()
	delete(s.reserved, held)
	if v := s.group.find(from); v != nil {
		v.standing.Queued = 0
	}
	return s.finish(now)
}

// Settled ends a pushed request that the sibling has answered, or that has failed
// there.
func (s *Scheduler) Settled(now time.Time, id ID) []Action {
	s.begin()
	delete(s.pushed, id)
	return s.finish(now)
}

// Returned takes back a pushed request that the sibling has definitely not run. The
// request is queued again by priority and time of arrival, or refused if the agent is
// draining and the sibling was asked to queue it.
func (s *Scheduler) Returned(now time.Time, id ID) []Action {
	s.begin()
	p, ok := s.pushed[id]
	if !ok {
		return s.finish(now)
	}
	delete(s.pushed, id)
	if v := s.group.find(p.to); v != nil {
		v.standing.Idle = 0
	}
	if p.admit && s.draining {
		s.refuse(id, p.request.Priority, ReasonDraining)
		return s.finish(now)
	}
	p.request.PreferSibling = false
	s.queue.push(p.request)
	return s.finish(now)
}
