package request

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/dispatch"
)

// job is one request on its way through this agent.
type job struct {
	id       dispatch.ID
	class    config.Class
	call     *Call
	arrived  time.Time
	deadline time.Time
	// body is the rest of a body that is too long for call.Body, or nil.
	body io.Reader
	// stream passes an answer that is too long for memory to the caller as it
	// comes; nil where an answer has to be whole first.
	stream func(head *Answer, rest io.Reader) error
	// next carries the scheduler's word; it holds one action.
	next chan dispatch.Action
	// attempts counts the runs so far; mayHaveRun tells that one of them may
	// have reached an upstream.
	attempts   int
	mayHaveRun bool
	// longAnswer tells that a sibling could not pass the answer on: only this
	// agent can stream it.
	longAnswer bool
	// fallback is the upstream's own word on its unavailability, which the
	// caller gets if no other run succeeds.
	fallback *Answer
}

// jobOf returns the job of a request, without its body and its times.
func (h *Handler) jobOf(r *http.Request, class config.Class) *job {
	return &job{
		id:    h.engine.nextID(),
		class: class,
		next:  make(chan dispatch.Action, 1),
		call: &Call{
			Service: h.o.Service,
			Method:  r.Method,
			URI:     r.URL.RequestURI(),
			Header:  endToEnd(r.Header),
		},
	}
}

// movable reports whether a sibling may run the job.
func (j *job) movable() bool {
	return j.class.Idempotent && !j.longAnswer && j.body == nil && j.class.Kind == config.KindRequest
}

func (j *job) scheduled() dispatch.Request {
	return dispatch.Request{
		ID:       j.id,
		Priority: j.class.Priority,
		Arrived:  j.arrived,
		Deadline: j.deadline,
		Movable:  j.movable(),
	}
}

// upstreamRequest builds the request to the own upstream.
func (j *job) upstreamRequest(ctx context.Context) (*http.Request, error) {
	var body io.Reader
	switch {
	case j.body != nil:
		body = io.MultiReader(bytes.NewReader(j.call.Body), j.body)
	case len(j.call.Body) > 0:
		body = bytes.NewReader(j.call.Body)
	}
	r, err := http.NewRequestWithContext(ctx, j.call.Method, j.call.URI, body)
	if err != nil {
		return nil, errors.Wrap(err, "request: build")
	}
	r.Header = j.call.Header.Clone()
	if r.Header == nil {
		r.Header = http.Header{}
	}
	return r, nil
}

// jobResult is how a job ended: an answer to write, or one that has been streamed.
type jobResult struct {
	answer *Answer
	// streamed answers have been written; cut tells that the end is missing.
	streamed bool
	cut      bool
}

// readBounded reads up to limit bytes; more tells that there is a rest.
func readBounded(r io.Reader, limit int) (head []byte, more bool, err error) {
	head, err = io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, false, err
	}
	return head, len(head) > limit, nil
}
