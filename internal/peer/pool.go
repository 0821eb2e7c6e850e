package peer

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"net/rpc"
	"time"

	"github.com/pkg/errors"
)

// acceptByte is the first byte that a server sends, once it has accepted the client's key.
// A TLS 1.3 client completes its handshake before the server has verified the client's
// certificate. Without this byte, a client couldn't distinguish a refused connection from
// one that was cut during a call.
const acceptByte = 1

// connect returns the pool's open connection to addr, and dials one if there is none. fresh
// is true if the connection was dialled for this call.
func (p *Peer) connect(ctx context.Context, addr netip.AddrPort) (c *clientConn, fresh bool, _ error) {
	c, fresh, err := p.pooled(addr)
	if err != nil {
		return nil, false, err
	}
	if fresh {
		// Dialling isn't bound to ctx, because other calls may wait for the same connection.
		go p.dial(c)
	}
	select {
	case <-c.ready:
		return c, fresh, c.dialErr
	case <-ctx.Done():
		return nil, false, ctx.Err()
	}
}

func (p *Peer) pooled(addr netip.AddrPort) (*clientConn, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, false, ErrClosed
	}
	if c := p.pool[addr]; c != nil && c.alive() {
		return c, false, nil
	}
	c := newClientConn(addr, p.options.pending)
	p.pool[addr] = c
	return c, true, nil
}

// dial connects c and starts its goroutines, or sets dialErr.
func (p *Peer) dial(c *clientConn) {
	defer close(c.ready)
	conn, err := p.handshake(c.addr)
	if err != nil {
		c.dialErr = err
		c.close()
		p.removeFromPool(c)
		return
	}
	c.tls = conn
	c.peerKey = peerPublicKey(conn.ConnectionState())
	bound := p.options.messageBytes
	codec := &clientCodec{conn: c, read: newGobReader(&closingReader{conn, c.close}, bound), w: newGobWriter(bound)}
	c.rpc = rpc.NewClientWithCodec(codec)
	go c.writer(p.options.write)
}

// handshake connects to addr and waits until the remote end has accepted the key.
func (p *Peer) handshake(addr netip.AddrPort) (*tls.Conn, error) {
	ctx, cancel := context.WithTimeout(context.Background(), p.options.dial)
	defer cancel()
	raw, err := dialer.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	conn := tls.Client(p.traffic.countConn(raw, addr.String()), p.identity.config())
	if err := p.awaitAcceptance(ctx, conn); err != nil {
		conn.Close()
		return nil, errors.Wrap(err, "handshake")
	}
	return conn, nil
}

func (p *Peer) awaitAcceptance(ctx context.Context, conn *tls.Conn) error {
	if err := conn.HandshakeContext(ctx); err != nil {
		return err
	}
	deadline, _ := ctx.Deadline()
	if err := conn.SetReadDeadline(deadline); err != nil {
		return err
	}
	var first [1]byte
	if _, err := io.ReadFull(conn, first[:]); err != nil {
		return err
	}
	if first[0] != acceptByte {
		return ErrProtocol
	}
	return conn.SetReadDeadline(time.Time{})
}

// removeFromPool removes c unless the pool already holds another connection to its address.
func (p *Peer) removeFromPool(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pool[c.addr] == c {
		delete(p.pool, c.addr)
	}
}

// dropIdle closes connections that have been idle for the idle timeout, and removes them
// and those that have ended from the pool.
func (p *Peer) dropIdle() {
	oldest := time.Now().Add(-p.options.idle).UnixNano()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.pool {
		idle := len(c.pending) == 0 && c.lastUse.Load() < oldest
		if idle || !c.alive() {
			c.close()
			delete(p.pool, addr)
		}
	}
}

// closingReader calls its function closed when a read fails.
type closingReader struct {
	net.Conn
	closed func()
}

// Read implements net.Conn.
func (r *closingReader) Read(b []byte) (int, error) {
	n, err := r.Conn.Read(b)
	if err != nil {
		r.closed()
	}
	return n, err
}
