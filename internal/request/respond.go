package request

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/saltbend/saltbend/internal/dispatch"
)

// Problem types (RFC 9457) of the answers that saltbend itself generates.
const (
	problemUnknown = "urn:saltbend:outcome-unknown"
	problemNotRun  = "urn:saltbend:not-run"
)

const problemContentType = "application/problem+json"

// problem is the body of an answer that saltbend itself generates.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Reason string `json:"reason,omitempty"`
}

func problemAnswer(outcome Outcome, p problem) *Answer {
	body, err := json.Marshal(p)
	if err != nil {
		panic(err) // can't happen: the struct holds only strings and a number
	}
	header := http.Header{"Content-Type": {problemContentType}}
	return &Answer{Outcome: outcome, Status: p.Status, Header: header, Body: body}
}

// NotRun returns the answer to a request that has not reached any upstream.
func NotRun(status int, reason string, retryAfter time.Duration) *Answer {
	a := problemAnswer(OutcomeNotRun, problem{
		Type: problemNotRun, Title: "The request was not run.", Status: status, Reason: reason,
	})
	if retryAfter > 0 {
		seconds := (retryAfter + time.Second - 1) / time.Second
		a.Header.Set("Retry-After", strconv.Itoa(int(seconds)))
	}
	return a
}

// Unknown returns the answer to a request that may have run.
func Unknown(reason string) *Answer {
	return problemAnswer(OutcomeUnknown, problem{
		Type: problemUnknown, Title: "The request may have run.", Status: http.StatusBadGateway, Reason: reason,
	})
}

// refused returns the answer to a request that the scheduler refused.
func refused(r dispatch.Refuse) *Answer {
	status := http.StatusServiceUnavailable
	if r.Reason == dispatch.ReasonFeeds {
		status = http.StatusTooManyRequests
	}
	return NotRun(status, string(r.Reason), max(r.RetryAfter, time.Second))
}

// hopHeaders are header fields that aren't forwarded: those that concern a single
// connection, and those that saltbend sets itself.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	HeaderTicket, HeaderOutcome,
}

func endToEnd(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// writeHead writes the status and header. Each answer carries a new ticket, unless
// ticket is empty.
func writeHead(w http.ResponseWriter, a *Answer, ticket string) {
	header := w.Header()
	for name, values := range endToEnd(a.Header) {
		header[name] = values
	}
	header.Set(HeaderOutcome, string(a.Outcome))
	if ticket != "" {
		header.Set(HeaderTicket, ticket)
	}
	w.WriteHeader(a.Status)
}
