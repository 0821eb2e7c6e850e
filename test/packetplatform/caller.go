package packetplatform

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Errors of a flow.
var (
	// ErrReset is returned when the flow was reset.
	ErrReset = errors.New("packetplatform: flow reset")
	// ErrTimeout is returned when no answer arrived within the caller's time-out.
	ErrTimeout = errors.New("packetplatform: no answer")
)

// Caller simulates the platform's callers and the fabric: it opens flows and sends each
// packet through a randomly selected balancer, as the fabric may.
type Caller struct {
	ip   [4]byte
	conn *net.UDPConn

	mu        sync.Mutex
	balancers []netip.AddrPort
	flows     map[uint16]*Flow
	next      uint16
	// loss is the fraction of packets that the fabric drops, maxDelay the maximum delay of
	// the others.
	loss     float64
	maxDelay time.Duration
	// requestTimeout is how long an answer is awaited.
	requestTimeout time.Duration
}

// Flow is one flow of a caller.
type Flow struct {
	caller *Caller
	local  uint16
	face   endpoint
	seq    uint32
	ack    uint32
	in     chan packet
}

const (
	// firstRetransmit is the time until the first retransmission of an unanswered packet; it
	// doubles with each further one.
	firstRetransmit = 200 * time.Millisecond
	// defaultRequestTimeout is the request time-out unless SetRequestTimeout changes it.
	defaultRequestTimeout = 15 * time.Second
)

// NewCaller returns a caller that sends from and listens on the address.
func NewCaller(addr netip.AddrPort) (*Caller, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	c := &Caller{ip: addr.Addr().As4(), conn: conn, flows: map[uint16]*Flow{}, next: 1000, requestTimeout: defaultRequestTimeout}
	go c.receive()
	return c, nil
}

// Close closes the caller's socket.
func (c *Caller) Close() { c.conn.Close() }

// Use sets the balancers through which packets are sent.
func (c *Caller) Use(balancers ...netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.balancers = balancers
}

// SetRequestTimeout sets the time-out of subsequent requests.
func (c *Caller) SetRequestTimeout(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestTimeout = d
}

func (c *Caller) timeout() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestTimeout
}

// SetFabric sets the fraction of packets that the fabric drops and the maximum random delay
// of the others.
func (c *Caller) SetFabric(loss float64, maxDelay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loss, c.maxDelay = loss, maxDelay
}

func (c *Caller) receive() {
	b := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDP(b)
		if err != nil {
			return
		}
		p, ok := decode(b[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		f := c.flows[p.to.port]
		c.mu.Unlock()
		if f != nil {
			select {
			case f.in <- p:
			default: // the flow's queue is full; the packet is dropped
			}
		}
	}
}

func (c *Caller) send(p *packet) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.balancers) == 0 {
		return
	}
	to := c.balancers[rand.IntN(len(c.balancers))]
	if rand.Float64() < c.loss {
		return
	}
	b := p.encode()
	if c.maxDelay > 0 {
		time.AfterFunc(rand.N(c.maxDelay), func() { _, _ = c.conn.WriteToUDPAddrPort(b, to) })
		return
	}
	_, _ = c.conn.WriteToUDPAddrPort(b, to)
}

// ID returns the flow's id in the format used by the product's logs.
func (f *Flow) ID() string {
	return netip.AddrPortFrom(netip.AddrFrom4(f.caller.ip), f.local).String() + ">" +
		netip.AddrPortFrom(netip.AddrFrom4(f.face.ip), f.face.port).String()
}

// Open opens a flow to a face. It returns the flow also with an error, so that the flow's
// id is available.
func (c *Caller) Open(face netip.AddrPort) (*Flow, error) { return c.OpenWithin(face, c.timeout()) }

// OpenWithin is Open for a caller that gives up after the given time.
func (c *Caller) OpenWithin(face netip.AddrPort, timeout time.Duration) (*Flow, error) {
	c.mu.Lock()
	c.next++
	f := &Flow{
		caller: c, local: c.next, face: endpoint{ip: face.Addr().As4(), port: face.Port()},
		seq: rand.Uint32(), in: make(chan packet, 64),
	}
	c.flows[f.local] = f
	c.mu.Unlock()
	copies := uint32(0)
	answer, err := f.exchange(timeout, func() *packet {
		copies++
		return f.packet(syn, f.seq, copies-1, nil)
	}, func(p *packet) bool { return p.flags&syn != 0 })
	if err != nil {
		return f, err
	}
	f.ack = answer.seq + 1
	f.seq++
	return f, nil
}

// Request sends a request on the flow and returns the text of the answer.
func (f *Flow) Request(text string) (string, error) {
	data := []byte(text)
	want := f.seq + uint32(len(data))
	answer, err := f.exchange(f.caller.timeout(), func() *packet { return f.packet(ack, f.seq, f.ack, data) },
		func(p *packet) bool { return len(p.data) > 0 && p.ack == want })
	if err != nil {
		return "", err
	}
	f.seq = want
	return string(answer.data), nil
}

func (f *Flow) packet(flags byte, seq, ack uint32, data []byte) *packet {
	return &packet{from: endpoint{ip: f.caller.ip, port: f.local}, to: f.face, seq: seq, ack: ack, flags: flags, data: data}
}

// exchange sends the packet returned by next and retransmits it with doubling intervals
// until its answer arrives, the flow is reset, or the timeout has passed.
func (f *Flow) exchange(timeout time.Duration, next func() *packet, isAnswer func(*packet) bool) (packet, error) {
	end := time.After(timeout)
	wait := firstRetransmit
	for {
		f.caller.send(next())
		repeat := time.After(wait)
		wait *= 2
	waiting:
		for {
			select {
			case p := <-f.in:
				if p.flags&rst != 0 {
					return packet{}, ErrReset
				}
				if isAnswer(&p) {
					return p, nil
				}
			case <-repeat:
				break waiting
			case <-end:
				return packet{}, ErrTimeout
			}
		}
	}
}
