// Package home ensures that non-idempotent requests run at most once. A process is the
// home of the tickets that it issued. It decides about requests under these tickets by
// its outcome window (internal/ticket), and forwards requests under other tickets to
// their homes. Only the home of a ticket decides that a request has not run; other
// processes report this only if they have it from the home's answer or from the home's
// closing, the record that a home sends when it stops.
package home

import (
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/logging"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/peer"
	"github.com/saltbend/saltbend/internal/request"
	"github.com/saltbend/saltbend/internal/ticket"
)

// Part identifies this package in logs.
const Part = "home"

// Options configure a Home.
type Options struct {
	// Self describes this process. Only its control address, incarnation and
	// service are used.
	Self   member.Member
	Source control.Source
	// Caller calls other agents.
	Caller peer.Caller
	Ring   *keyring.Ring
	// Bounds limit the outcome window. The zero value selects
	// ticket.DefaultBounds.
	Bounds ticket.Bounds
	Logger *slog.Logger
}

// Home implements request.Tickets. It is safe for concurrent use.
type Home struct {
	o       Options
	tag     config.Tag
	log     *slog.Logger
	codec   atomic.Pointer[ticket.Codec]
	metrics *counters
	// attempts numbers the requests that this process has forwarded.
	attempts atomic.Uint64

	mu     sync.Mutex
	window *ticket.Window
	runs   map[uint64]*run // queued and running, by nonce
	idle   chan struct{}   // closed at the end of the last run; nil unless Close waits

	closings closings
}

var _ request.Tickets = (*Home)(nil)

// run is a queued or running ticket with the callers that wait for its outcome.
type run struct {
	callers   int
	abandoned chan struct{}
	waits     []chan *request.Answer
}

// New returns the home of the tickets that this process will issue.
func New(o Options) (*Home, error) {
	if o.Bounds == (ticket.Bounds{}) {
		o.Bounds = ticket.DefaultBounds
	}
	window, err := ticket.New(o.Bounds)
	if err != nil {
		return nil, errors.Wrap(err, "home")
	}
	h := &Home{
		o:      o,
		tag:    config.TagOf(o.Self.Service),
		log:    logging.Part(o.Logger, Part),
		window: window,
		runs:   map[uint64]*run{},
	}
	h.metrics = newCounters(h)
	h.SetRing(o.Ring)
	return h, nil
}

// SetRing replaces the keys by those of the ring.
func (h *Home) SetRing(ring *keyring.Ring) {
	h.codec.Store(ticket.NewCodec(ring))
}

// Issue implements request.Tickets.
func (h *Home) Issue() string {
	h.mu.Lock()
	nonce := h.window.Issue()
	h.mu.Unlock()
	return h.codec.Load().Seal(ticket.Ticket{
		Home:        h.o.Self.Control,
		Incarnation: h.o.Self.Incarnation,
		Service:     h.tag,
		Nonce:       nonce,
	})
}

// Begin implements request.Tickets.
func (h *Home) Begin(text string, digest ticket.Digest, deadline time.Time) request.Decision {
	t, err := h.codec.Load().Open(text, h.tag)
	switch {
	case errors.Is(err, ticket.ErrText), errors.Is(err, ticket.ErrService):
		// No agent of this service can have run a request under a ticket with this
		// text.
		return refuse(err)
	case err != nil:
		// The ticket may have been sealed with a key that was removed since. Then
		// its request may have run.
		return request.Decision{Verdict: request.VerdictUnknown}
	case t.Home == h.o.Self.Control && t.Incarnation == h.o.Self.Incarnation:
		return h.admit(t.Nonce, digest, deadline)
	}
	return h.decideForeign(t)
}

// decideForeign decides about a ticket of another home, or of an earlier incarnation at
// this address.
func (h *Home) decideForeign(t ticket.Ticket) request.Decision {
	if outcome, ok := h.closings.outcome(t); ok {
		return afterClose(outcome)
	}
	if t.Home == h.o.Self.Control || stateOf(h.o.Source.Snapshot(), t) == replaced {
		return request.Decision{Verdict: request.VerdictUnknown}
	}
	return request.Decision{Verdict: request.VerdictForward, Home: t.Home}
}

func (h *Home) admit(nonce uint64, digest ticket.Digest, deadline time.Time) request.Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	verdict, result := h.window.Admit(nonce, digest, deadline)
	switch verdict {
	case ticket.Admitted:
		r := &run{callers: 1, abandoned: make(chan struct{})}
		h.runs[nonce] = r
		return request.Decision{Verdict: request.VerdictRun, ID: idOf(nonce), Abandoned: r.abandoned}
	case ticket.Joined:
		return request.Decision{Verdict: request.VerdictWait, ID: idOf(nonce), Wait: h.runs[nonce].join()}
	case ticket.Mismatch:
		return refuse(errMismatch)
	}
	return settled(result)
}

// join adds a caller that waits for the outcome.
func (r *run) join() <-chan *request.Answer {
	wait := make(chan *request.Answer, 1)
	r.callers++
	r.waits = append(r.waits, wait)
	return wait
}

// Start implements request.Tickets.
func (h *Home) Start(id request.TicketID, now time.Time) bool {
	nonce := nonceOf(id)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.window.Start(nonce, now) {
		return true
	}
	h.settle(nonce, notRun(reasonExpired))
	return false
}

// Finish implements request.Tickets.
func (h *Home) Finish(id request.TicketID, answer *request.Answer) {
	nonce := nonceOf(id)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.window.Finish(nonce, resultOf(answer))
	h.settle(nonce, answer)
}

// Void implements request.Tickets.
func (h *Home) Void(id request.TicketID) bool {
	nonce := nonceOf(id)
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.window.Void(nonce) {
		return false
	}
	h.settle(nonce, notRun(reasonVoided))
	return true
}

// Leave implements request.Tickets.
func (h *Home) Leave(id request.TicketID) {
	nonce := nonceOf(id)
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.runs[nonce]
	if r == nil {
		return
	}
	r.callers--
	if r.callers == 0 && h.window.Void(nonce) {
		h.abandon(nonce)
	}
}

// abandon ends a ticket that has been voided, and notifies the handler whose request
// was queued under the ticket.
func (h *Home) abandon(nonce uint64) {
	if r := h.runs[nonce]; r != nil {
		close(r.abandoned)
	}
	h.settle(nonce, notRun(reasonVoided))
}

// settle sends the outcome to all callers that wait for it.
func (h *Home) settle(nonce uint64, answer *request.Answer) {
	r := h.runs[nonce]
	if r == nil {
		return
	}
	delete(h.runs, nonce)
	h.signalIdle()
	for _, wait := range r.waits {
		wait <- answer // never blocks: the channel has room for its only answer
	}
}

func idOf(nonce uint64) request.TicketID {
	return request.TicketID(strconv.FormatUint(nonce, 10))
}

// nonceOf returns the nonce of an ID that this process issued. For any other ID it
// returns a nonce that is never issued.
func nonceOf(id request.TicketID) uint64 {
	nonce, err := strconv.ParseUint(string(id), 10, 64)
	if err != nil {
		return ^uint64(0)
	}
	return nonce
}
