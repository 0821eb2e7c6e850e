package upstream

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/config"
)

const (
	// dialTimeout limits the time to connect. It is short because the upstream
	// is on the same host.
	dialTimeout = 2 * time.Second
	// idleTimeout is the time after which an idle pooled connection is closed. It
	// is shorter than the idle time-out of most servers.
	idleTimeout = 30 * time.Second
	// maxIdle is the maximum number of idle pooled connections. It is enough
	// because an upstream serves only a few requests at once.
	maxIdle = 64
	// maxHeader is the maximum size of a response's headers in bytes.
	maxHeader = 64 << 10
)

// HeaderDeadline is the request header with the milliseconds that are left until
// the request's deadline.
const HeaderDeadline = "Saltbend-Deadline-Ms"

// Client is the Runner of one upstream.
//
// Idempotent requests use pooled connections. Each non-idempotent request uses a
// new connection, for two reasons: if the upstream has just closed a pooled
// connection, it is unknown whether the request ran; and net/http may
// retransmit a request that failed on a pooled connection, but never one that
// failed on a new connection. Each feed uses a new connection that takes up
// little memory.
type Client struct {
	base     *url.URL
	dialer   *net.Dialer
	pooled   *http.Transport
	unpooled *http.Transport
}

var _ Runner = (*Client)(nil)

// New returns a client of the upstream at the http URL base. The path of base is
// prepended to the path of each request.
func New(base *url.URL) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	pooled := newTransport(dialer)
	pooled.MaxIdleConnsPerHost = maxIdle
	pooled.MaxIdleConns = maxIdle
	pooled.IdleConnTimeout = idleTimeout
	unpooled := newTransport(dialer)
	unpooled.DisableKeepAlives = true
	return &Client{base: base, dialer: dialer, pooled: pooled, unpooled: unpooled}
}

func newTransport(dialer *net.Dialer) *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		DisableCompression:     true, // the caller and the upstream negotiate the encoding
		MaxResponseHeaderBytes: maxHeader,
		Protocols:              http1(),
	}
}

func http1() *http.Protocols {
	var p http.Protocols
	p.SetHTTP1(true)
	return &p
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Run implements Runner.
func (c *Client) Run(ctx context.Context, r *http.Request, class config.Class) (*http.Response, error) {
	run := c.runUnpooled
	if class.Kind == config.KindFeed {
		run = c.runFeed
	} else if class.Idempotent {
		run = c.runPooled
	}
	resp, err := run(ctx, c.upstreamRequest(ctx, r))
	if err != nil {
		return nil, err
	}
	removeHopByHop(resp.Header)
	return resp, nil
}

func (c *Client) runPooled(ctx context.Context, out *http.Request) (*http.Response, error) {
	return roundTrip(ctx, c.pooled, out)
}

func (c *Client) runUnpooled(ctx context.Context, out *http.Request) (*http.Response, error) {
	return roundTrip(ctx, c.unpooled, out)
}

func roundTrip(ctx context.Context, transport *http.Transport, out *http.Request) (*http.Response, error) {
	var s sendTracker
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: s.gotConn})
	resp, err := transport.RoundTrip(out.WithContext(traced))
	if err != nil {
		return nil, &Error{Outcome: s.abort(), Cause: errors.Wrap(err, "upstream")}
	}
	return resp, nil
}

// upstreamRequest returns the request to send to the upstream for the caller's
// request r.
func (c *Client) upstreamRequest(ctx context.Context, r *http.Request) *http.Request {
	u := *c.base
	u.Path = joinPath(c.base.Path, r.URL.Path)
	u.RawPath = joinPath(c.base.EscapedPath(), r.URL.EscapedPath())
	u.RawQuery = r.URL.RawQuery
	out := &http.Request{
		Method:        r.Method,
		URL:           &u,
		Host:          r.Host,
		Header:        r.Header.Clone(),
		Body:          r.Body,
		ContentLength: r.ContentLength,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	if out.Header == nil {
		out.Header = http.Header{}
	}
	switch {
	case !hasBody(r):
		out.Body = http.NoBody
		out.ContentLength = 0
	case r.ContentLength == 0:
		out.ContentLength = -1
	}
	removeHopByHop(out.Header)
	out.Header.Del("Expect") // the body is sent without waiting for 100 Continue
	if _, present := out.Header["User-Agent"]; !present {
		out.Header.Set("User-Agent", "") // keeps net/http from adding its default
	}
	setDeadline(ctx, out.Header)
	return out
}

// hasBody reports whether the request has a body to send. The length of the body
// may be unknown: it is then -1 in a caller's request, and 0 with a non-nil Body
// in a request from http.NewRequest. A GET or HEAD request counts as having a
// body only if its length is known and positive.
func hasBody(r *http.Request) bool {
	switch {
	case r.Body == nil || r.Body == http.NoBody:
		return false
	case r.ContentLength > 0:
		return true
	}
	return r.Method != http.MethodGet && r.Method != http.MethodHead
}

func joinPath(base, path string) string {
	if base == "" || base == "/" {
		return path
	}
	if base[len(base)-1] == '/' {
		base = base[:len(base)-1]
	}
	return base + path
}

// setDeadline sets HeaderDeadline from the deadline of ctx, and removes a value
// that the caller sent.
func setDeadline(ctx context.Context, h http.Header) {
	h.Del(HeaderDeadline)
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	left := max(time.Until(deadline).Milliseconds(), 0)
	h.Set(HeaderDeadline, strconv.FormatInt(left, 10))
}
