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
	// dialTimeout bounds a connect; the upstream is on the same host.
	dialTimeout = 2 * time.Second
	// idleTimeout closes pooled connections before usual servers do.
	idleTimeout = 30 * time.Second
	// maxIdle is the number of pooled connections; an upstream has few slots.
	maxIdle = 64
	// maxHeader bounds the headers of a response in bytes.
	maxHeader = 64 << 10
)

// HeaderDeadline tells the upstream how many milliseconds are left.
const HeaderDeadline = "Saltbend-Deadline-Ms"

// Client is the Runner of one upstream.
//
// Idempotent requests share pooled connections. The others get a connection of
// their own: on a pooled one that the upstream has just closed, nobody could
// tell whether the request ran, and net/http sends some requests again on a
// second connection by itself; it never does so when the first was fresh. Feeds
// have connections of their own that cost little memory.
type Client struct {
	base     *url.URL
	dialer   *net.Dialer
	pooled   *http.Transport
	unpooled *http.Transport
}

var _ Runner = (*Client)(nil)

// New returns a client of the upstream at base, an http URL whose path is put
// before each request's path.
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
		DisableCompression:     true, // the caller and the upstream settle encodings
		MaxResponseHeaderBytes: maxHeader,
		Protocols:              http1(),
	}
}

func http1() *http.Protocols {
	var p http.Protocols
	p.SetHTTP1(true)
	return &p
}

// Close closes the connections that carry no request.
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

// outgoing builds the upstream's request from the caller's.
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
	out.Header.Del("Expect") // the body follows anyway, with back pressure
	if _, present := out.Header["User-Agent"]; !present {
		out.Header.Set("User-Agent", "") // none instead of Go's
	}
	setDeadline(ctx, out.Header)
	return out
}

// hasBody tells whether a body has to be sent. Its length may be unknown: -1 in
// a caller's request, 0 with a body in one that http.NewRequest built. A GET or
// HEAD that announces no body has none that means anything.
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

// setDeadline passes on how much time is left; a caller cannot set it.
func setDeadline(ctx context.Context, h http.Header) {
	h.Del(HeaderDeadline)
	deadline, ok := ctx.Deadline()
	if !ok {
		return
	}
	left := max(time.Until(deadline).Milliseconds(), 0)
	h.Set(HeaderDeadline, strconv.FormatInt(left, 10))
}
