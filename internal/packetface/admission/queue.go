package admission

import (
	"cmp"
	"slices"
	"time"
)

// Queue holds the requests that wait for an upstream, each with an item of the user. The
// zero value is an empty queue. A Queue is not safe for concurrent use.
type Queue[T comparable] struct {
	// LateLast disables the handling of deadlines: requests past their aim run last.
	LateLast bool
	waiting  []waiting[T]
	// late and ranks are buffers that are reused across calls.
	late  []lateRequest
	ranks []uint8
}

type waiting[T comparable] struct {
	Request
	item T
}

// lateRequest is a request past its aim: its index in the queue, its route's rank and its
// deadline.
type lateRequest struct {
	at       int
	rank     uint8
	deadline time.Duration
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// Add appends a request to the queue.
func (q *Queue[T]) Add(r Request, item T) {
	q.waiting = append(q.waiting, waiting[T]{r, item})
}

// Remove removes a request from the queue and reports whether it was in it.
func (q *Queue[T]) Remove(item T) bool {
	at := slices.IndexFunc(q.waiting, func(w waiting[T]) bool { return w.item == item })
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// Overdue returns a request that must be forwarded although no slot is free, and the choice
// None if there is none.
func (q *Queue[T]) Overdue(now time.Duration) (item T, why Choice) {
	for i := range q.waiting {
		if q.waiting[i].overdue(now) {
			return q.waiting[i].item, Overdue
		}
	}
	return item, None
}

// Choice is the reason why a request runs next.
type Choice string

// The choices, by their names in logs.
const (
	// None: no request is to run.
	None Choice = ""
	// InTime: the request can be answered within its aim.
	InTime Choice = "in-time"
	// Pressing: a request past its aim might miss its deadline if this one waited longer.
	Pressing Choice = "pressing"
	// Late: the request is past its aim, and no waiting request of its rank can still meet
	// its own.
	Late Choice = "late"
	// Overdue: the request has waited for its full timeout, although no slot is free.
	Overdue Choice = "overdue"
)

// Next returns the request to run in a free slot, and the reason.
func (q *Queue[T]) Next(now time.Duration, p Pace) (item T, why Choice) {
	if len(q.waiting) == 0 {
		return item, None
	}
	if at := q.pressing(now, p); at >= 0 {
		return q.waiting[at].item, Pressing
	}
	best := 0
	for i := range q.waiting {
		if q.before(now, p, &q.waiting[i].Request, &q.waiting[best].Request) {
			best = i
		}
	}
	if q.waiting[best].late(now, p) {
		return q.waiting[best].item, Late
	}
	return q.waiting[best].item, InTime
}

// pressing returns the index of the request that has to run now so that no request past its
// aim misses its deadline, -1 for none. It takes precedence over more urgent requests: a
// request that is answered late harms its caller less than one that is lost. If not all can
// be answered in time, the more urgent ones are: whether they are pressing is decided
// regardless of the requests that wait on less urgent routes.
func (q *Queue[T]) pressing(now time.Duration, p Pace) int {
	if q.LateLast || p.Slots == 0 {
		return -1
	}
	q.collectLate(now, p)
	for _, rank := range q.ranks {
		if at := q.pressingAmong(now, p, rank); at >= 0 {
			return at
		}
	}
	return -1
}

// pressingAmong does the same as pressing for the requests of a rank and of more urgent
// ones. Requests past their aim run in the order of their deadlines, which loses the
// fewest. The k-th begins after the k before it have passed through the slots; if that is
// too late for its deadline, there is no slack and the first one is pressing.
func (q *Queue[T]) pressingAmong(now time.Duration, p Pace, rank uint8) int {
	each := time.Duration(float64(p.Answer) / (slotShare * float64(p.Slots)))
	first, begins := -1, now+spareAnswers*p.Answer+transitTime
	for _, l := range q.late {
		if l.rank > rank {
			continue
		}
		if first < 0 {
			first = l.at
		}
		if l.deadline <= begins {
			return first
		}
		begins += each
	}
	return -1
}

// collectLate collects the requests that are past their aim and may still be answered, in
// the order of their deadlines, and their ranks, the most urgent first.
func (q *Queue[T]) collectLate(now time.Duration, p Pace) {
	q.late, q.ranks = q.late[:0], q.ranks[:0]
	for i := range q.waiting {
		r := &q.waiting[i].Request
		if r.Timeout == 0 || r.missesTimeout(now, p) || !r.late(now, p) {
			continue
		}
		q.late = append(q.late, lateRequest{at: i, rank: r.Rank, deadline: r.deadline(now)})
		if !slices.Contains(q.ranks, r.Rank) {
			q.ranks = append(q.ranks, r.Rank)
		}
	}
	slices.Sort(q.ranks)
	slices.SortStableFunc(q.late, func(a, b lateRequest) int { return cmp.Compare(a.deadline, b.deadline) })
}

// before reports whether a runs before b if no request is pressing. The criteria, in this
// order: the more urgent route; requests that can meet their aim; requests that can be
// answered before their deadline; first tries; the earlier arrival.
func (q *Queue[T]) before(now time.Duration, p Pace, a, b *Request) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if late := a.late(now, p); late != b.late(now, p) {
		return !late
	}
	if missesTimeout := a.missesTimeout(now, p); !q.LateLast && missesTimeout != b.missesTimeout(now, p) {
		return !missesTimeout
	}
	if a.FirstTry != b.FirstTry {
		return a.FirstTry
	}
	return a.Arrived < b.Arrived
}
