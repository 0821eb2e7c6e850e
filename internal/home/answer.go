package home

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/request"
	"github.com/saltbend/saltbend/internal/ticket"
)

// Values of the reason field in this package's answers.
const (
	reasonExpired  = "expired"
	reasonVoided   = "voided"
	reasonHomeGone = "home-gone"
)

// retryAfter is the Retry-After of an answer to a request with a voided ticket.
const retryAfter = time.Second

// errMismatch means that the ticket has been used for another request before.
var errMismatch = errors.New("home: the ticket was used for another request")

// refuse returns the decision about a request that has not run and never will under its
// ticket.
func refuse(cause error) request.Decision {
	d := request.Decision{Verdict: request.VerdictRefuse, Status: http.StatusPreconditionRequired}
	switch {
	case errors.Is(cause, errMismatch):
		d.Status, d.Reason = http.StatusUnprocessableEntity, "ticket-of-another-request"
	case errors.Is(cause, ticket.ErrService):
		d.Reason = "ticket-of-another-service"
	default:
		d.Reason = "ticket-malformed"
	}
	return d
}

// settled returns the decision about a ticket with a known outcome.
func settled(r ticket.Result) request.Decision {
	switch r.Outcome {
	case ticket.Complete:
		return request.Decision{Verdict: request.VerdictReplay, Answer: &request.Answer{
			Outcome: request.OutcomeComplete,
			Status:  r.Answer.Status,
			Header:  r.Answer.Header,
			Body:    r.Answer.Body,
		}}
	case ticket.NotRun:
		return request.Decision{Verdict: request.VerdictReplay, Answer: notRun(reasonVoided)}
	default:
		return request.Decision{Verdict: request.VerdictUnknown}
	}
}

// resultOf returns the result that the window records for an answer.
func resultOf(a *request.Answer) ticket.Result {
	switch a.Outcome {
	case request.OutcomeComplete:
		return ticket.Result{
			Outcome: ticket.Complete,
			Answer:  ticket.Answer{Status: a.Status, Header: a.Header, Body: a.Body},
		}
	case request.OutcomeNotRun:
		return ticket.Result{Outcome: ticket.NotRun}
	default:
		return ticket.Result{Outcome: ticket.Unknown}
	}
}

func notRun(reason string) *request.Answer {
	return request.NotRun(http.StatusServiceUnavailable, reason, retryAfter)
}
