package flow

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/encap"
	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/token"
)

// expireEvery is the interval between scans for expired flows.
const expireEvery = 10 * time.Second

// Options configures Listen.
type Options struct {
	// Data is the IPv4 address to bind; with port 0 the kernel selects a port.
	Data    netip.AddrPort
	Service config.Tag
	Ring    *keyring.Ring
	// Admit decides whether a new flow is accepted; nil accepts all.
	Admit AdmitFunc
	// HandOff selects the siblings to hand off new flows to; nil keeps all flows
	// at this agent.
	HandOff HandOffFunc
}

// Conn is the agent's data socket. It implements net.PacketConn for a QUIC
// transport. Only one goroutine may read at a time; any number may write.
type Conn struct {
	socket  *net.UDPConn
	service config.Tag
	admit   AdmitFunc
	handOff HandOffFunc
	writer  *writer
	once    sync.Once

	// The fields up to the next comment are used only by the reading goroutine.
	batch      *ipv4.PacketConn
	messages   []ipv4.Message
	next       int
	count      int
	codec      *encap.Codec
	tokens     *token.Codec
	placements *placementCache

	// keys holds the codecs of a rotated key ring until the reading goroutine
	// starts to use them.
	keys atomic.Pointer[keys]
	// revision is the configuration revision in force at this agent.
	revision atomic.Uint64

	mu    sync.Mutex
	paths *Paths
}

type keys struct {
	codec  *encap.Codec
	tokens *token.Codec
}

var _ net.PacketConn = (*Conn)(nil)

// Listen binds the data socket and starts the goroutines that send datagrams
// and probe balancers.
func Listen(o Options) (*Conn, error) {
	socket, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(o.Data))
	if err != nil {
		return nil, errors.Wrap(err, "flow: bind the data address")
	}
	codec := encap.NewCodec(o.Ring)
	c := &Conn{
		socket:     socket,
		service:    o.Service,
		admit:      o.Admit,
		handOff:    o.HandOff,
		batch:      ipv4.NewPacketConn(socket),
		messages:   newMessages(),
		codec:      codec,
		tokens:     token.NewCodec(o.Ring),
		placements: newPlacementCache(),
		paths:      NewPaths(uint64(time.Now().UnixNano())),
	}
	for i := range c.messages {
		c.messages[i].Buffers[0] = make([]byte, encap.MaxDatagram)
	}
	c.writer = newWriter(c.batch, codec.Clone())
	go c.writer.run()
	go c.runProbes()
	return c, nil
}

// Addr returns the bound data address.
func (c *Conn) Addr() netip.AddrPort {
	return c.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetKeys replaces the key ring after a rotation.
func (c *Conn) SetKeys(ring *keyring.Ring) {
	codec := encap.NewCodec(ring)
	c.keys.Store(&keys{codec: codec, tokens: token.NewCodec(ring)})
	c.writer.codec.Store(codec.Clone())
}

// SetLive sets the balancers that the fleet's membership lists as live.
func (c *Conn) SetLive(balancers []netip.AddrPort) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paths.SetLive(time.Now(), balancers)
}

// SetRevision sets the configuration revision that is sent in headers.
func (c *Conn) SetRevision(revision uint64) {
	c.revision.Store(revision)
}

// Flows returns the number of flows in the flow table.
func (c *Conn) Flows() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paths.Flows()
}

// Suspects returns the number of balancers that don't answer probes.
func (c *Conn) Suspects() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.paths.Suspects()
}

// WriteTo implements net.PacketConn. It queues a reply to the caller at addr,
// which must be an address returned by ReadFrom, and does not wait for the
// socket.
func (c *Conn) WriteTo(p []byte, addr net.Addr) (int, error) {
	f, ok := addr.(*Flow)
	if !ok {
		return 0, errors.Errorf("flow: cannot send to %v: the address was not returned by ReadFrom", addr)
	}
	d := c.writer.getDatagram()
	c.mu.Lock()
	d.to = c.paths.Choose(time.Now(), f)
	c.mu.Unlock()
	h := &d.header
	h.Kind = encap.KindReply
	h.Caller, h.Face = f.Caller, f.Face
	h.Service = c.service
	h.Revision = c.revision.Load()
	h.Balancer = d.to
	c.writer.send(d, p)
	sent.Inc()
	return len(p), nil
}

// LocalAddr implements net.PacketConn.
func (c *Conn) LocalAddr() net.Addr { return c.socket.LocalAddr() }

// SetDeadline implements net.PacketConn. It applies to reads only, as writes
// never block.
func (c *Conn) SetDeadline(t time.Time) error { return c.socket.SetReadDeadline(t) }

// SetReadDeadline implements net.PacketConn.
func (c *Conn) SetReadDeadline(t time.Time) error { return c.socket.SetReadDeadline(t) }

// SetWriteDeadline implements net.PacketConn. It has no effect, as writes never
// block.
func (c *Conn) SetWriteDeadline(time.Time) error { return nil }

// SetReadBuffer sets the size of the kernel's receive buffer in bytes. The QUIC
// library calls it with the size that it needs; the kernel may grant less.
func (c *Conn) SetReadBuffer(n int) error { return c.socket.SetReadBuffer(n) }

// SetWriteBuffer sets the size of the kernel's send buffer in bytes.
func (c *Conn) SetWriteBuffer(n int) error { return c.socket.SetWriteBuffer(n) }

// Close implements net.PacketConn. It sends all queued datagrams first.
func (c *Conn) Close() error {
	c.once.Do(func() { close(c.writer.done) })
	<-c.writer.ended
	return c.socket.Close()
}

// runProbes probes the balancers in use and removes expired flows until Close.
func (c *Conn) runProbes() {
	ticker := time.NewTicker(TickEvery)
	defer ticker.Stop()
	expired := time.Now()
	for {
		select {
		case <-c.writer.done:
			return
		case now := <-ticker.C:
			if now.Sub(expired) >= expireEvery {
				c.expire(now)
				expired = now
			}
			c.tick(now)
		}
	}
}

func (c *Conn) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paths.Expire(now)
}

func (c *Conn) tick(now time.Time) {
	c.mu.Lock()
	due := c.paths.Tick(now)
	c.mu.Unlock()
	for _, p := range due {
		d := c.writer.getDatagram()
		d.to = p.Balancer
		d.header = encap.Header{
			Kind:     encap.KindProbe,
			Service:  c.service,
			Revision: p.Nonce,
			Balancer: p.Balancer,
		}
		c.writer.send(d, nil)
		probesSent.Inc()
	}
}
