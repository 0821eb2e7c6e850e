package request

import (
	"context"
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/ticket"
)

// Tickets keeps non-idempotent requests to one run. The methods are safe for
// concurrent use and don't block, but for Pass.
//
// After VerdictRun the handler alone may start the request. It calls Start
// right before it sends the request to the upstream, and Finish after that; or
// Void when the scheduler gave the request up first.
type Tickets interface {
	// Issue returns a fresh ticket whose home is this process.
	Issue() string
	// Begin presents a ticket whose request has to be done by the deadline. The
	// digest binds the ticket to the content of its first request.
	Begin(ticket string, digest ticket.Digest, deadline time.Time) Decision
	// Start lets the request run, or voids it in the same step and reports
	// false: its deadline is past or all its callers have left. It did not run
	// and never will.
	Start(id TicketID, now time.Time) bool
	// Finish records the answer of a run: complete, unknown, or not run when
	// the upstream surely never saw it.
	Finish(id TicketID, answer *Answer)
	// Void records that the request was removed before its start. It reports
	// false when the ticket had run; the caller is then told "unknown".
	Void(id TicketID) bool
	// Leave tells that one caller of VerdictRun or VerdictWait no longer waits.
	// A request that nobody waits for is voided while it is queued.
	Leave(id TicketID)
	// Forward has the home agent at the control address decide and answer. An
	// error means that the outcome is unknown.
	Forward(ctx context.Context, home netip.AddrPort, ticket string, call *Call) (*Answer, error)
}

// HomeRunner is the handler as the home's net/rpc service sees it: it presents
// a passed ticket to Begin and, on VerdictRun, dispatches the call here.
type HomeRunner interface {
	// RunForwarded answers a call that another agent passed to this home. It
	// doesn't pass it on.
	RunForwarded(ctx context.Context, ticket string, call *Call) *Answer
}
