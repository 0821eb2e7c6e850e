package peer

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// acceptPause is the wait after an error of accept, such as too many open
// files.
const acceptPause = 50 * time.Millisecond

// accept serves connections until the listener is closed.
func (p *Peer) accept() {
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.options.logger.Warn("Accept failed.", slog.String("error", err.Error()))
			time.Sleep(acceptPause)
			continue
		}
		select {
		case p.slots <- struct{}{}:
			go p.serve(conn)
		default:
			p.traffic.refused.Inc()
			conn.Close()
		}
	}
}

// serve answers the calls of one connection until it ends.
func (p *Peer) serve(raw net.Conn) {
	defer func() { <-p.slots }()
	remote := raw.RemoteAddr().(*net.TCPAddr).AddrPort()
	conn := tls.Server(p.traffic.count(raw, remote.Addr().String()), p.identity.config())
	defer conn.Close()
	if err := p.welcome(conn); err != nil {
		p.refuse(remote, err)
		return
	}
	c := newServerConn(conn, p.options)
	if !p.admit(c) {
		return
	}
	defer p.release(c)
	p.rpc.ServeCodec(c)
}

// welcome makes the handshake and tells the caller that its key is accepted.
// Above the rate of handshakes a connection waits, and is refused at once when
// its turn would come too late.
func (p *Peer) welcome(conn *tls.Conn) error {
	ctx, cancel := context.WithTimeout(context.Background(), p.options.dial)
	defer cancel()
	if err := p.welcomes.Wait(ctx); err != nil {
		return err
	}
	if err := conn.HandshakeContext(ctx); err != nil {
		return err
	}
	if err := conn.SetWriteDeadline(time.Now().Add(p.options.dial)); err != nil {
		return err
	}
	_, err := conn.Write([]byte{greeting})
	return err
}

func (p *Peer) refuse(remote netip.AddrPort, err error) {
	p.traffic.refused.Inc()
	if !p.refusals.Allow() {
		return
	}
	p.options.logger.Warn("Connection refused.",
		slog.String("remote", remote.String()), slog.String("error", err.Error()))
}

// admit registers c, unless the peer was closed or the key was revoked since
// the handshake.
func (p *Peer) admit(c *serverConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	if !p.identity.accepts(c.key()) {
		return false
	}
	p.served[c] = struct{}{}
	return true
}

func (p *Peer) release(c *serverConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.served, c)
}

// serverConn implements rpc.ServerCodec. net/rpc runs each call in its own
// goroutine, so a slow method holds up no other; a caller that has too many
// under way is read no further.
type serverConn struct {
	tls     *tls.Conn
	options options
	read    *gobReader
	w       *gobWriter
	pending chan struct{}
	ended   chan struct{}
	once    sync.Once
}

func newServerConn(conn *tls.Conn, o options) *serverConn {
	return &serverConn{
		tls:     conn,
		options: o,
		read:    newGobReader(conn, o.messageBytes),
		w:       newGobWriter(o.messageBytes),
		pending: make(chan struct{}, o.pending),
		ended:   make(chan struct{}),
	}
}

// key implements connection.
func (c *serverConn) key() string { return provedKey(c.tls.ConnectionState()) }

// close implements connection.
func (c *serverConn) close() {
	c.once.Do(func() {
		close(c.ended)
		// Closing TLS may wait for a process that doesn't read.
		go c.tls.Close()
	})
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverConn) ReadRequestHeader(r *rpc.Request) error {
	select {
	case c.pending <- struct{}{}:
	case <-c.ended:
		return net.ErrClosed
	}
	err := c.tls.SetReadDeadline(time.Now().Add(serverIdleFactor * c.options.idle))
	if err == nil {
		err = c.read.header(r)
	}
	if err != nil {
		<-c.pending
	}
	return err
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverConn) ReadRequestBody(body any) error { return c.read.body(body) }

// WriteResponse implements rpc.ServerCodec; net/rpc calls it once per request,
// one at a time.
func (c *serverConn) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.pending }()
	message, err := c.w.message(r, body)
	if err == nil {
		err = c.tls.SetWriteDeadline(time.Now().Add(c.options.write))
	}
	if err == nil {
		_, err = c.tls.Write(message)
	}
	if err != nil {
		c.close()
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *serverConn) Close() error {
	c.close()
	return nil
}
