package httpstore

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/store"
)

// Values of the call label of the calls metric.
const (
	callGet    = "get"
	callList   = "list"
	callSwap   = "swap"
	callDelete = "delete"
	callWatch  = "watch"
)

const keyPath = "/v1/kv/"

// call is one request to the key-value service.
type call struct {
	name   string
	method string
	key    string
	query  url.Values
	header http.Header
	body   []byte
	// writes is true if the request may change the store.
	writes bool
	// extra is added to the client's timeout for this call.
	extra time.Duration
	// limit is the maximum size of the response body; 0 means the size of one value.
	limit int64
}

// do sends the call to one base URL after another, starting with the one that last
// responded, until one can be reached.
func (c *Client) do(ctx context.Context, r call) (*response, error) {
	first := c.lastGood.Load()
	var a *response
	var err error
	for i := range len(c.bases) {
		at := (first + uint32(i)) % uint32(len(c.bases))
		a, err = c.try(ctx, c.bases[at], r)
		c.count(r.name, err)
		if !errors.Is(err, store.ErrUnavailable) {
			c.lastGood.Store(at)
			return a, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

func (c *Client) try(ctx context.Context, base *url.URL, r call) (*response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout+r.extra)
	defer cancel()
	// The transport reports a connection before it writes the first byte. If it reported
	// none, nothing was sent.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := r.request(httptrace.WithClientTrace(ctx, trace), base)
	if err != nil {
		return nil, err
	}
	a, err := c.roundTrip(req, r)
	if err != nil {
		return nil, r.transportError(connected.Load(), err)
	}
	return a, r.statusError(a)
}

func (r *call) request(ctx context.Context, base *url.URL) (*http.Request, error) {
	u := base.JoinPath(keyPath + escapePath(r.key))
	u.RawQuery = r.query.Encode()
	req, err := http.NewRequestWithContext(ctx, r.method, u.String(), bytes.NewReader(r.body))
	if err != nil {
		return nil, errors.Wrap(err, "build request to the store")
	}
	for name, values := range r.header {
		req.Header[name] = values
	}
	return req, nil
}

// escapePath escapes a key for a URL path, except for the slashes between its segments.
func escapePath(key string) string {
	segments := strings.Split(key, "/")
	for i := range segments {
		segments[i] = url.PathEscape(segments[i])
	}
	return strings.Join(segments, "/")
}

func (c *Client) roundTrip(req *http.Request, r call) (*response, error) {
	res, err := c.http.Do(req)
	if err != nil {
		return nil, err
	}
	defer res.Body.Close()
	limit := r.limit
	if limit == 0 {
		limit = store.MaxValueBytes
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, errors.Errorf("the store's response exceeds %d bytes", limit)
	}
	return &response{status: res.StatusCode, etag: res.Header.Get("ETag"), body: body}, nil
}

// transportError returns the store error for a failed exchange: ErrOutcomeUnknown for a
// write that may have been sent, because it may have taken effect, otherwise
// ErrUnavailable.
func (r *call) transportError(sent bool, err error) error {
	if r.writes && sent {
		return errors.Wrap(store.ErrOutcomeUnknown, err.Error())
	}
	return errors.Wrap(store.ErrUnavailable, err.Error())
}

// statusError returns the store error for the response's status, or nil for a success.
func (r *call) statusError(a *response) error {
	switch a.status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent, http.StatusNotModified:
		return nil
	case http.StatusNotFound:
		return r.notFound()
	case http.StatusPreconditionFailed:
		return store.ErrConflict
	case http.StatusRequestEntityTooLarge:
		return store.ErrTooLarge
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		// The service itself refused the call, so a write had no effect.
		return errors.Wrapf(store.ErrUnavailable, "status %d", a.status)
	}
	// A write may have taken effect even if a gateway responds with 502 or 504.
	return r.transportError(a.status >= http.StatusInternalServerError, errors.Errorf("status %d", a.status))
}

// notFound returns ErrNotFound for a read of a missing key. For a write it returns
// ErrConflict, because the key with the expected revision no longer exists.
func (r *call) notFound() error {
	if r.writes {
		return store.ErrConflict
	}
	return store.ErrNotFound
}

// count counts a call by name and outcome. The calls count against the platform's rate
// limits.
func (c *Client) count(name string, err error) {
	metric := fmt.Sprintf(`saltbend_store_calls_total{call=%q,outcome=%q}`, name, outcome(err))
	c.options.Metrics.GetOrCreateCounter(metric).Inc()
}

func outcome(err error) string {
	switch {
	case err == nil:
		return "ok"
	case errors.Is(err, store.ErrConflict):
		return "conflict"
	case errors.Is(err, store.ErrNotFound):
		return "not_found"
	case errors.Is(err, store.ErrOutcomeUnknown):
		return "unknown"
	case errors.Is(err, store.ErrTooLarge):
		return "too_large"
	}
	return "unavailable"
}
