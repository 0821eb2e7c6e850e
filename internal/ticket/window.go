package ticket

import (
	"container/list"
	"time"

	"github.com/pkg/errors"
)

// Outcome is how a request ended.
type Outcome uint8

// Outcomes of a request.
const (
	// Complete says that the request ran and its whole answer is known.
	Complete Outcome = iota + 1
	// NotRun says that the request did not run and never will under its ticket.
	NotRun
	// Unknown says that the request may have run. It claims nothing else.
	Unknown
)

// String returns the outcome's name as it stands in an HTTP header.
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

// Answer is an upstream's whole answer.
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

// Result is an outcome with the answer of a complete one.
type Result struct {
	Outcome Outcome
	Answer  Answer
}

// Verdict tells what to do with a request that arrived under a ticket.
type Verdict uint8

// Verdicts of Window.Admit.
const (
	// Admitted says that the request is now queued and may be started.
	Admitted Verdict = iota + 1
	// Joined says that the same request is queued or running already: its one
	// outcome is also this request's.
	Joined
	// Settled says that the outcome is known; it comes along.
	Settled
	// Mismatch says that the ticket belongs to another request. This one did
	// not run and never will under this ticket.
	Mismatch
)

// Errors of New.
var (
	errEntries = errors.New("ticket: the window needs at least one entry")
	errBytes   = errors.New("ticket: the window's byte bound must not be negative")
	errSpan    = errors.New("ticket: the window needs a span of at least one ticket")
)

// Bounds limit what a window keeps.
type Bounds struct {
	// Entries bounds queued, running and recorded requests together.
	Entries int
	// Bytes bounds the recorded answers; a larger answer is not recorded.
	Bytes int
	// Span is the number of issued tickets, newest first, of which the window
	// knows whether they were used. It costs two bits each.
	Span int
}

// DefaultBounds keep some minutes of answers of one upstream: 4,096 answers in
// at most 8 MiB, and two million issued tickets in 512 KiB.
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

// Window holds the state of every ticket that one incarnation has issued. Each
// method is one step: its caller serialises them. Times are the home's own.
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

// Issue returns the nonce of a fresh ticket.
func (w *Window) Issue() uint64 {
	return w.ledger.issue()
}

// Admit takes in a request under a ticket that this incarnation issued. The
// result is meaningful for Settled only.
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

// enqueue admits a first use. In a closed window, or with no room even after
// forgetting the oldest record, the request is refused for good.
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

// Start moves a queued request to running and reports whether it may run. A
// request whose deadline is past is voided in the same step, so a process that
// was paused does not run what its caller no longer waits for.
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

// Void removes a queued or unused ticket for good and reports whether the
// ticket is known never to have run: only then may a caller be told so.
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

// Finish records how a running request ended. NotRun is for a request that the
// upstream surely never saw.
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

// evictOldest gives up the oldest record: its ticket is spent from now on.
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

// Usage is what a window holds at one moment.
type Usage struct {
	Entries int
	Bytes   int
	// Forgotten is the number of issued tickets below the low-water mark.
	Forgotten uint64
}

// Usage returns what the window holds.
func (w *Window) Usage() Usage {
	return Usage{Entries: len(w.entries), Bytes: w.bytes, Forgotten: w.ledger.low}
}
