// Package upstream passes requests to the agent's one upstream over HTTP/1.1.
// It tells apart what was surely not run from what may have run, and it never
// sends a request twice that may not be repeated.
package upstream

import (
	"context"
	"net/http"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/config"
)

// Errors of Runner.Run; errors.Is finds them, and the cause as well.
var (
	// ErrNotSent says that no byte of the request reached the upstream: it was
	// not run and may be sent again.
	ErrNotSent = errors.New("upstream: request not sent")
	// ErrMayHaveRun says that the request was sent, at least in part, and no
	// whole answer is known.
	ErrMayHaveRun = errors.New("upstream: request may have run")
)

// Runner runs requests at the upstream.
type Runner interface {
	// Run sends r, whose URL names path and query only, and returns the
	// response once its headers are there. The deadline of ctx is passed on to
	// the upstream; the end of ctx cancels the request there, also while its
	// body is read. The caller closes the body; a body that ends early yields
	// an error from Read, never a plain io.EOF. A failed Run returns an error
	// that is ErrNotSent or ErrMayHaveRun.
	//
	// Run reads r.Body as fast as the upstream takes it. It does not change r.
	Run(ctx context.Context, r *http.Request, class config.Class) (*http.Response, error)
}

// Error is a failed run: what it means and why it failed.
type Error struct {
	// Outcome is ErrNotSent or ErrMayHaveRun.
	Outcome error
	Cause   error
}

// Error implements error.
func (e *Error) Error() string {
	return e.Outcome.Error() + ": " + e.Cause.Error()
}

// Unwrap gives errors.Is and errors.As both the outcome and the cause.
func (e *Error) Unwrap() []error {
	return []error{e.Outcome, e.Cause}
}
