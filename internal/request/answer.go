package request

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/ticket"
)

// Outcome is the one end of a request, as the caller is told.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeComplete is the upstream's whole answer.
	OutcomeComplete Outcome = "complete"
	// OutcomeNotRun tells that the request never reached an upstream.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown tells that the request may have run; it is final.
	OutcomeUnknown Outcome = "unknown"
)

// Names of the system's header fields.
const (
	// HeaderTicket names the ticket to run under (request) or a fresh one
	// (response).
	HeaderTicket = "Saltbend-Ticket"
	// HeaderOutcome carries the Outcome of a response.
	HeaderOutcome = "Saltbend-Outcome"
)

// Answer is a whole response in memory: what a sibling returns and what the
// home of a ticket records.
type Answer struct {
	Outcome Outcome
	Status  int
	Header  http.Header
	Body    []byte
}

// Call is a request in memory, as one agent passes it to another.
type Call struct {
	Service string
	Method  string
	// URI is the path with the query.
	URI    string
	Header http.Header
	Body   []byte
	// BodyOmitted tells that the body was too long to pass: the home may
	// replay or void the ticket, but can't run it.
	BodyOmitted bool
	// Digest identifies the content of a request under a ticket, as the agent
	// saw it at which the request arrived.
	Digest ticket.Digest
	// Waited is the time since the arrival and Left the time until the
	// deadline; durations, since clocks of hosts don't agree.
	Waited time.Duration
	Left   time.Duration
}

// Verdict is what the ticket's state allows.
type Verdict uint8

// Verdicts of Tickets.Begin.
const (
	// VerdictRun lets this caller of Begin, and no other, run the request.
	VerdictRun Verdict = iota + 1
	// VerdictReplay gives the recorded answer.
	VerdictReplay
	// VerdictWait gives a channel that delivers the answer of the run in
	// progress; it is closed without one when none can be had (unknown).
	VerdictWait
	// VerdictForward names the home agent of the ticket, which decides.
	VerdictForward
	// VerdictRefuse tells that the ticket can't run: not run, answer 428 or
	// the given Status.
	VerdictRefuse
	// VerdictUnknown tells that the ticket may have run and no answer can be
	// had (its home's incarnation is gone).
	VerdictUnknown
)

// TicketID identifies a ticket at its home.
type TicketID string

// Decision is the result of Tickets.Begin; fields besides Verdict and ID are
// set as the verdict says.
type Decision struct {
	Verdict Verdict
	ID      TicketID
	Answer  *Answer        // VerdictReplay
	Wait    <-chan *Answer // VerdictWait
	// Abandoned is closed when the request was voided because all its callers
	// left; VerdictRun.
	Abandoned <-chan struct{}
	Home      netip.AddrPort // VerdictPass: control address of the home
	Status    int            // VerdictRefuse
	Reason    string         // VerdictRefuse
}
