package request

import (
	"context"
	"net/http"
	"time"

	"github.com/saltbend/saltbend/internal/dispatch"
	"github.com/saltbend/saltbend/internal/ticket"
)

// runTicketed runs a non-idempotent job at most once under its ticket.
func (h *Handler) runTicketed(ctx context.Context, text string, j *job) jobResult {
	switch {
	case text == "" && h.o.Tickets == nil:
		return jobResult{answer: NotRun(http.StatusServiceUnavailable, "no-tickets", time.Second)}
	case text == "" && h.draining.Load():
		return jobResult{answer: NotRun(http.StatusServiceUnavailable, "draining", time.Second)}
	case text == "":
		return jobResult{answer: NotRun(http.StatusPreconditionRequired, "no-ticket", 0)}
	case h.o.Tickets == nil:
		return jobResult{answer: Unknown("no-tickets")} // the request may have run at another agent
	}
	j.call.Digest = ticket.DigestOf(j.call.Method, j.call.URI, j.call.Body)
	d := h.o.Tickets.Begin(text, j.call.Digest, j.deadline)
	if d.Verdict == VerdictForward {
		return jobResult{answer: h.forwardToHome(ctx, d, text, j)}
	}
	return h.applyDecision(ctx, d, j)
}

// applyDecision acts on a decision of this agent as the home of the ticket.
func (h *Handler) applyDecision(ctx context.Context, d Decision, j *job) jobResult {
	switch d.Verdict {
	case VerdictRun:
		return h.runOwned(ctx, d, j)
	case VerdictReplay:
		return jobResult{answer: d.Answer}
	case VerdictWait:
		return jobResult{answer: h.awaitAnswer(ctx, d)}
	case VerdictRefuse:
		return jobResult{answer: NotRun(d.Status, d.Reason, 0)}
	default:
		return jobResult{answer: Unknown("ticket")}
	}
}

// forwardToHome forwards the job to the ticket's home. Nothing runs at this agent.
func (h *Handler) forwardToHome(ctx context.Context, d Decision, text string, j *job) *Answer {
	call := *j.call
	call.Waited = time.Since(j.arrived)
	call.Left = time.Until(j.deadline)
	if j.body != nil {
		h.boundBody(&call, j)
	}
	answer, err := h.o.Tickets.Forward(ctx, d.Home, text, &call)
	if err != nil {
		h.log.Info("Could not get an answer from the home of a ticket.", "home", d.Home.String(), "error", err)
		return Unknown("home-unreachable")
	}
	return answer
}

// boundBody reads a streamed body into the call if it is within the limit, and omits
// the whole body otherwise.
func (h *Handler) boundBody(call *Call, j *job) {
	rest, more, err := readBounded(j.body, h.bodyBytes()-len(call.Body))
	if err != nil || more {
		call.Body, call.BodyOmitted = nil, true
		return
	}
	call.Body = append(call.Body, rest...)
}

func (h *Handler) awaitAnswer(ctx context.Context, d Decision) *Answer {
	select {
	case answer := <-d.Wait:
		if answer != nil {
			return answer
		}
		return Unknown("no-answer")
	case <-ctx.Done():
		h.o.Tickets.Leave(d.ID)
		return Unknown("deadline")
	}
}

// runOwned runs a job that only this call may run under its ticket. Once started, the
// run continues if the caller disconnects: the caller can send the ticket again and
// gets the recorded answer. A queued job ends when no caller waits for it any more.
func (h *Handler) runOwned(ctx context.Context, d Decision, j *job) jobResult {
	if j.call.BodyOmitted {
		return h.void(d.ID, dispatch.Refuse{ID: j.id, Reason: reasonBodyOmitted})
	}
	defer context.AfterFunc(ctx, func() { h.o.Tickets.Leave(d.ID) })()
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), j.deadline)
	defer cancel()
	if !h.engine.post(arrival{job: j, request: j.scheduled()}) {
		return h.void(d.ID, dispatch.Refuse{ID: j.id, Reason: reasonStopped})
	}
	switch a := h.awaitTurn(runCtx, d, j).(type) {
	case dispatch.Start:
		return h.startOwned(runCtx, d.ID, j)
	case dispatch.Refuse:
		h.metrics.refused(j.class.Name, a.Reason)
		return h.void(d.ID, a)
	default:
		// Only movable jobs are pushed; this one never left the agent.
		return h.void(d.ID, dispatch.Refuse{ID: j.id, Reason: reasonStopped})
	}
}

// awaitTurn waits for the scheduler's action or until the ticket is abandoned.
func (h *Handler) awaitTurn(ctx context.Context, d Decision, j *job) dispatch.Action {
	queued, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-d.Abandoned:
			cancel()
		case <-queued.Done():
		}
	}()
	return h.await(queued, j)
}

// startOwned runs the job, unless its ticket was voided before it got its slot.
func (h *Handler) startOwned(ctx context.Context, id TicketID, j *job) jobResult {
	if !h.o.Tickets.Start(id, time.Now()) {
		h.engine.post(ended{id: j.id})
		return jobResult{answer: refused(dispatch.Refuse{ID: j.id, Reason: dispatch.ReasonExpired})}
	}
	return h.runAndRecord(ctx, id, j)
}

// void ends a job that was refused, and voids its ticket. The job can't have run: it
// isn't queued any more, and only this call could have started it.
func (h *Handler) void(id TicketID, r dispatch.Refuse) jobResult {
	if !h.o.Tickets.Void(id) {
		return jobResult{answer: Unknown(string(r.Reason))}
	}
	return jobResult{answer: refused(r)}
}

// runAndRecord runs a started job and records its outcome before it is sent to the
// caller.
func (h *Handler) runAndRecord(ctx context.Context, id TicketID, j *job) jobResult {
	recorded := false
	record := func(a *Answer) {
		recorded = true
		h.o.Tickets.Finish(id, a)
	}
	defer func() {
		if !recorded {
			record(Unknown("aborted"))
		}
	}()
	e, err := h.runLocal(ctx, j)
	switch {
	case err != nil:
		e = h.failed(j, err)
	case e.streamed:
		// The answer was streamed to the caller but is too long to record.
		record(Unknown("answer-not-kept"))
		return e
	}
	record(e.answer)
	return e
}

// RunForwarded answers a call that another agent forwarded to this agent as the
// ticket's home. A call that matches no class can't run here, but it may have run
// before the configuration changed, so it is still decided by its ticket.
func (h *Handler) RunForwarded(ctx context.Context, text string, call *Call) *Answer {
	j, err := h.forwardedJob(call)
	if err != nil {
		j = h.classless(call)
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	d := h.o.Tickets.Begin(text, call.Digest, j.deadline)
	if d.Verdict == VerdictForward {
		return Unknown("home-moved")
	}
	return h.applyDecision(ctx, d, j).answer
}

// classless returns a job that can't run: its ticket is voided or its recorded outcome
// replayed.
func (h *Handler) classless(call *Call) *job {
	omitted := *call
	omitted.BodyOmitted = true
	now := time.Now()
	return &job{
		id:       h.engine.nextID(),
		call:     &omitted,
		arrived:  now.Add(-call.Waited),
		deadline: now.Add(call.Left),
	}
}

// serveClassless answers a request that matches no class. If it has a ticket, it may
// have run under an earlier configuration that had a class for it.
func (h *Handler) serveClassless(ctx context.Context, text string, j *job) *Answer {
	if text == "" {
		return NotRun(http.StatusNotFound, "no-class", 0)
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	j.call.BodyOmitted = true
	return h.runTicketed(ctx, text, j).answer
}
