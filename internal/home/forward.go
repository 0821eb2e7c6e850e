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
	// maxForwards is how often a request is sent to its home before the home counts as
	// unreachable. Sending it again is safe, because the home's window runs it at most
	// once.
	maxForwards = 3
	// forwardBackoff is the pause before the second try. It doubles with each further
	// try.
	forwardBackoff = 50 * time.Millisecond
	// probeTimeout bounds the probe of a home that isn't in the member list.
	probeTimeout = time.Second
	// unresponsiveDialTime is the duration of a failed connection attempt above which
	// the home's host counts as unresponsive.
	unresponsiveDialTime = time.Second
	// leaveTimeout bounds the message that tells the home that a caller has
	// disconnected.
	leaveTimeout = 2 * time.Second
	// answerMargin is subtracted from the time that the home gets, so that its answer
	// arrives before the caller gets the outcome "unknown".
	answerMargin = 20 * time.Millisecond
)

// errHomeGone means that the process incarnation that issued the ticket has ended.
var errHomeGone = errors.New("home: the process that issued the ticket has ended")

// Forward implements request.Tickets. An error never means that the request has not
// run, even if this process could not send it: an earlier attempt of the caller may
// have reached the home through another agent.
func (h *Home) Forward(ctx context.Context, home netip.AddrPort, text string, call *request.Call) (*request.Answer, error) {
	t, err := h.codec.Load().Open(text, h.tag)
	if err != nil {
		return nil, errors.Wrap(err, "home: open ticket")
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
			return notRun(reasonVoided), nil // the home's closing proves that it has not run
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

// send forwards the request to its home, and tries again if that can succeed.
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
			return nil, errors.Wrap(err, "home: forward request")
		}
		select {
		case <-ctx.Done():
			return nil, errors.Wrap(err, "home: forward request")
		case <-time.After(pause):
			pause *= 2
		}
	}
}

// retryIsPointless reports whether another try would fail like the one that returned
// err after the given time. That is the case if the home's process answered with an
// error, or if its host is unresponsive and doesn't even refuse connections.
func retryIsPointless(err error, took time.Duration) bool {
	var remote rpc.ServerError
	if errors.As(err, &remote) {
		return true
	}
	return errors.Is(err, peer.ErrUnreachable) && took > unresponsiveDialTime
}

// homeTimeout returns the time that the home gets for its answer: the time until the
// deadline of ctx less answerMargin, but at least half of that time. If ctx has no
// deadline, homeTimeout returns the value of otherwise.
func homeTimeout(ctx context.Context, otherwise time.Duration) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return otherwise
	}
	remaining := time.Until(deadline)
	return remaining - min(answerMargin, remaining/2)
}

// probe checks whether the home of a ticket is running although it isn't in the member
// list.
func (h *Home) probe(ctx context.Context, t ticket.Ticket) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply := &ProbeReply{}
	if err := h.o.Caller.Call(ctx, t.Home, methodProbe, &ProbeArgs{}, reply); err != nil {
		return errors.Wrap(err, "home: probe the home of a ticket")
	}
	if reply.Incarnation != t.Incarnation {
		return errHomeGone
	}
	return nil
}

// cancelWhenGone cancels a forwarded request when the member list shows that the home
// has gone.
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

// sendLeave informs the home that the caller of an attempt doesn't wait any more.
func (h *Home) sendLeave(home netip.AddrPort, attempt Attempt) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	args := &LeaveArgs{Attempt: attempt}
	if err := h.o.Caller.Call(ctx, home, methodLeave, args, &LeaveReply{}); err != nil {
		h.log.Debug("Could not cancel a request at the home of its ticket.", "home", home.String(), "error", err)
	}
}

func (h *Home) attempt() Attempt {
	return Attempt{
		From:        h.o.Self.Control,
		Incarnation: h.o.Self.Incarnation,
		Number:      h.attempts.Add(1),
	}
}

// homeState is the state of a ticket's home according to the member list.
type homeState uint8

const (
	// unlisted means that the home isn't in the list: it has gone, or has started so
	// recently that this process hasn't received its entry yet.
	unlisted homeState = iota
	// present means that the home is listed with the ticket's incarnation.
	present
	// replaced means that a later incarnation is listed at the home's address, so the
	// incarnation that issued the ticket has ended.
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
