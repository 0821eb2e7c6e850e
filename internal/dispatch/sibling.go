package dispatch

import (
	"time"
)

const (
	// idleClaimTTL bounds how long a sibling's word about idle slots is acted on.
	idleClaimTTL = 250 * time.Millisecond
	// maxPrefetched is the number of siblings' requests that wait here for the next
	// slot, so that a slot is in use while messages travel.
	maxPrefetched = 1
	// maxUnconfirmed bounds what is kept of agents that aren't known yet.
	maxUnconfirmed = 64
	// reservationTTL is how long a slot is held for a sibling's request: some
	// round trips between data centres.
	reservationTTL = 25 * time.Millisecond
)

// reservation is a slot that is held for a sibling's request.
type reservation struct {
	from  Sibling
	until time.Time
	// displaced reservations lost their slot to a request at hand; what comes
	// under them waits in the queue.
	displaced bool
}

// pushed is a request that runs, or is on its way, at a sibling.
type pushed struct {
	request Request
	to      Sibling
	// admit requests came while draining, or failed here: if the sibling
	// doesn't take them, a draining agent gives them up.
	admit bool
}

// ArriveMoved takes a request that a sibling owns. It starts, or waits where
// it came under a reservation or with admit, or is refused as busy.
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

// Offered takes a sibling's reservation for one of the waiting requests. The
// actions hold a Push under it, or a Decline.
func (s *Scheduler) Offered(now time.Time, from Sibling, held Reservation) []Action {
	s.begin()
	s.expire(now)
	if i := s.queue.firstMovable(); i >= 0 {
		s.push(now, s.queue.removeAt(i), Push{To: from, Reservation: held})
	} else {
		s.emit(Decline{To: from, Reservation: held, Standing: s.standing(now, from)})
	}
	return s.finish(now)
}

// Declined ends a reservation that the sibling has no use for.
func (s *Scheduler) Declined(now time.Time, from Sibling, held Reservation) []Action {
	s.begin()
	delete(s.reserved, held)
	if v := s.group.find(from); v != nil {
		v.standing.Queued = 0
	}
	return s.finish(now)
}

// Settled ends a pushed request: the sibling has answered or can't.
func (s *Scheduler) Settled(now time.Time, id ID) []Action {
	s.begin()
	delete(s.pushed, id)
	return s.finish(now)
}

// Returned takes back a pushed request that the sibling surely didn't run. It
// keeps its place by its arrival.
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
	p.request.Elsewhere = false
	s.queue.push(p.request)
	return s.finish(now)
}
