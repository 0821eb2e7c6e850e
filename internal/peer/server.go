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

// acceptRetryDelay is the delay after a failed accept, for instance because too many files
// are open.
const acceptRetryDelay = 50 * time.Millisecond

// accept accepts connections until the listener is closed. It closes a connection at once
// if the limit of served connections is reached.
func (p *Peer) accept() {
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.options.logger.Warn("Accepting a connection failed.", slog.String("error", err.Error()))
			time.Sleep(acceptRetryDelay)
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

// serve authenticates one connection and answers its calls until it ends.
func (p *Peer) serve(raw net.Conn) {
	defer func() { <-p.slots }()
	remote := raw.RemoteAddr().(*net.TCPAddr).AddrPort()
	conn := tls.Server(p.traffic.countConn(raw, remote.Addr().String()), p.identity.config())
	defer conn.Close()
	if err := p.acceptHandshake(conn); err != nil {
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

// acceptHandshake performs the handshake and confirms to the client that its key was
// accepted. A connection above the rate limit of handshakes waits; it is refused at once if
// it would have to wait longer than the handshake's timeout.
func (p *Peer) acceptHandshake(conn *tls.Conn) error {
	ctx, cancel := context.WithTimeout(context.Background(), p.options.dial)
	defer cancel()
	if err := p.handshakeLimit.Wait(ctx); err != nil {
		return err
	}
	if err := conn.HandshakeContext(ctx); err != nil {
		return err
	}
	if err := conn.SetWriteDeadline(time.Now().Add(p.options.dial)); err != nil {
		return err
	}
	_, err := conn.Write([]byte{acceptByte})
	return err
}

func (p *Peer) refuse(remote netip.AddrPort, err error) {
	p.traffic.refused.Inc()
	if !p.refusalLogLimit.Allow() {
		return
	}
	p.options.logger.Warn("Connection refused.",
		slog.String("remote", remote.String()), slog.String("error", err.Error()))
}

// admit registers c, unless the peer has been closed or the key revoked since the
// handshake.
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

// serverConn implements rpc.ServerCodec. net/rpc runs each call in its own goroutine, so a
// slow method doesn't delay others. No further requests are read from a connection that has
// reached the limit of pending calls.
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
func (c *serverConn) key() string { return peerPublicKey(c.tls.ConnectionState()) }

// close implements connection.
func (c *serverConn) close() {
	c.once.Do(func() {
		close(c.ended)
		// Closing TLS writes an alert, which may block if the remote process doesn't read.
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

// WriteResponse implements rpc.ServerCodec. net/rpc calls it once per request and never
// concurrently.
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
