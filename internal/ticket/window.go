package ticket

import (
	"container/list"
	"time"

	"github.com/pkg/errors"
)

// Outcome is the final result of a request.
type Outcome uint8

// Outcomes of a request.
const (
	// Complete means that the request has run and its complete answer is known.
	Complete Outcome = iota + 1
	// NotRun means that the request has not run and never will under its ticket.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// String returns the outcome's name as it is written in the HTTP header.
func (o Outcome) String() string {
	switch o {
	case Complete:
		return "complete"
	case NotRun:
		return "not-run"
	default:
		return "unknown"
	}
}

// Answer is the complete answer of an upstream.
type Answer struct {
	Status int
	Header map[string][]string
	Body   []byte
}

// size approximates the bytes that an answer holds in memory.
func (a Answer) size() int {
	n := len(a.Body)
	for k, values := range a.Header {
		n += len(k)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// Result is an outcome and, with Complete, the answer.
type Result struct {
	Outcome Outcome
	Answer  Answer
}

// Verdict says what to do with a request that arrived under a ticket.
type Verdict uint8

// Verdicts of Window.Admit.
const (
	// Admitted means that the request is now queued and may be started.
	Admitted Verdict = iota + 1
	// Joined means that the same request is already queued or running. The new
	// request gets the same outcome.
	Joined
	// Settled means that the outcome is known; Admit returns it as the Result.
	Settled
	// Mismatch means that the ticket was used for another request. The new request
	// has not run and never will under this ticket.
	Mismatch
)

// Errors of New.
var (
	errEntries = errors.New("ticket: the window's bound of entries must be at least 1")
	errBytes   = errors.New("ticket: the window's bound of bytes must not be negative")
	errSpan    = errors.New("ticket: the window's span must be at least 1")
)

// Bounds limit the memory of a window.
type Bounds struct {
	// Entries bounds the number of queued, running and recorded requests together.
	Entries int
	// Bytes bounds the total size of the recorded answers. A single answer above
	// this size isn't recorded.
	Bytes int
	// Span is the number of latest issued tickets for which the window knows
	// whether they were used. Each takes two bits.
	Span int
}

// DefaultBounds suffice for the answers of one upstream over some minutes: 4,096
// answers in at most 8 MiB, and two million issued tickets in 512 KiB.
var DefaultBounds = Bounds{Entries: 4096, Bytes: 8 << 20, Span: 1 << 21}

type state uint8

const (
	queued state = iota + 1
	running
	recorded
)

type entry struct {
	nonce    uint64
	digest   Digest
	state    state
	deadline time.Time
	answer   Answer
}

// Window holds the state of every ticket that one incarnation has issued. Each method
// is one complete step, and the owner of the window must serialise the calls. Times are
// compared with the home's own clock only.
type Window struct {
	bounds  Bounds
	ledger  ledger
	entries map[uint64]*entry
	order   *list.List // recorded entries, oldest first
	bytes   int
	closed  bool
}

// New returns an empty window.
func New(b Bounds) (*Window, error) {
	switch {
	case b.Entries < 1:
		return nil, errEntries
	case b.Bytes < 0:
		return nil, errBytes
	case b.Span < 1:
		return nil, errSpan
	}
	return &Window{bounds: b, ledger: newLedger(b.Span), entries: map[uint64]*entry{}, order: list.New()}, nil
}

// Issue returns the nonce of a new ticket.
func (w *Window) Issue() uint64 {
	return w.ledger.issue()
}

// Admit handles a request under a ticket that this incarnation issued. The Result is
// set with Settled only.
func (w *Window) Admit(nonce uint64, digest Digest, deadline time.Time) (Verdict, Result) {
	if e := w.entries[nonce]; e != nil {
		return e.rejoin(digest)
	}
	switch w.ledger.get(nonce) {
	case markUnused:
		return w.enqueue(nonce, digest, deadline)
	case markVoided:
		return Settled, Result{Outcome: NotRun}
	default:
		return Settled, Result{Outcome: Unknown}
	}
}

func (e *entry) rejoin(digest Digest) (Verdict, Result) {
	switch {
	case e.digest != digest:
		return Mismatch, Result{}
	case e.state == recorded:
		return Settled, Result{Outcome: Complete, Answer: e.answer}
	default:
		return Joined, Result{}
	}
}

// enqueue admits the first use of a ticket, and evicts the oldest recorded answer if
// the window is full. If the window is closed, or full of queued and running requests,
// it voids the ticket instead.
func (w *Window) enqueue(nonce uint64, digest Digest, deadline time.Time) (Verdict, Result) {
	if !w.closed && len(w.entries) >= w.bounds.Entries {
		w.evictOldest()
	}
	if w.closed || len(w.entries) >= w.bounds.Entries {
		w.ledger.set(nonce, markVoided)
		return Settled, Result{Outcome: NotRun}
	}
	w.entries[nonce] = &entry{nonce: nonce, digest: digest, state: queued, deadline: deadline}
	w.ledger.set(nonce, markHeld)
	return Admitted, Result{}
}

// Start changes a queued request to running and reports whether it may run. If the
// deadline has passed, it voids the ticket in the same step. So a process that was
// paused doesn't run a request that its caller has stopped waiting for.
func (w *Window) Start(nonce uint64, now time.Time) bool {
	e := w.entries[nonce]
	if e == nil || e.state != queued {
		return false
	}
	if !now.Before(e.deadline) {
		w.drop(e, markVoided)
		return false
	}
	e.state = running
	return true
}

// Void voids a queued or unused ticket. It reports whether the ticket definitely has
// not run and never will; only then may a caller get the outcome "not run".
func (w *Window) Void(nonce uint64) bool {
	if e := w.entries[nonce]; e != nil {
		if e.state != queued {
			return false
		}
		w.drop(e, markVoided)
		return true
	}
	if w.ledger.get(nonce) == markUnused {
		w.ledger.set(nonce, markVoided)
	}
	return w.ledger.get(nonce) == markVoided
}

// Finish records the result of a running request. NotRun is only allowed if the request
// definitely didn't reach the upstream.
func (w *Window) Finish(nonce uint64, r Result) {
	e := w.entries[nonce]
	if e == nil || e.state != running {
		return
	}
	size := r.Answer.size()
	switch {
	case r.Outcome == NotRun:
		w.drop(e, markVoided)
		return
	case r.Outcome != Complete || size > w.bounds.Bytes:
		w.drop(e, markSpent)
		return
	}
	for w.bytes+size > w.bounds.Bytes {
		w.evictOldest()
	}
	e.state, e.answer = recorded, r.Answer
	w.order.PushBack(e)
	w.bytes += size
}

// evictOldest removes the oldest recorded answer. Its ticket counts as spent
// afterwards.
func (w *Window) evictOldest() {
	oldest := w.order.Front()
	if oldest == nil {
		return
	}
	e := w.order.Remove(oldest).(*entry)
	w.bytes -= e.answer.size()
	w.drop(e, markSpent)
}

func (w *Window) drop(e *entry, m mark) {
	delete(w.entries, e.nonce)
	w.ledger.set(e.nonce, m)
}

// Usage describes the present content of a window.
type Usage struct {
	Entries int
	Bytes   int
	// Forgotten is the number of issued tickets below the low-water mark, for which
	// the window no longer stores whether they were used.
	Forgotten uint64
}

// Usage returns the present content of the window.
func (w *Window) Usage() Usage {
	return Usage{Entries: len(w.entries), Bytes: w.bytes, Forgotten: w.ledger.low}
}
