package dispatch

import (
	"time"
)

// pullQueued offers free slots to siblings that have told of a queue, by
// their first waiting requests.
func (s *Scheduler) pullQueued(now time.Time) {
	if s.draining || !s.draws || s.options.Alone {
		return
	}
	for s.free() > 0 {
		v := s.neediest()
		if v == nil {
			return
		}
		s.pull(now, v, false)
	}
	if s.prefetched() >= maxPrefetched {
		return
	}
	if v := s.neediest(); v != nil && s.precedesQueue(v) {
		s.pull(now, v, true)
	}
}

// pull offers a slot to the sibling: one that is held for it, or the next to
// fall free.
func (s *Scheduler) pull(now time.Time, v *view, prefetch bool) {
	v.standing.Queued--
	s.lastID++
	s.reserved[s.lastID] = reservation{from: v.addr, until: now.Add(reservationTTL), displaced: prefetch}
	s.emit(Pull{From: v.addr, Reservation: s.lastID, Standing: s.standing(now, v.addr)})
}

// prefetched counts the requests of siblings that wait here or are to come without
// a slot that is held for them.
func (s *Scheduler) prefetched() int {
	n := 0
	for _, r := range s.reserved {
		if r.displaced {
			n++
		}
	}
	for i := range s.queue.waiting {
		if s.queue.waiting[i].moved {
			n++
		}
	}
	return n
}

// precedesQueue reports whether the sibling's first waiting request should start
// before all that wait here.
func (s *Scheduler) precedesQueue(v *view) bool {
	if s.queue.len() == 0 {
		return true
	}
	first := &s.queue.waiting[0]
	if v.standing.Priority != first.Priority {
		return v.standing.Priority < first.Priority
	}
	return v.oldest.Before(first.Arrived)
}

// neediest returns the sibling whose first waiting request should start first.
func (s *Scheduler) neediest() *view {
	var best *view
	for i := range s.group.views {
		v := &s.group.views[i]
		if v.standing.Queued > 0 && (best == nil || v.before(best)) {
			best = v
		}
	}
	return best
}

// before orders siblings by their first waiting requests.
func (v *view) before(o *view) bool {
	if v.standing.Priority != o.standing.Priority {
		return v.standing.Priority < o.standing.Priority
	}
	return v.oldest.Before(o.oldest)
}

// heldSlots is the number of slots that wait for a sibling's request.
func (s *Scheduler) heldSlots() int {
	n := 0
	for _, r := range s.reserved {
		if !r.displaced {
			n++
		}
	}
	return n
}

// displaceReservation takes the slot of the newest reservation.
func (s *Scheduler) displaceReservation() {
	var newest Reservation
	for id, r := range s.reserved {
		if !r.displaced {
			newest = max(newest, id)
		}
	}
	if r, ok := s.reserved[newest]; ok {
		r.displaced = true
		s.reserved[newest] = r
	}
}
