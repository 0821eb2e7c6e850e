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

// job is a request while it is processed by this agent.
type job struct {
	id       dispatch.ID
	class    config.Class
	call     *Call
	arrived  time.Time
	deadline time.Time
	// body is the rest of a body that is too long for call.Body, or nil if
	// call.Body is complete.
	body io.Reader
	// stream sends an answer that is too long for memory to the caller while it is
	// read. It is nil if the answer has to fit into memory.
	stream func(head *Answer, rest io.Reader) error
	// next delivers the scheduler's next action. It has room for one.
	next chan dispatch.Action
	// attempts counts the runs so far. mayHaveRun is set if one of them may have
	// reached an upstream.
	attempts   int
	mayHaveRun bool
	// longAnswer is set after a sibling found the answer too long to send. Only
	// this agent can stream such an answer to the caller.
	longAnswer bool
	// fallback is the upstream's own answer with status 502, 503 or 504. The caller
	// gets it if no other run succeeds.
	fallback *Answer
}

// jobOf returns the job of a request without body, arrival and deadline.
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

// upstreamRequest builds the request for the local upstream.
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

// jobResult is the result of a job: an answer to send, or a mark that the answer has
// been streamed.
type jobResult struct {
	answer *Answer
	// streamed means that the answer has been sent; truncated means that it was
	// cut off.
	streamed  bool
	truncated bool
}

// readBounded reads up to limit bytes. If the data is longer, it returns limit+1 bytes
// and more is true.
func readBounded(r io.Reader, limit int) (head []byte, more bool, err error) {
	head, err = io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, false, err
	}
	return head, len(head) > limit, nil
}
