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

// feedBuffer is the size of the read buffer of a feed's connection in bytes: a
// feed is open for hours and carries small events.
const feedBuffer = 512

// runFeed runs a request on a connection of its own without http.Transport,
// whose two goroutines and buffers for each connection would be a large part
// of what an open feed costs. The library still writes and parses HTTP.
func (c *Client) runFeed(ctx context.Context, out *http.Request) (*http.Response, error) {
	socket, err := c.dialer.DialContext(ctx, "tcp", hostPort(out))
	if err != nil {
		return nil, &Error{Outcome: ErrNotSent, Cause: errors.Wrap(err, "upstream: feed")}
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
		return nil, &Error{Outcome: outcome, Cause: errors.Wrap(f.contextCause(err), "upstream: feed")}
	}
	resp.Request = nil // it would be kept for as long as the feed
	resp.Body = &feedBody{ReadCloser: resp.Body, conn: f}
	return resp, nil
}

func hostPort(r *http.Request) string {
	if r.URL.Port() == "" {
		return net.JoinHostPort(r.URL.Hostname(), "80")
	}
	return r.URL.Host
}

// feedConn is the connection of one feed. It ends with its context.
type feedConn struct {
	ctx     context.Context
	stop    func() bool
	socket  net.Conn
	written bool
}

// interrupt makes reads and writes return.
func (f *feedConn) interrupt() {
	_ = f.socket.SetDeadline(time.Unix(1, 0))
}

// because returns the context's end if that is what caused err.
func (f *feedConn) contextCause(err error) error {
	if cause := context.Cause(f.ctx); cause != nil {
		return cause
	}
	return err
}

// Write implements io.Writer and notes that something may have been sent.
func (f *feedConn) Write(b []byte) (int, error) {
	f.written = true
	return f.socket.Write(b)
}

// exchange sends the request and reads the final response's header.
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

// Close ends the connection.
func (f *feedConn) Close() error {
	f.stop()
	return f.socket.Close()
}

// feedBody is the body of a feed's response, which owns the connection.
type feedBody struct {
	io.ReadCloser
	conn *feedConn
}

// Read implements io.Reader. The end of the context is an error as such.
func (b *feedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		err = b.conn.contextCause(err)
	}
	return n, err
}

// Close implements io.Closer. What is unread is not read, unlike the library's
// Close does it: it may go on for ever.
func (b *feedBody) Close() error {
	return b.conn.Close()
}
