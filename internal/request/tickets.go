package request

import (
	"context"
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/ticket"
)

// Tickets lets each non-idempotent request run at most once. A ticket is a token that a
// caller sends with its request; the agent that issued it is its home. The methods are
// safe for concurrent use, and all except Forward don't block.
//
// After VerdictRun only the handler may start the request. It calls Start right before
// it sends the request to the upstream and Finish afterwards, or Void if the scheduler
// refused the request.
type Tickets interface {
	// Issue returns a new ticket with this process as its home.
	Issue() string
	// Begin decides about a request under a ticket. The request has to end by the
	// deadline. The digest binds the ticket to the content of its first request.
	Begin(ticket string, digest ticket.Digest, deadline time.Time) Decision
	// Start reports whether the request may run now. If its deadline has passed or
	// all its callers have disconnected, Start atomically voids the ticket and
	// returns false: the request has not run and will not.
	Start(id TicketID, now time.Time) bool
	// Finish records the answer of a run: complete, unknown, or not run if the
	// request definitely didn't reach the upstream.
	Finish(id TicketID, answer *Answer)
	// Void records that the request was removed before its start. It returns false
	// if the request may have run; the caller then gets the outcome "unknown".
	Void(id TicketID) bool
	// Leave records that one caller with VerdictRun or VerdictWait doesn't wait any
	// more. A queued request without waiting callers is voided.
	Leave(id TicketID)
	// Forward sends the call to the home agent at the control address, which
	// decides and answers. An error means that the outcome is unknown.
	Forward(ctx context.Context, home netip.AddrPort, ticket string, call *Call) (*Answer, error)
}

// HomeRunner is the part of the Handler that the net/rpc service of package home uses.
type HomeRunner interface {
	// RunForwarded answers a call that another agent forwarded to this agent as
	// the home of the ticket. It presents the ticket to Begin, runs the call on
	// VerdictRun, and never forwards it further.
	RunForwarded(ctx context.Context, ticket string, call *Call) *Answer
}
