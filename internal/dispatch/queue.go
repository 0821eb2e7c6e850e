package dispatch

import (
	"slices"
	"time"
)

// queue holds the waiting requests in the order in which they start: by priority, then
// arrival, then ID. The scheduler bounds its length, so a sorted slice is fast enough.
type queue struct {
	waiting []Request
	movable int
	// earliest is a lower bound of the deadlines of the waiting requests. It is
	// recomputed once it has passed.
	earliest time.Time
}

func before(a, b *Request) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if !a.Arrived.Equal(b.Arrived) {
		return a.Arrived.Before(b.Arrived)
	}
	return a.ID < b.ID
}

func (q *queue) len() int { return len(q.waiting) }

// position returns the number of requests that would start before r.
func (q *queue) position(r *Request) int {
	at, _ := slices.BinarySearchFunc(q.waiting, r, func(have Request, want *Request) int {
		if before(&have, want) {
			return -1
		}
		return 1
	})
	return at
}

func (q *queue) push(r Request) {
	q.waiting = slices.Insert(q.waiting, q.position(&r), r)
	if r.Movable {
		q.movable++
	}
	if len(q.waiting) == 1 || r.Deadline.Before(q.earliest) {
		q.earliest = r.Deadline
	}
}

func (q *queue) removeAt(i int) Request {
	r := q.waiting[i]
	q.waiting = slices.Delete(q.waiting, i, i+1)
	if r.Movable {
		q.movable--
	}
	return r
}

// remove removes the request with the ID and reports whether it was queued.
func (q *queue) remove(id ID) bool {
	i := slices.IndexFunc(q.waiting, func(r Request) bool { return r.ID == id })
	if i < 0 {
		return false
	}
	q.removeAt(i)
	return true
}

// firstMovable returns the index of the first request that may run on a sibling, or -1.
func (q *queue) firstMovable() int {
	if q.movable == 0 {
		return -1
	}
	return slices.IndexFunc(q.waiting, func(r Request) bool { return r.Movable })
}

// expired removes and returns all requests with a deadline at or before now.
func (q *queue) expired(now time.Time) []Request {
	if q.len() == 0 || q.earliest.After(now) {
		return nil
	}
	var out []Request
	for i := 0; i < len(q.waiting); {
		if q.waiting[i].Deadline.After(now) {
			i++
			continue
		}
		out = append(out, q.removeAt(i))
	}
	q.correctEarliest()
	return out
}

func (q *queue) correctEarliest() {
	for i := range q.waiting {
		if d := q.waiting[i].Deadline; i == 0 || d.Before(q.earliest) {
			q.earliest = d
		}
	}
}

// nextDeadline returns a lower bound of the deadlines; ok is false if the queue is
// empty.
func (q *queue) nextDeadline() (at time.Time, ok bool) {
	return q.earliest, q.len() > 0
}
