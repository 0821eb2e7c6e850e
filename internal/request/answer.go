package request

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/ticket"
)

// Outcome is the final result of a request as it is reported to the caller. Each
// request has exactly one.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeComplete means that the upstream's answer is complete.
	OutcomeComplete Outcome = "complete"
	// OutcomeNotRun means that the request has not run on any upstream and will not.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the request may have run. It is final.
	OutcomeUnknown Outcome = "unknown"
)

// Names of the system's header fields.
const (
	// HeaderTicket carries a ticket: in a request the one to run under, in a response a
	// new one for the next request.
	HeaderTicket = "Saltbend-Ticket"
	// HeaderOutcome carries the Outcome of a response.
	HeaderOutcome = "Saltbend-Outcome"
)

// Answer is a complete response in memory. Siblings return it, and the home of a ticket
// records it.
type Answer struct {
	Outcome Outcome
	Status  int
	Header  http.Header
	Body    []byte
}

// Call is a request in memory in the form in which agents send it to each other.
type Call struct {
	Service string
	Method  string
	// URI is the path with the query.
	URI    string
	Header http.Header
	Body   []byte
	// BodyOmitted means that the body was too long to forward. The home can
	// replay an answer or void the ticket, but can't run the request.
	BodyOmitted bool
	// Digest identifies the content of a request under a ticket. The agent that
	// received the request from the caller computes it.
	Digest ticket.Digest
	// Waited is the time since the arrival and Left the time until the deadline.
	// They are durations because the clocks of hosts differ.
	Waited time.Duration
	Left   time.Duration
}

// Verdict says what the state of a ticket allows.
type Verdict uint8

// Verdicts of Tickets.Begin.
const (
	// VerdictRun allows the handler that gets it, and no other, to run the request.
	VerdictRun Verdict = iota + 1
	// VerdictReplay comes with the recorded answer.
	VerdictReplay
	// VerdictWait comes with a channel that delivers the answer of the run in progress.
	// The channel is closed without an answer if the outcome is unknown.
	VerdictWait
	// VerdictForward names the ticket's home agent, which has to decide.
	VerdictForward
	// VerdictRefuse means that the request can't run under the ticket and has not run.
	// The answer has the given Status, 428 if the ticket is invalid.
	VerdictRefuse
	// VerdictUnknown means that the request may have run and that its answer isn't
	// available, for example because the home's incarnation has ended.
	VerdictUnknown
)

// TicketID identifies a ticket within its home.
type TicketID string

// Decision is the result of Tickets.Begin. ID is set with VerdictRun and VerdictWait;
// the other fields are set with the verdict that their comment names.
type Decision struct {
	Verdict Verdict
	ID      TicketID
	Answer  *Answer        // VerdictReplay
	Wait    <-chan *Answer // VerdictWait
	// VerdictRun: Abandoned is closed when the request is voided because all its
	// callers have disconnected.
	Abandoned <-chan struct{}
	Home      netip.AddrPort // VerdictForward: control address of the home
	Status    int            // VerdictRefuse
	Reason    string         // VerdictRefuse
}
