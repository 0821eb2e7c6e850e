// Package peer carries net/rpc calls between saltbend's processes over mutually
// authenticated TLS. Each process proves that it holds the fleet's current or previous
// secret. A process without a secret can neither make calls nor read the calls of others.
package peer

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/saltbend/saltbend/internal/keyring"
)

// Part names this package in log lines.
const Part = "peer"

// Caller calls methods of other processes.
type Caller interface {
	// Call runs method at addr and fills reply. It returns when the reply has been received
	// or ctx ends; in the latter case the method may still run.
	//
	// An error is one of: rpc.ServerError, which the method returned; ErrUnreachable if the
	// method has not run and will not run; ErrInterrupted if it may have run or may still
	// run.
	Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error
}

// Registry registers receivers for calls from other processes.
type Registry interface {
	// Register adds the methods of receiver under name, as net/rpc does.
	Register(name string, receiver any) error
}

// Peer is the endpoint of one process for control traffic: it serves the registered methods
// and calls methods of other processes. It is safe for concurrent use.
type Peer struct {
	options         options
	listener        net.Listener
	identity        *identity
	rpc             *rpc.Server
	traffic         *traffic
	slots           chan struct{}
	refusalLogLimit *rate.Limiter
	handshakeLimit  *rate.Limiter

	mu     sync.Mutex
	closed bool
	served map[*serverConn]struct{}
	pool   map[netip.AddrPort]*clientConn
	done   chan struct{}
}

var (
	_ Caller   = (*Peer)(nil)
	_ Registry = (*Peer)(nil)
)

// Listen returns a peer that serves control traffic at addr, authenticated by the ring's
// keys.
func Listen(addr netip.AddrPort, ring *keyring.Ring, opts ...Option) (*Peer, error) {
	p, err := newPeer(ring, opts)
	if err != nil {
		return nil, err
	}
	listener, err := listen(addr)
	if err != nil {
		return nil, errors.Wrap(err, "peer: listen")
	}
	p.listener = listener
	go p.accept()
	go p.closeIdleConnections()
	return p, nil
}

// NewCaller returns a peer that makes calls but serves none, for command-line tools.
func NewCaller(ring *keyring.Ring, opts ...Option) (*Peer, error) {
	p, err := newPeer(ring, opts)
	if err != nil {
		return nil, err
	}
	go p.closeIdleConnections()
	return p, nil
}

func newPeer(ring *keyring.Ring, opts []Option) (*Peer, error) {
	o := defaults()
	for _, opt := range opts {
		opt(&o)
	}
	id, err := newIdentity(ring)
	if err != nil {
		return nil, err
	}
	p := &Peer{
		options:         o,
		identity:        id,
		rpc:             rpc.NewServer(),
		traffic:         newTraffic(),
		slots:           make(chan struct{}, o.maxServed),
		refusalLogLimit: rate.NewLimiter(refusalsPerSecond, refusalBurst),
		handshakeLimit:  rate.NewLimiter(o.handshakes, o.burst),
		served:          make(map[*serverConn]struct{}),
		pool:            make(map[netip.AddrPort]*clientConn),
		done:            make(chan struct{}),
	}
	p.traffic.registerGauges(p)
	return p, nil
}

// Addr returns the address that other processes use to call this one: the advertised
// address if there is one, otherwise the listen address. It returns the zero value for a
// peer without a listener.
func (p *Peer) Addr() netip.AddrPort {
	if p.options.advertised.IsValid() {
		return p.options.advertised
	}
	return p.ListenAddr()
}

// ListenAddr returns the address that the listener is bound to, or the zero value for a peer
// without a listener.
func (p *Peer) ListenAddr() netip.AddrPort {
	if p.listener == nil {
		return netip.AddrPort{}
	}
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Register implements Registry.
func (p *Peer) Register(name string, receiver any) error {
	return errors.Wrapf(p.rpc.RegisterName(name, receiver), "peer: register %s", name)
}

// SetRing replaces the keys. Connections that were authenticated with a key which is not in
// the new ring are closed; other connections stay open.
func (p *Peer) SetRing(ring *keyring.Ring) error {
	if err := p.identity.set(ring); err != nil {
		return err
	}
	for _, c := range p.connections() {
		if !p.identity.accepts(c.key()) {
			c.close()
		}
	}
	return nil
}

// Close closes the listener and all connections. Pending calls return ErrInterrupted.
func (p *Peer) Close() error {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil
	}
	p.closed = true
	close(p.done)
	p.mu.Unlock()
	var err error
	if p.listener != nil {
		err = p.listener.Close()
	}
	for _, c := range p.connections() {
		c.close()
	}
	p.traffic.close()
	return err
}

// connection is the client's or the server's end of an authenticated connection.
type connection interface {
	// key returns the public key that the remote end proved, or "" before the handshake.
	key() string
	close()
}

func (p *Peer) connections() []connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]connection, 0, len(p.served)+len(p.pool))
	for c := range p.served {
		all = append(all, c)
	}
	for _, c := range p.pool {
		all = append(all, c)
	}
	return all
}

// closeIdleConnections periodically closes idle connections until the peer is closed.
func (p *Peer) closeIdleConnections() {
	ticker := time.NewTicker(p.options.idle / checksPerIdlePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-p.done:
			return
		case <-ticker.C:
			p.dropIdle()
		}
	}
}

// Limits on the logging of refused connections, so that processes without a key can't flood
// the log. The metric counts all refused connections.
const (
	// refusalsPerSecond is the maximum rate of log lines.
	refusalsPerSecond = 1
	// refusalBurst is the number of log lines that may exceed the rate at once.
	refusalBurst = 10
)

// checksPerIdlePeriod is how often idle connections are looked for during one idle timeout.
const checksPerIdlePeriod = 4
