package home

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/request"
	"github.com/saltbend/saltbend/internal/ticket"
)

// Reasons in answers of this package.
const (
	reasonExpired  = "expired"
	reasonVoided   = "voided"
	reasonHomeGone = "home-gone"
)

// retryAfter is when a caller whose ticket was voided may come again.
const retryAfter = time.Second

// errMismatch says that a ticket was used for another request before.
var errMismatch = errors.New("home: the ticket belongs to another request")

// refuse is the decision about a request that did not run and never will under
// its ticket.
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

// settled is the decision about a ticket whose outcome is known.
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

// resultOf is what the window records of an answer.
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
