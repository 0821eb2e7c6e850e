package upstream

import (
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"
)

// errAborted is returned by writes of a request that was already reported as not
// sent.
var errAborted = errors.New("upstream: request aborted before its first byte was sent")

// conn is a connection that records whether the first byte of the current
// request was passed to the kernel.
type conn struct {
	net.Conn
	mu      sync.Mutex
	written bool
	aborted bool
}

// begin records the start of a request on the connection.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = false
}

// abort makes all later writes to the connection fail with errAborted if no byte
// of the current request was written yet. It reports whether a byte was written.
func (c *conn) abort() (written bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = c.aborted || !c.written
	return c.written
}

// Write implements net.Conn.
func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.aborted {
		c.mu.Unlock()
		return 0, errAborted
	}
	c.written = true
	c.mu.Unlock()
	return c.Conn.Write(b)
}

// sendTracker records the connections that net/http uses for one request.
type sendTracker struct {
	mu    sync.Mutex
	conns []*conn
}

func (s *sendTracker) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	c.begin()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns = append(s.conns, c)
}

// abort prevents a failed request from being written to a connection on which no
// byte of it was sent yet. It returns the request's outcome, ErrNotSent or
// ErrMayHaveRun.
func (s *sendTracker) abort() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	outcome := ErrNotSent
	for _, c := range s.conns {
		if c.abort() {
			outcome = ErrMayHaveRun
		}
	}
	return outcome
}
