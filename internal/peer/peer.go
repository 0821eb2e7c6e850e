// Package peer carries net/rpc between the system's processes over mutually
// authenticated TLS. A process proves that it holds the fleet's current or
// previous secret; a process without one can neither call nor read.
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

// Part is the fixed prefix of this package's logs.
const Part = "peer"

// Caller calls methods of other processes.
type Caller interface {
	// Call runs method at addr and fills reply. It returns when the reply is
	// there or ctx ends; in the second case the method may run all the same.
	//
	// An error is one of: rpc.ServerError, which the method returned;
	// ErrUnreachable, after which the method has not run and will not; and
	// ErrInterrupted, after which it may have run or may run yet.
	Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error
}

// Registry takes receivers whose methods other processes may call.
type Registry interface {
	// Register adds the methods of receiver under name, as net/rpc does.
	Register(name string, receiver any) error
}

// Peer is one process's end of the control traffic: it serves the registered
// methods and calls those of others. It is safe for concurrent use.
type Peer struct {
	options  options
	listener net.Listener
	identity *identity
	rpc      *rpc.Server
	traffic  *traffic
	slots    chan struct{}
	refusals *rate.Limiter
	welcomes *rate.Limiter

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

// Listen serves control traffic at addr, authenticated by the ring's keys.
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
	go p.janitor()
	return p, nil
}

// NewCaller returns a peer that only calls, for tools that serve nothing.
func NewCaller(ring *keyring.Ring, opts ...Option) (*Peer, error) {
	p, err := newPeer(ring, opts)
	if err != nil {
		return nil, err
	}
	go p.janitor()
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
		options:  o,
		identity: id,
		rpc:      rpc.NewServer(),
		traffic:  newTraffic(),
		slots:    make(chan struct{}, o.maxServed),
		refusals: rate.NewLimiter(refusalsPerSecond, refusalBurst),
		welcomes: rate.NewLimiter(o.handshakes, o.burst),
		served:   make(map[*serverConn]struct{}),
		pool:     make(map[netip.AddrPort]*clientConn),
		done:     make(chan struct{}),
	}
	p.traffic.gauges(p)
	return p, nil
}

// Addr returns the address by which others call the process, or the zero value
// of a peer that only calls.
func (p *Peer) Addr() netip.AddrPort {
	if p.options.advertised.IsValid() {
		return p.options.advertised
	}
	return p.Bound()
}

// Bound returns the address that is listened at, or the zero value of a peer
// that only calls.
func (p *Peer) Bound() netip.AddrPort {
	if p.listener == nil {
		return netip.AddrPort{}
	}
	return p.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Register implements Registry.
func (p *Peer) Register(name string, receiver any) error {
	return errors.Wrapf(p.rpc.RegisterName(name, receiver), "peer: register %s", name)
}

// SetRing puts the ring's keys in force. Connections to processes that proved
// a key which the ring no longer holds are closed; the others go on.
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

// Close ends all connections. Calls under way return ErrInterrupted.
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

// connection is either end of one authenticated connection.
type connection interface {
	// key is the public key that the other end proved; empty before that.
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

// janitor drops connections that nobody uses.
func (p *Peer) janitor() {
	ticker := time.NewTicker(p.options.idle / janitorsPerIdle)
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

// Refused connections are logged up to this rate, so that processes without a key can't
// flood the log; the metric counts them all.
const (
	refusalsPerSecond = 1
	refusalBurst      = 10
)

// janitorsPerIdle is how often within the idle time idle connections are
// looked for.
const janitorsPerIdle = 4
