package request

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/saltbend/saltbend/internal/dispatch"
)

// Problem types (RFC 9457) of answers that the system itself gives.
const (
	problemUnknown = "urn:saltbend:outcome-unknown"
	problemNotRun  = "urn:saltbend:not-run"
)

const problemContentType = "application/problem+json"

// problem is the body of such an answer.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Reason string `json:"reason,omitempty"`
}

func problemAnswer(outcome Outcome, p problem) *Answer {
	body, err := json.Marshal(p)
	if err != nil {
		panic(err) // a struct of strings and a number always encodes
	}
	header := http.Header{"Content-Type": {problemContentType}}
	return &Answer{Outcome: outcome, Status: p.Status, Header: header, Body: body}
}

// NotRun is the answer to a request that no upstream has seen.
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

// Unknown is the final answer to a request that may have run.
func Unknown(reason string) *Answer {
	return problemAnswer(OutcomeUnknown, problem{
		Type: problemUnknown, Title: "The request may have run.", Status: http.StatusBadGateway, Reason: reason,
	})
}

// refused is the answer to a request that the scheduler gave up.
func refused(r dispatch.Refuse) *Answer {
	status := http.StatusServiceUnavailable
	if r.Reason == dispatch.ReasonFeeds {
		status = http.StatusTooManyRequests
	}
	return NotRun(status, string(r.Reason), max(r.RetryAfter, time.Second))
}

// hopHeaders are fields of one connection, which aren't passed on.
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

// writeHead writes status and headers; a fresh ticket comes with each answer.
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
