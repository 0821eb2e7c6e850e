// Package caller simulates callers over HTTP/3: lookups, feeds, timer batches, exam answers
// and uploads. It checks that each answer belongs to its request, and counts the outcomes
// that callers receive.
package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/saltbend/saltbend/internal/wait"
	"github.com/saltbend/saltbend/test/upstream"
)

const (
	headerTicket  = "Saltbend-Ticket"
	headerOutcome = "Saltbend-Outcome"

	idleTimeout = 60 * time.Second
	// redialPause is the pause after a transport failure, which keeps a caller from
	// reconnecting in a busy loop.
	redialPause = 50 * time.Millisecond
	// defaultRetryAfter is the pause after a refusal without the header Retry-After.
	defaultRetryAfter = time.Second
)

// Options of a caller.
type Options struct {
	// Name prefixes the request ids; it must be unique in a run.
	Name string
	// Face is the public address, Service the service expected behind it.
	Face       netip.AddrPort
	Service    string
	ServerName string
	Roots      *x509.CertPool
	Tally      *Tally
	// AttemptTimeout limits one attempt of a submission; zero means no limit.
	AttemptTimeout time.Duration
	// KeepAlive is the interval of keep-alive pings on an idle connection; zero disables
	// them.
	KeepAlive time.Duration
}

// Caller uses one HTTP/3 connection for submissions, which it replaces when an attempt
// fails, and another for all other requests. Its methods are safe for concurrent use except
// for Submit, since a caller has only one ticket.
type Caller struct {
	o          Options
	transport  *http3.Transport
	submitting *http3.Transport
	ticket     string
}

// New returns a caller. It connects with the first request.
func New(o Options) *Caller {
	return &Caller{o: o, transport: newTransport(o), submitting: newTransport(o)}
}

func newTransport(o Options) *http3.Transport {
	return &http3.Transport{
		TLSClientConfig: &tls.Config{RootCAs: o.Roots, ServerName: o.ServerName},
		QUICConfig:      &quic.Config{MaxIdleTimeout: idleTimeout, KeepAlivePeriod: o.KeepAlive},
	}
}

// Close closes the caller's connections.
func (c *Caller) Close() {
	_ = c.transport.Close() // errors don't matter, the connections aren't used again
	_ = c.submitting.Close()
}

// redial closes the connection for submissions; the next submission opens a new one.
func (c *Caller) redial() {
	_ = c.submitting.Close() // an error doesn't matter, the connection isn't used again
	c.submitting = newTransport(c.o)
}

// reply is a response as received by the caller.
type reply struct {
	status     int
	outcome    string
	ticket     string
	retryAfter time.Duration
	body       []byte
}

// refused reports whether the reply says that the request was not run.
func (r reply) refused() bool {
	return r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
}

func (c *Caller) send(ctx context.Context, over *http3.Transport, method, path, id, ticket string, body []byte) (reply, error) {
	req, err := http.NewRequestWithContext(ctx, method, "https://"+c.o.Face.String()+path, bytes.NewReader(body))
	if err != nil {
		return reply{}, errors.Wrap(err, "build request")
	}
	req.Header.Set(upstream.HeaderRequestID, id)
	req.Header.Set(upstream.HeaderWanted, c.o.Service)
	if ticket != "" {
		req.Header.Set(headerTicket, ticket)
	}
	resp, err := over.RoundTrip(req)
	if err != nil {
		return reply{}, errors.Wrap(err, "send request")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}, errors.Wrap(err, "read answer")
	}
	return reply{
		status:     resp.StatusCode,
		outcome:    resp.Header.Get(headerOutcome),
		ticket:     resp.Header.Get(headerTicket),
		retryAfter: retryAfter(resp.Header),
		body:       data,
	}, nil
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil {
		return defaultRetryAfter
	}
	return time.Duration(seconds) * time.Second
}

