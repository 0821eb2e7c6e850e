package request

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/dispatch"
	"github.com/saltbend/saltbend/internal/retry"
	"github.com/saltbend/saltbend/internal/upstream"
)

// errLongAnswer means that an answer exceeds the memory limit and can't be streamed.
var errLongAnswer = errors.New("request: answer exceeds the size limit and can't be streamed")

// errTransient stands for an answer with a status that describes the upstream's state
// rather than the request.
var errTransient = errors.New("request: upstream answered with status 502, 503 or 504")

// reasonStopped means that the process is stopping.
const reasonStopped dispatch.Reason = "stopped"

// runIdempotent runs a job, on the local upstream or on a sibling, until it succeeds or
// no further retry is allowed.
func (h *Handler) runIdempotent(ctx context.Context, j *job) jobResult {
	h.countRequest()
	for isRetry := false; ; isRetry = true {
		request := j.scheduled()
		request.PreferSibling = isRetry
		e, err := h.runOnce(ctx, j, request)
		if err == nil {
			return e
		}
		if ctx.Err() != nil || !h.allowRetry(j) {
			return h.failed(j, err)
		}
		h.metrics.retried(j.class.Name)
	}
}

// runOnce submits the job to the scheduler and carries out its actions. An error means
// that a run failed.
func (h *Handler) runOnce(ctx context.Context, j *job, request dispatch.Request) (jobResult, error) {
	if !h.engine.post(arrival{job: j, request: request}) {
		return j.refusedResult(dispatch.Refuse{ID: j.id, Reason: reasonStopped}), nil
	}
	for {
		switch a := h.await(ctx, j).(type) {
		case dispatch.Start:
			return h.runLocal(ctx, j)
		case dispatch.Refuse:
			h.metrics.refused(j.class.Name, a.Reason)
			return j.refusedResult(a), nil
		case dispatch.Push:
			e, taken, err := h.runOnSibling(ctx, j, a)
			if taken {
				return e, err
			}
		}
	}
}

// refusedResult returns the result of a job that the scheduler refused. The outcome is
// OutcomeNotRun, unless an earlier attempt may have run.
func (j *job) refusedResult(r dispatch.Refuse) jobResult {
	if j.fallback != nil {
		return jobResult{answer: j.fallback}
	}
	if j.mayHaveRun {
		return jobResult{answer: Unknown(string(r.Reason))}
	}
	return jobResult{answer: refused(r)}
}

// failed returns the result of a job whose last run failed.
func (h *Handler) failed(j *job, err error) jobResult {
	if j.fallback != nil {
		return jobResult{answer: j.fallback}
	}
	if j.mayHaveRun {
		return jobResult{answer: Unknown(failureReason(err))}
	}
	return jobResult{answer: NotRun(http.StatusServiceUnavailable, failureReason(err), time.Second)}
}

func failureReason(err error) string {
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return "deadline"
	case errors.Is(err, context.Canceled):
		return "cancelled"
	case errors.Is(err, upstream.ErrNotSent):
		return "upstream-unreachable"
	default:
		return "upstream-failed"
	}
}

// await returns the scheduler's next action for the job. If ctx ends first, await
// removes the job from the queue. If the job isn't queued any more, its next action is
// already on its way, and await returns that.
func (h *Handler) await(ctx context.Context, j *job) dispatch.Action {
	select {
	case a := <-j.next:
		return a
	case <-ctx.Done():
	case <-h.engine.done:
		return dispatch.Refuse{ID: j.id, Reason: reasonStopped}
	}
	if h.removeQueued(j) {
		return dispatch.Refuse{ID: j.id, Reason: dispatch.ReasonExpired}
	}
	select {
	case a := <-j.next:
		return a
	case <-h.engine.done:
		return dispatch.Refuse{ID: j.id, Reason: reasonStopped}
	}
}

func (h *Handler) removeQueued(j *job) bool {
	reply := make(chan bool, 1)
	if !h.engine.post(removal{id: j.id, reply: reply}) {
		return false
	}
	select {
	case wasQueued := <-reply:
		return wasQueued
	case <-h.engine.done:
		return false
	}
}

// runLocal runs a started job on the local upstream and frees its slot once the answer is
// complete.
func (h *Handler) runLocal(ctx context.Context, j *job) (jobResult, error) {
	began := time.Now()
	h.metrics.waited(j.class.Name, began.Sub(j.arrived))
	e, err := h.exchange(ctx, j)
	service := time.Since(began)
	complete := err == nil && !e.truncated
	h.observe(ctx, e, err, service)
	h.engine.post(ended{id: j.id, service: service, complete: complete})
	return e, err
}

// exchange sends the request to the local upstream once and receives the answer.
func (h *Handler) exchange(ctx context.Context, j *job) (jobResult, error) {
	if err := ctx.Err(); err != nil {
		return jobResult{}, errors.Wrap(err, "request: ended before it was sent to the upstream")
	}
	r, err := j.upstreamRequest(ctx)
	if err != nil {
		return jobResult{}, err
	}
	j.attempts++
	response, err := h.o.Upstream.Run(ctx, r, j.class)
	if err != nil {
		j.mayHaveRun = j.mayHaveRun || !errors.Is(err, upstream.ErrNotSent)
		return jobResult{}, errors.Wrap(err, "request: run on upstream")
	}
	defer response.Body.Close()
	return h.receive(j, response)
}

// receive reads the upstream's answer into memory. An answer that exceeds the limit is
// streamed.
func (h *Handler) receive(j *job, response *http.Response) (jobResult, error) {
	limit := h.bodyBytes()
	body, more, err := readBounded(response.Body, limit)
	if err != nil {
		j.mayHaveRun = true
		return jobResult{}, errors.Wrap(err, "request: read answer")
	}
	answer := &Answer{
		Outcome: OutcomeComplete,
		Status:  response.StatusCode,
		Header:  endToEnd(response.Header),
		Body:    body,
	}
	if j.class.Idempotent && !more && transient(answer.Status) {
		j.fallback = answer
		return jobResult{}, errTransient
	}
	if !more {
		return jobResult{answer: answer}, nil
	}
	if j.stream == nil {
		j.mayHaveRun = true
		return jobResult{}, errLongAnswer
	}
	err = j.stream(answer, response.Body)
	return jobResult{streamed: true, truncated: err != nil}, nil
}

// transient reports whether a status describes the upstream's state rather than the
// request.
func transient(status int) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	default:
		return false
	}
}

func (h *Handler) countRequest() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget.Request()
}

func (h *Handler) allowRetry(j *job) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.budget.Allow(retry.Failure{
		Idempotent: j.class.Idempotent,
		Attempts:   j.attempts,
		Left:       time.Until(j.deadline),
	})
}
