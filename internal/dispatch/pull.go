package dispatch

import (
	"time"
)

// pullQueued offers free slots to the siblings that have reported queued requests,
// those with the most urgent or oldest request first. When no slot is free, it may
// still pull a request to wait here for the next one (see maxPrefetched).
func (s *Scheduler) pullQueued(now time.Time) {
	if s.draining || !s.draws || s.options.LocalOnly {
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

// pull offers a slot to the sibling: with prefetch the next one that becomes free,
// otherwise one that is free now and reserved for the sibling.
func (s *Scheduler) pull(now time.Time, v *view, prefetch bool) {
	v.standing.Queued--
	s.lastID++
	s.reserved[s.lastID] = reservation{from: v.addr, until: now.Add(reservationTTL), displaced: prefetch}
	s.emit(Pull{From: v.addr, Reservation: s.lastID, Standing: s.standing(now, v.addr)})
}

// prefetched returns the number of siblings' requests that wait here, or are expected,
// without a reserved slot.
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

// precedesQueue reports whether the sibling's first waiting request should start before
// all requests that wait here.
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

// neediest returns the sibling with the waiting request that should start first, or nil
// if no sibling has one.
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

// before reports whether the first waiting request of v should start before that of o.
func (v *view) before(o *view) bool {
	if v.standing.Priority != o.standing.Priority {
		return v.standing.Priority < o.standing.Priority
	}
	return v.oldest.Before(o.oldest)
}

// heldSlots returns the number of slots that are reserved for siblings' requests.
func (s *Scheduler) heldSlots() int {
	n := 0
	for _, r := range s.reserved {
		if !r.displaced {
			n++
		}
	}
	return n
}

// displaceReservation takes the slot away from the newest reservation.
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
