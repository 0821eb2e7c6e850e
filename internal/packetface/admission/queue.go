package admission

import (
	"cmp"
	"slices"
	"time"
)

// Queue holds the requests that wait for an upstream, each with an item that identifies it
// to the user of the Queue. The zero value is an empty queue. A Queue is not safe for
// concurrent use.
type Queue[T comparable] struct {
	// LateLast disables the handling of deadlines: requests past their target latency run
	// last.
	LateLast bool
	waiting  []waiting[T]
	counts   Counts
	// late and priorities are buffers that are reused across calls.
	late       []lateRequest
	priorities []uint8
}

type waiting[T comparable] struct {
	Request
	item T
}

// lateRequest is a request past its target latency: its index in the queue, its route's
// priority and its deadline.
type lateRequest struct {
	at       int
	priority uint8
	deadline time.Duration
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// Counts are numbers of requests by priority; the last one stands for all less urgent ones.
type Counts [trackedPriorities]int

// upTo returns the number of requests of the given priority and of more urgent ones.
func (c *Counts) upTo(priority uint8) (n int) {
	for i := range trackedPriority(priority) + 1 {
		n += c[i]
	}
	return n
}

// Counts returns the numbers of waiting requests by priority.
func (q *Queue[T]) Counts() Counts { return q.counts }

// Add appends a request to the queue.
func (q *Queue[T]) Add(r Request, item T) {
	q.waiting = append(q.waiting, waiting[T]{r, item})
	q.counts[trackedPriority(r.Priority)]++
}

// Remove removes a request from the queue and reports whether it was in it.
func (q *Queue[T]) Remove(item T) bool {
	at := slices.IndexFunc(q.waiting, func(w waiting[T]) bool { return w.item == item })
	if at < 0 {
		return false
	}
	q.counts[trackedPriority(q.waiting[at].Priority)]--
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// find returns the properties of a waiting request.
func (q *Queue[T]) find(item T) (r Request, ok bool) {
	for i := range q.waiting {
		if q.waiting[i].item == item {
			return q.waiting[i].Request, true
		}
	}
	return Request{}, false
}

// CountBefore returns how many waiting requests would run before r.
func (q *Queue[T]) CountBefore(now time.Duration, p Pace, r Request) int {
	n := 0
	for i := range q.waiting {
		if !q.before(now, p, &r, &q.waiting[i].Request) {
			n++
		}
	}
	return n
}

// Overdue returns a request that waits no longer although no slot is free, and whether it
// is forwarded (Overdue) or dropped (Expired), or None if there is no such request. The
// request stays in the queue.
func (q *Queue[T]) Overdue(now time.Duration) (item T, why Choice) {
	for i := range q.waiting {
		if why = q.waiting[i].overdue(now); why != None {
			return q.waiting[i].item, why
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
	// InTime: the request can be answered within its target latency.
	InTime Choice = "in-time"
	// Pressing: a request past its target latency might miss its deadline if this one
	// waited longer.
	Pressing Choice = "pressing"
	// Late: the request is past its target latency, and no waiting request of its priority
	// can still meet its target latency.
	Late Choice = "late"
	// Overdue: the request has waited for MaxHold on a route without a timeout, or the
	// attempt of an opening's caller is about to end. It is forwarded although no slot is
	// free.
	Overdue Choice = "overdue"
	// Expired: the request has waited for its caller's whole timeout. It is not forwarded:
	// the upstream would work on it for nobody.
	Expired Choice = "deadline-passed"
)

// Next returns the request to run in a free slot and why it was chosen, or None if the
// queue is empty. The request stays in the queue.
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
// target latency misses its deadline, -1 for none. This request takes precedence over more
// urgent requests: a request that is answered late harms its caller less than one that is
// lost. If not all requests can be answered before their deadlines, the more urgent ones
// are: whether a request is pressing is decided regardless of the requests that wait on
// less urgent routes.
func (q *Queue[T]) pressing(now time.Duration, p Pace) int {
	if q.LateLast || p.Slots == 0 {
		return -1
	}
	q.collectLate(now, p)
	for _, priority := range q.priorities {
		if at := q.pressingAmong(now, p, priority); at >= 0 {
			return at
		}
	}
	return -1
}

// pressingAmong does the same as pressing for the requests of a priority and of more urgent
// ones. Requests past their target latency run in the order of their deadlines, which loses
// the fewest requests. The k-th request, counted from 0, begins after the k requests before
// it have passed through the slots. If that is too late for its deadline, the first request
// in this order is pressing.
func (q *Queue[T]) pressingAmong(now time.Duration, p Pace, priority uint8) int {
	each := time.Duration(float64(p.Answer) / (slotShare * float64(p.Slots)))
	first, begins := -1, now+spareAnswers*p.Answer+transitTime
	for _, l := range q.late {
		if l.priority > priority {
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

// collectLate collects the requests that are past their target latency and may still be
// answered, in the order of their deadlines, and their priorities, the most urgent first.
func (q *Queue[T]) collectLate(now time.Duration, p Pace) {
	q.late, q.priorities = q.late[:0], q.priorities[:0]
	for i := range q.waiting {
		r := &q.waiting[i].Request
		if r.Timeout == 0 || r.missesTimeout(now, p) || !r.late(now, p) {
			continue
		}
		q.late = append(q.late, lateRequest{at: i, priority: r.Priority, deadline: r.deadline(now)})
		if !slices.Contains(q.priorities, r.Priority) {
			q.priorities = append(q.priorities, r.Priority)
		}
	}
	slices.Sort(q.priorities)
	slices.SortStableFunc(q.late, func(a, b lateRequest) int { return cmp.Compare(a.deadline, b.deadline) })
}

// before reports whether a runs before b if no request is pressing. The criteria, in this
// order: the more urgent route; requests that can meet their target latency; requests that
// can be answered before their deadline; first tries; the earlier arrival.
func (q *Queue[T]) before(now time.Duration, p Pace, a, b *Request) bool {
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
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
