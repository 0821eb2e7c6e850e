// Package upstream forwards requests to the agent's upstream over HTTP/1.1. Its
// errors distinguish requests that certainly did not run from those that may
// have run, and it never sends a non-idempotent request twice.
package upstream

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/config"
)

// Outcomes of a failed Runner.Run. Use errors.Is to test for them or for the
// cause of the failure.
var (
	// ErrNotSent means that no byte of the request was sent to the upstream. The
	// request did not run and may be sent again.
	ErrNotSent = errors.New("upstream: request not sent")
	// ErrMayHaveRun means that the request was sent, at least in part, and that
	// no complete response was received.
	ErrMayHaveRun = errors.New("upstream: request may have run")
)

// Runner sends requests to the upstream.
type Runner interface {
	// Run sends r and returns the response after its headers have arrived. Only
	// the path and the query of r.URL are used. Run sends the deadline of ctx to
	// the upstream in HeaderDeadline. The end of ctx cancels the request at the
	// upstream, even while the response body is being read. The body must be
	// closed after use. Read of a truncated body returns an error other than
	// io.EOF. If Run fails, its error matches ErrNotSent or ErrMayHaveRun.
	//
	// Run reads r.Body no faster than the upstream accepts it, and does not
	// modify r.
	Run(ctx context.Context, r *http.Request, class config.Class) (*http.Response, error)
}

// Error is the error of a failed Run: its outcome and its cause.
type Error struct {
	// Outcome is ErrNotSent or ErrMayHaveRun.
	Outcome error
	Cause   error
}

// Error implements error.
func (e *Error) Error() string {
	return e.Outcome.Error() + ": " + e.Cause.Error()
}

// Unwrap returns the outcome and the cause for errors.Is and errors.As.
func (e *Error) Unwrap() []error {
	return []error{e.Outcome, e.Cause}
}
