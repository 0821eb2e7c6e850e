package admission

import (
	"cmp"
	"slices"
	"time"
)

// Queue holds the requests that wait for an upstream, each with what its owner
// keeps of it. The zero value is empty. It has one owner at a time.
type Queue[T comparable] struct {
	// LateLast switches the care for deadlines off: what is past its aim runs last.
	LateLast bool
	waiting  []waiting[T]
	// late and ranks are reused from call to call.
	late  []lateRequest
	ranks []uint8
}

type waiting[T comparable] struct {
	Request
	item T
}

// lateRequest is a request past its aim: its place in the queue, its route's rank and
// its deadline.
type lateRequest struct {
	at       int
	rank     uint8
	deadline time.Duration
}

// Len returns the number of requests that wait.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// Add lets a request wait.
func (q *Queue[T]) Add(r Request, item T) {
	q.waiting = append(q.waiting, waiting[T]{r, item})
}

// Remove takes a request out; it reports whether it was there.
func (q *Queue[T]) Remove(item T) bool {
	at := slices.IndexFunc(q.waiting, func(w waiting[T]) bool { return w.item == item })
	if at < 0 {
		return false
	}
	q.waiting = slices.Delete(q.waiting, at, at+1)
	return true
}

// Overdue returns a request that is to be handed on though no slot is free.
func (q *Queue[T]) Overdue(now time.Duration) (item T, why Choice) {
	for i := range q.waiting {
		if q.waiting[i].overdue(now) {
			return q.waiting[i].item, Overdue
		}
	}
	return item, None
}

// Choice says why a request is to run next.
type Choice string

// Choices, by names for the log.
const (
	// None: nothing waits.
	None Choice = ""
	// InTime: it can be answered within its aim.
	InTime Choice = "in-time"
	// Pressing: it would miss its deadline otherwise.
	Pressing Choice = "pressing"
	// Late: nothing in time waits.
	Late Choice = "late"
	// Overdue: its time is over, though no slot is free.
	Overdue Choice = "overdue"
)

// Next returns the request that is to run in a slot that is free, and why.
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

// pressing returns the place of the request that has to run now so that none that
// is past its aim misses its deadline, -1 for none. It goes before what is more
// urgent: a request that is answered late harms its caller less than one that is
// lost. Where not all can be answered, the more urgent are: they press by themselves,
// whatever waits on other routes.
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

// pressingAmong is pressing for the routes up to a rank. What is past its aim runs in
// the order of deadlines, which loses the fewest; the k-th begins once the k before
// have passed through the slots, and has no slack if it begins too late then.
func (q *Queue[T]) pressingAmong(now time.Duration, p Pace, rank uint8) int {
	each := time.Duration(float64(p.Answer) / (slotShare * float64(p.Slots)))
	first, begins := -1, now+spareAnswers*p.Answer+wayTime
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

// collectLate gathers the requests that are past their aim and may still be
// answered, in the order of their deadlines, and their ranks, the most urgent first.
func (q *Queue[T]) collectLate(now time.Duration, p Pace) {
	q.late, q.ranks = q.late[:0], q.ranks[:0]
	for i := range q.waiting {
		r := &q.waiting[i].Request
		if r.Timeout == 0 || r.hopeless(now, p) || !r.late(now, p) {
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

// before reports whether a is to run before b while nothing presses: the more
// urgent route first; then what can still be answered within its aim; then what can
// be answered at all; then first tries; then what came first.
func (q *Queue[T]) before(now time.Duration, p Pace, a, b *Request) bool {
	if a.Rank != b.Rank {
		return a.Rank < b.Rank
	}
	if late := a.late(now, p); late != b.late(now, p) {
		return !late
	}
	if hopeless := a.hopeless(now, p); !q.LateLast && hopeless != b.hopeless(now, p) {
		return !hopeless
	}
	if a.FirstTry != b.FirstTry {
		return a.FirstTry
	}
	return a.Arrived < b.Arrived
}
