package request

import (
	"context"
	"net/netip"
	"time"
)

// Tickets keeps non-idempotent requests to one run. The methods are safe for
// concurrent use and don't block, but for Pass.
//
// After VerdictRun the handler calls exactly one of Void and Finish: Void when
// the scheduler gave the request up before its start (the handler alone can
// start it, so nothing runs behind a void), Finish when it was started.
type Tickets interface {
	// Issue returns a fresh ticket whose home is this process.
	Issue() string
	// Begin presents a ticket whose request has to be done by the deadline.
	Begin(ticket string, now, deadline time.Time) Decision
	// Finish records the answer of a run: complete, unknown, or not run when
	// the upstream surely never saw it.
	Finish(id TicketID, now time.Time, answer *Answer)
	// Void records that the request was removed before its start. It reports
	// false when the ticket had run; the caller is then told "unknown".
	Void(id TicketID, now time.Time) bool
	// Pass has the home agent at the control address decide and answer. An
	// error means that the outcome is unknown.
	Pass(ctx context.Context, home netip.AddrPort, ticket string, call *Call) (*Answer, error)
}

// HomeRunner is the handler as the home's net/rpc service sees it: it presents
// a passed ticket to Begin and, on VerdictRun, dispatches the call here.
type HomeRunner interface {
	// RunPassed answers a call that another agent passed to this home. It
	// doesn't pass it on.
	RunPassed(ctx context.Context, ticket string, call *Call) *Answer
}
