package upstream

import (
	"bufio"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// feedBuffer is the size of the read buffer of a feed's connection in bytes. It
// is small because a feed is open for hours and its events are small.
const feedBuffer = 512

// runFeed sends a request on a new connection without http.Transport. The two
// goroutines and the buffers that http.Transport uses for each connection would
// be a large part of the cost of an open feed. net/http still encodes the
// request and parses the response.
func (c *Client) runFeed(ctx context.Context, out *http.Request) (*http.Response, error) {
	socket, err := c.dialer.DialContext(ctx, "tcp", hostPort(out))
	if err != nil {
		return nil, &Error{Outcome: ErrNotSent, Cause: errors.Wrap(err, "upstream: connect for a feed")}
	}
	f := &feedConn{ctx: ctx, socket: socket}
	f.stop = context.AfterFunc(ctx, f.interrupt)
	resp, err := f.exchange(out)
	if err != nil {
		outcome := ErrNotSent
		if f.written {
			outcome = ErrMayHaveRun
		}
		_ = f.Close()
		return nil, &Error{Outcome: outcome, Cause: errors.Wrap(f.contextCause(err), "upstream: open a feed")}
	}
	resp.Request = nil // frees the request while the feed is open
	resp.Body = &feedBody{ReadCloser: resp.Body, conn: f}
	return resp, nil
}

func hostPort(r *http.Request) string {
	if r.URL.Port() == "" {
		return net.JoinHostPort(r.URL.Hostname(), "80")
	}
	return r.URL.Host
}

// feedConn is the connection of one feed. The end of ctx interrupts it.
type feedConn struct {
	ctx     context.Context
	stop    func() bool
	socket  net.Conn
	written bool
}

// interrupt makes pending and later reads and writes fail.
func (f *feedConn) interrupt() {
	_ = f.socket.SetDeadline(time.Unix(1, 0))
}

// contextCause returns the cause of the context's end, or err if the context has
// not ended.
func (f *feedConn) contextCause(err error) error {
	if cause := context.Cause(f.ctx); cause != nil {
		return cause
	}
	return err
}

// Write implements io.Writer. It records that a part of the request may have been
// sent.
func (f *feedConn) Write(b []byte) (int, error) {
	f.written = true
	return f.socket.Write(b)
}

// exchange sends the request and reads the header of the final response, skipping
// informational ones.
func (f *feedConn) exchange(out *http.Request) (*http.Response, error) {
	if err := f.ctx.Err(); err != nil {
		return nil, err
	}
	out.Close = true
	if err := out.Write(f); err != nil {
		return nil, err
	}
	limit := &io.LimitedReader{R: f.socket, N: maxHeader}
	reader := bufio.NewReaderSize(limit, feedBuffer)
	for {
		resp, err := http.ReadResponse(reader, out)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			limit.N = math.MaxInt64
			return resp, nil
		}
	}
}

// Close closes the connection.
func (f *feedConn) Close() error {
	f.stop()
	return f.socket.Close()
}

// feedBody is the body of a feed's response. It owns the connection.
type feedBody struct {
	io.ReadCloser
	conn *feedConn
}

// Read implements io.Reader. After the end of the context, it returns the
// context's cause as the error.
func (b *feedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		err = b.conn.contextCause(err)
	}
	return n, err
}

// Close implements io.Closer. Unlike the body of net/http, it does not read the
// rest of the response, which may be endless.
func (b *feedBody) Close() error {
	return b.conn.Close()
}
