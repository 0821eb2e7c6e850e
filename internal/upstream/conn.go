package upstream

import (
	"net"
	"net/http/httptrace"
	"sync"

	"github.com/pkg/errors"
)

// errSealed refuses to write a request that was already reported as not sent.
var errAborted = errors.New("upstream: the request was given up before it was sent")

// conn is a connection that knows whether the current request's first byte was
// handed to the kernel.
type conn struct {
	net.Conn
	mu      sync.Mutex
	written bool
	aborted bool
}

// begin starts a request on the connection.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.written = false
}

// seal keeps a request that has not begun from being written; it reports
// whether it had begun.
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

// sending follows one request over the connections that it gets.
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

// seal ends a failed request: nothing of it is written from now on unless it
// was before. It returns what the failure means.
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