// check checks that a reply is the complete answer to the request with the id and body.
func (c *Caller) check(r reply, id string, body []byte) error {
	if r.status != http.StatusOK {
		return errors.Errorf("status %d outcome %q: %.100s", r.status, r.outcome, r.body)
	}
	var a upstream.Answer
	if err := json.Unmarshal(r.body, &a); err != nil {
		return errors.Wrap(err, "decode answer")
	}
	sum := sha256.Sum256(body)
	switch {
	case a.Service != c.o.Service:
		return errors.Errorf("answer of service %q to a request for %q", a.Service, c.o.Service)
	case a.ID != id:
		return errors.Errorf("answer to request %q instead of %q", a.ID, id)
	case a.BodySum != hex.EncodeToString(sum[:]):
		return errors.Errorf("the upstream received a body of %d bytes that differs from the %d bytes sent", a.BodyBytes, len(body))
	}
	return nil
}

// Lookup looks up one runner. After a refusal it retries at the time that the refusal names,
// until ctx is cancelled. It does not retry after a failed connection.
func (c *Caller) Lookup(ctx context.Context) error {
	return c.idempotent(ctx, KindLookup, http.MethodGet, upstream.PathLookup, nil)
}

// Upload sends a photo. It retries as Lookup does.
func (c *Caller) Upload(ctx context.Context, photo []byte) error {
	return c.idempotent(ctx, KindUpload, http.MethodPut, upstream.PathUpload, photo)
}

func (c *Caller) idempotent(ctx context.Context, kind Kind, method, path string, body []byte) error {
	id := c.newID()
	start := time.Now()
	for {
		r, err := c.send(ctx, c.transport, method, path+id, id, "", body)
		if err == nil && r.refused() {
			c.o.Tally.refuse(kind, id)
			if wait.For(ctx, r.retryAfter) == nil {
				continue
			}
			err = errors.New("request was refused until its deadline")
		}
		if err == nil {
			err = c.check(r, id, body)
		}
		c.o.Tally.end(kind, id, start, err)
		return err
	}
}

// Outcome is the result of a submission.
type Outcome string

// Outcomes of Submit.
const (
	OutcomeComplete Outcome = "complete"
	OutcomeUnknown  Outcome = "unknown"
	OutcomeFailed   Outcome = "failed"
)

// Submit sends a non-idempotent request with a ticket. Until it receives a final answer it
// repeats the request with the same ticket, after a transport failure on a new connection.
// After a refusal it uses a new ticket and a new attempt number in the request id, so that
// a run of the refused attempt can be detected.
func (c *Caller) Submit(ctx context.Context, path string, body []byte) (Outcome, error) {
	stem := c.newID()
	start := time.Now()
	outcome, err := c.submit(ctx, stem, path, body)
	c.o.Tally.endSubmission(stem, start, outcome, err)
	return outcome, err
}

func (c *Caller) submit(ctx context.Context, stem, path string, body []byte) (Outcome, error) {
	ticket := c.ticket
	c.ticket = ""
	for attempt := 0; ; {
		id := AttemptID(stem, attempt)
		r, err := c.attempt(ctx, path, id, ticket, body)
		switch {
		case err != nil:
			c.redial()
			if wait.For(ctx, redialPause) != nil {
				return OutcomeFailed, err
			}
		case r.status == http.StatusPreconditionRequired:
			ticket = r.ticket
		case r.refused():
			c.o.Tally.refuse(KindSubmission, id)
			attempt++
			ticket = r.ticket
			if wait.For(ctx, r.retryAfter) != nil {
				return OutcomeFailed, errors.New("request was refused until its deadline")
			}
		case r.outcome == string(OutcomeUnknown):
			c.ticket = r.ticket
			return OutcomeUnknown, nil
		default:
			c.ticket = r.ticket
			if err := c.check(r, id, body); err != nil {
				return OutcomeFailed, err
			}
			return OutcomeComplete, nil
		}
		if ctx.Err() != nil {
			return OutcomeFailed, ctx.Err()
		}
	}
}

func (c *Caller) attempt(ctx context.Context, path, id, ticket string, body []byte) (reply, error) {
	if c.o.AttemptTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.o.AttemptTimeout)
		defer cancel()
	}
	return c.send(ctx, c.submitting, http.MethodPost, path, id, ticket, body)
}

// AttemptID returns the request id of an attempt. All attempts of one submission have the
// same stem.
func AttemptID(stem string, attempt int) string { return fmt.Sprintf("%s.%d", stem, attempt) }

// ids is the number of request ids issued to all callers of this process.
var ids atomic.Uint64

func (c *Caller) newID() string {
	return fmt.Sprintf("%s-%d", c.o.Name, ids.Add(1))
}
