package home

import (
	"context"
	"net/netip"
	"net/rpc"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/peer"
	"github.com/saltbend/saltbend/internal/request"
	"github.com/saltbend/saltbend/internal/ticket"
)

const (
	// maxForwards is how often a request is sent to its home before the home counts
	// as unreachable. The home's window makes repeats harmless.
	maxForwards = 3
	// forwardBackoff is the time before the second pass; it doubles with each.
	forwardBackoff = 50 * time.Millisecond
	// probeTimeout bounds the search for a home that no member list names.
	probeTimeout = time.Second
	// unresponsiveDialTime is the time of a failed connection attempt from which the
	// home's host counts as silent.
	unresponsiveDialTime = time.Second
	// leaveTimeout bounds the message that a caller has left.
	leaveTimeout = 2 * time.Second
	// answerMargin is kept back from the home's share of the deadline, so that
	// its word arrives before the caller is told "unknown".
	answerMargin = 20 * time.Millisecond
)

// errHomeGone says that the ticket's incarnation has ended.
var errHomeGone = errors.New("home: the home's incarnation is gone")

// Forward implements request.Tickets. No error says that the request was not run:
// that this process's own message never left proves nothing, because an
// earlier attempt of the caller may have reached the home by another way.
func (h *Home) Forward(ctx context.Context, home netip.AddrPort, text string, call *request.Call) (*request.Answer, error) {
	t, err := h.codec.Load().Open(text, h.tag)
	if err != nil {
		return nil, errors.Wrap(err, "home: pass")
	}
	if stateOf(h.o.Source.Snapshot(), t) == unlisted {
		if err := h.probe(ctx, t); err != nil {
			h.metrics.forwarded("unreachable")
			return nil, err
		}
	}
	watched, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go h.cancelWhenGone(watched, t, cancel)
	args := &RunArgs{Attempt: h.attempt(), Ticket: text, Call: *call}
	answer, err := h.send(watched, home, args)
	if err != nil {
		go h.sendLeave(home, args.Attempt)
		if o, ok := h.closings.outcome(t); ok && o == ticket.NotRun {
			h.metrics.forwarded("closed")
			return notRun(reasonVoided), nil // the home's own word, given in advance
		}
		h.metrics.forwarded("unreachable")
		if cause := context.Cause(watched); cause != nil {
			err = errors.Wrap(cause, err.Error())
		}
		return nil, err
	}
	h.metrics.forwarded("answered")
	return answer, nil
}

// send passes the request until its home answers.
func (h *Home) send(ctx context.Context, home netip.AddrPort, args *RunArgs) (*request.Answer, error) {
	pause := forwardBackoff
	for try := 1; ; try++ {
		args.Call.Left = homeTimeout(ctx, args.Call.Left)
		reply := &RunReply{}
		began := time.Now()
		err := h.o.Caller.Call(ctx, home, methodRun, args, reply)
		if err == nil {
			return &reply.Answer, nil
		}
		if try == maxForwards || ctx.Err() != nil || retryIsPointless(err, time.Since(began)) {
			return nil, errors.Wrap(err, "home: pass")
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrap(err, "home: pass")
		case <-time.After(pause):
			pause *= 2
		}
	}
}

// retryIsPointless reports whether another pass would end as the one did that took so
// long: the home's process answered with an error, or its host doesn't even
// refuse connections.
func retryIsPointless(err error, took time.Duration) bool {
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return true
	}
	return errors.Is(err, peer.ErrUnreachable) && took > unresponsiveDialTime
}

// homeTimeout is the home's share of the time until the deadline of ctx.
func homeTimeout(ctx context.Context, otherwise time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return otherwise
	}
	remaining := time.Until(deadline)
	return remaining - min(answerMargin, remaining/2)
}

// probe asks a home that no member list names whether it is there.
func (h *Home) probe(ctx context.Context, t ticket.Ticket) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply := &ProbeReply{}
	if err := h.o.Caller.Call(ctx, t.Home, methodProbe, &ProbeArgs{}, reply); err != nil {
		return errors.Wrap(err, "home: probe")
	}
	if reply.Incarnation != t.Incarnation {
		return errHomeGone
	}
	return nil
}

// cancelWhenGone ends a pass when the member list says that the home is gone.
func (h *Home) cancelWhenGone(ctx context.Context, t ticket.Ticket, cancel context.CancelCauseFunc) {
	listed := false
	for {
		changed := h.o.Source.Changed()
		switch stateOf(h.o.Source.Snapshot(), t) {
		case present:
			listed = true
		case replaced:
			cancel(errHomeGone)
			return
		case unlisted:
			if listed {
				cancel(errHomeGone)
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// sendLeave tells the home that the caller of an attempt no longer waits.
func (h *Home) sendLeave(home netip.AddrPort, attempt Attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	args := &LeaveArgs{Attempt: attempt}
	if err := h.o.Caller.Call(ctx, home, methodLeave, args, &LeaveReply{}); err != nil {
		h.log.Debug("Home didn't take a cancellation.", "home", home.String(), "error", err)
	}
}

func (h *Home) attempt() Attempt {
	return Attempt{
		From:        h.o.Self.Control,
		Incarnation: h.o.Self.Incarnation,
		Number:      h.attempts.Add(1),
	}
}

// homeState is what a member list says of a ticket's home.
type homeState uint8

const (
	// unlisted homes are gone, or so young that this process doesn't know them.
	unlisted homeState = iota
	// present homes are listed with the ticket's incarnation.
	present
	// replaced homes have a later incarnation: the ticket's own is gone.
	replaced
)

func stateOf(s *control.Snapshot, t ticket.Ticket) homeState {
	if s == nil {
		return unlisted
	}
	for _, m := range s.Agents {
		switch {
		case m.Control != t.Home:
		case m.Incarnation > t.Incarnation:
			return replaced
		case m.Incarnation == t.Incarnation:
			return present
		}
	}
	return unlisted
}
