package request

import (
	"context"
	"net/http"
	"time"

	"github.com/saltbend/saltbend/internal/dispatch"
)

// runTicketed runs a non-idempotent job under its ticket, at most once.
func (h *Handler) runTicketed(ctx context.Context, ticket string, j *job) end {
	if h.o.Tickets == nil {
		return end{answer: NotRun(http.StatusServiceUnavailable, "no-tickets", time.Second)}
	}
	if ticket == "" {
		return end{answer: NotRun(http.StatusPreconditionRequired, "no-ticket", 0)}
	}
	d := h.o.Tickets.Begin(ticket, time.Now(), j.deadline)
	if d.Verdict == VerdictPass {
		return end{answer: h.passHome(ctx, d, ticket, j)}
	}
	return h.decided(ctx, d, j)
}

// decided acts on a verdict of this home.
func (h *Handler) decided(ctx context.Context, d Decision, j *job) end {
	switch d.Verdict {
	case VerdictRun:
		return h.runOwned(ctx, d.ID, j)
	case VerdictReplay:
		return end{answer: d.Answer}
	case VerdictWait:
		return end{answer: awaitAnswer(ctx, d.Wait)}
	case VerdictRefuse:
		return end{answer: NotRun(d.Status, d.Reason, 0)}
	default:
		return end{answer: Unknown("ticket")}
	}
}

// passHome has the ticket's home answer. Nothing runs here.
func (h *Handler) passHome(ctx context.Context, d Decision, ticket string, j *job) *Answer {
	call := *j.call
	call.Waited = time.Since(j.arrived)
	call.Left = time.Until(j.deadline)
	if j.body != nil {
		h.boundBody(&call, j)
	}
	answer, err := h.o.Tickets.Pass(ctx, d.Home, ticket, &call)
	if err != nil {
		h.log.Info("Home of a ticket gave no answer.", "home", d.Home.String(), "error", err)
		return Unknown("home-unreachable")
	}
	return answer
}

// boundBody reads a streamed body into the call if it fits, and omits it
// otherwise.
func (h *Handler) boundBody(call *Call, j *job) {
	rest, more, err := readBounded(j.body, h.bodyBytes()-len(call.Body))
	if err != nil || more {
		call.Body, call.BodyOmitted = nil, true
		return
	}
	call.Body = append(call.Body, rest...)
}

func awaitAnswer(ctx context.Context, wait <-chan *Answer) *Answer {
	select {
	case answer := <-wait:
		if answer != nil {
			return answer
		}
		return Unknown("no-answer")
	case <-ctx.Done():
		return Unknown("deadline")
	}
}

// runOwned runs a job whose ticket this call alone may run. The run isn't
// bound to the caller's connection: a caller that lost it asks again and gets
// the recorded answer.
func (h *Handler) runOwned(ctx context.Context, id TicketID, j *job) end {
	own, cancel := context.WithDeadline(context.WithoutCancel(ctx), j.deadline)
	defer cancel()
	if !h.engine.post(arrival{job: j, request: j.scheduled()}) {
		return h.void(id, dispatch.Refuse{ID: j.id, Reason: reasonStopped})
	}
	switch a := h.await(own, j).(type) {
	case dispatch.Start:
		return h.runOnceOnly(own, id, j)
	case dispatch.Refuse:
		return h.void(id, a)
	default:
		// Only movable jobs are pushed; this one never left the agent.
		return h.void(id, dispatch.Refuse{ID: j.id, Reason: reasonStopped})
	}
}

// void ends a ticketed job that the scheduler gave up. The job is out of the
// queue and only this call could have started it.
func (h *Handler) void(id TicketID, r dispatch.Refuse) end {
	if !h.o.Tickets.Void(id, time.Now()) {
		return end{answer: Unknown(string(r.Reason))}
	}
	return end{answer: refused(r)}
}

// runOnceOnly runs a started job and records its outcome before the caller
// learns it.
func (h *Handler) runOnceOnly(ctx context.Context, id TicketID, j *job) end {
	recorded := false
	record := func(a *Answer) {
		recorded = true
		h.o.Tickets.Finish(id, time.Now(), a)
	}
	defer func() {
		if !recorded {
			record(Unknown("aborted"))
		}
	}()
	e, err := h.runHere(ctx, j)
	switch {
	case err != nil:
		e = h.failed(j, err)
	case e.streamed:
		// The answer went out but was too long to keep.
		record(Unknown("answer-not-kept"))
		return e
	}
	record(e.answer)
	return e
}

// RunPassed answers a call that another agent passed to this home.
func (h *Handler) RunPassed(ctx context.Context, ticket string, call *Call) *Answer {
	j, err := h.passedJob(call)
	if err != nil {
		return NotRun(http.StatusNotFound, "no-class", 0)
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	d := h.o.Tickets.Begin(ticket, time.Now(), j.deadline)
	switch {
	case d.Verdict == VerdictPass:
		return Unknown("home-moved")
	case d.Verdict == VerdictRun && call.BodyOmitted:
		return h.void(d.ID, dispatch.Refuse{Reason: reasonBodyOmitted}).answer
	}
	return h.decided(ctx, d, j).answer
}
