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

// Names of calls in the metric.
const (
	callGet    = "get"
	callList   = "list"
	callSwap   = "swap"
	callDelete = "delete"
	callWatch  = "watch"
)

const keyPath = "/v1/kv/"

// call is one request to the service.
type call struct {
	name   string
	method string
	key    string
	query  url.Values
	header http.Header
	body   []byte
	// writes tells that the request changes the store once it arrives.
	writes bool
	// extra is added to the timeout.
	extra time.Duration
	// limit bounds the answer's body; 0 stands for one value.
	limit int64
}

// do tries each base in turn, beginning with the one that answered last, until
// one was reached.
func (c *Client) do(ctx context.Context, r call) (*answer, error) {
	first := c.next.Load()
	var a *answer
	var err error
	for i := range len(c.bases) {
		at := (first + uint32(i)) % uint32(len(c.bases))
		a, err = c.try(ctx, c.bases[at], r)
		c.count(r.name, err)
		if !errors.Is(err, store.ErrUnavailable) {
			c.next.Store(at)
			return a, err
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

func (c *Client) try(ctx context.Context, base *url.URL, r call) (*answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout+r.extra)
	defer cancel()
	// A connection is handed out before the first byte is written: without
	// one, nothing was sent.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := r.request(httptrace.WithClientTrace(ctx, trace), base)
	if err != nil {
		return nil, err
	}
	a, err := c.roundTrip(req, r)
	if err != nil {
		return nil, r.failure(connected.Load(), err)
	}
	return a, r.statusError(a)
}

func (r *call) request(ctx context.Context, base *url.URL) (*http.Request, error) {
	u := base.JoinPath(keyPath + escape(r.key))
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

// escape keeps the slashes of a key, which part its segments.
func escape(key string) string {
	segments := strings.Split(key, "/")
	for i := range segments {
		segments[i] = url.PathEscape(segments[i])
	}
	return strings.Join(segments, "/")
}

func (c *Client) roundTrip(req *http.Request, r call) (*answer, error) {
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
		return nil, errors.Errorf("the answer exceeds %d bytes", limit)
	}
	return &answer{status: res.StatusCode, etag: res.Header.Get("ETag"), body: body}, nil
}

// failure types an exchange that broke: a write whose request may have been
// sent may have taken effect.
func (r *call) failure(sent bool, err error) error {
	if r.writes && sent {
		return errors.Wrap(store.ErrOutcomeUnknown, err.Error())
	}
	return errors.Wrap(store.ErrUnavailable, err.Error())
}

// statusError types the answer's status; nil where it is a success.
func (r *call) statusError(a *answer) error {
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
		// The service itself refused: a write had no effect.
		return errors.Wrapf(store.ErrUnavailable, "status %d", a.status)
	}
	// A gateway's 502 or 504 may hide a write that took effect.
	return r.failure(a.status >= http.StatusInternalServerError, errors.Errorf("status %d", a.status))
}

// notFound tells a missing key from a write whose expected revision is gone.
func (r *call) notFound() error {
	if r.writes {
		return store.ErrConflict
	}
	return store.ErrNotFound
}

// count adds to the calls that the platform charges for.
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
