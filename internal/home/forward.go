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
	// passes is how often a request is sent to its home before the home counts
	// as unreachable. The home's window makes repeats harmless.
	passes = 3
	// passPause is the time before the second pass; it doubles with each.
	passPause = 50 * time.Millisecond
	// probeTimeout bounds the search for a home that no member list names.
	probeTimeout = time.Second
	// silentDial is the time of a failed connection attempt from which the
	// home's host counts as silent.
	silentDial = time.Second
	// leaveTimeout bounds the message that a caller has left.
	leaveTimeout = 2 * time.Second
	// returnTime is kept back from the home's share of the deadline, so that
	// its word arrives before the caller is told "unknown".
	returnTime = 20 * time.Millisecond
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
	if standing(h.o.Source.Snapshot(), t) == unlisted {
		if err := h.probe(ctx, t); err != nil {
			h.metrics.passed("unreachable")
			return nil, err
		}
	}
	watched, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go h.watch(watched, t, cancel)
	args := &RunArgs{Attempt: h.attempt(), Ticket: text, Call: *call}
	answer, err := h.send(watched, home, args)
	if err != nil {
		go h.leave(home, args.Attempt)
		if o, ok := h.closings.outcome(t); ok && o == ticket.NotRun {
			h.metrics.passed("closed")
			return notRun(reasonVoided), nil // the home's own word, given in advance
		}
		h.metrics.passed("unreachable")
		if cause := context.Cause(watched); cause != nil {
			err = errors.Wrap(cause, err.Error())
		}
		return nil, err
	}
	h.metrics.passed("answered")
	return answer, nil
}

// send passes the request until its home answers.
func (h *Home) send(ctx context.Context, home netip.AddrPort, args *RunArgs) (*request.Answer, error) {
	pause := passPause
	for pass := 1; ; pass++ {
		args.Call.Left = left(ctx, args.Call.Left)
		reply := &RunReply{}
		began := time.Now()
		err := h.o.Caller.Call(ctx, home, methodRun, args, reply)
		if err == nil {
			return &reply.Answer, nil
		}
		if pass == passes || ctx.Err() != nil || hopeless(err, time.Since(began)) {
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

// hopeless reports whether another pass would end as the one did that took so
// long: the home's process answered with an error, or its host doesn't even
// refuse connections.
func hopeless(err error, took time.Duration) bool {
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return true
	}
	return errors.Is(err, peer.ErrUnreachable) && took > silentDial
}

// left is the home's share of the time until the deadline of ctx.
func left(ctx context.Context, otherwise time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return otherwise
	}
	remaining := time.Until(deadline)
	return remaining - min(returnTime, remaining/2)
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

// watch ends a pass when the member list says that the home is gone.
func (h *Home) watch(ctx context.Context, t ticket.Ticket, cancel context.CancelCauseFunc) {
	listed := false
	for {
		changed := h.o.Source.Changed()
		switch standing(h.o.Source.Snapshot(), t) {
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

// leave tells the home that the caller of an attempt no longer waits.
func (h *Home) leave(home netip.AddrPort, attempt Attempt) {
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

// whereabouts is what a member list says of a ticket's home.
type whereabouts uint8

const (
	// unlisted homes are gone, or so young that this process doesn't know them.
	unlisted whereabouts = iota
	// present homes are listed with the ticket's incarnation.
	present
	// replaced homes have a later incarnation: the ticket's own is gone.
	replaced
)

func standing(s *control.Snapshot, t ticket.Ticket) whereabouts {
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
