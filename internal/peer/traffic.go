package peer

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
)

// Bytes are counts of TCP payload bytes, including TLS handshakes.
type Bytes struct {
	In, Out uint64
}

// traffic counts bytes in total and per remote process.
type traffic struct {
	set     *metrics.Set
	in, out atomic.Uint64
	refused *metrics.Counter

	mu    sync.Mutex
	peers map[string]*peerBytes
}

// peerBytes are the counters of one remote process. A process that was dialled is named by
// its address; one that called is named by its IP address only, as its port is ephemeral.
type peerBytes struct {
	in, out *metrics.Counter
	conns   int
}

func newTraffic() *traffic {
	t := &traffic{set: metrics.NewSet(), peers: make(map[string]*peerBytes)}
	t.refused = t.set.NewCounter("saltbend_peer_refused_total")
	t.set.NewGauge(`saltbend_peer_bytes{direction="in"}`, func() float64 { return float64(t.in.Load()) })
	t.set.NewGauge(`saltbend_peer_bytes{direction="out"}`, func() float64 { return float64(t.out.Load()) })
	metrics.RegisterSet(t.set)
	return t
}

func (t *traffic) close() { metrics.UnregisterSet(t.set, true) }

// Traffic returns the bytes of all connections since the peer was created.
func (p *Peer) Traffic() Bytes {
	return Bytes{In: p.traffic.in.Load(), Out: p.traffic.out.Load()}
}

// TrafficByPeer returns the bytes per connected process: by address for those that this
// process called, by IP address for those that called it.
func (p *Peer) TrafficByPeer() map[string]Bytes {
	p.traffic.mu.Lock()
	defer p.traffic.mu.Unlock()
	out := make(map[string]Bytes, len(p.traffic.peers))
	for name, b := range p.traffic.peers {
		out[name] = Bytes{In: b.in.Get(), Out: b.out.Get()}
	}
	return out
}

func metricName(peer, direction string) string {
	return fmt.Sprintf("saltbend_peer_bytes_total{peer=%q,direction=%q}", peer, direction)
}

// Values of the outcome label of the calls metric.
const (
	outcomeOK          = "ok"
	outcomeRemote      = "remote-error"
	outcomeUnreachable = "unreachable"
	outcomeInterrupted = "interrupted"
)

// countCall counts a call by method and outcome. The label values are bounded: method names
// come from the program's code only.
func (t *traffic) countCall(method string, err error) {
	outcome := outcomeRemote
	switch {
	case err == nil:
		outcome = outcomeOK
	case errors.Is(err, ErrUnreachable):
		outcome = outcomeUnreachable
	case errors.Is(err, ErrInterrupted):
		outcome = outcomeInterrupted
	}
	t.set.GetOrCreateCounter(fmt.Sprintf("saltbend_peer_calls_total{method=%q,outcome=%q}", method, outcome)).Inc()
}

// registerGauges registers the gauges of open connections.
func (t *traffic) registerGauges(p *Peer) {
	register := func(side string, count func() int) {
		t.set.NewGauge(fmt.Sprintf("saltbend_peer_connections{side=%q}", side), func() float64 {
			p.mu.Lock()
			defer p.mu.Unlock()
			return float64(count())
		})
	}
	register("calling", func() int { return len(p.pool) })
	register("serving", func() int { return len(p.served) })
}

// countConn returns conn wrapped so that its bytes are counted under the given name.
func (t *traffic) countConn(conn net.Conn, name string) net.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.peers[name]
	if b == nil {
		b = &peerBytes{
			in:  t.set.GetOrCreateCounter(metricName(name, "in")),
			out: t.set.GetOrCreateCounter(metricName(name, "out")),
		}
		t.peers[name] = b
	}
	b.conns++
	return &countedConn{Conn: conn, traffic: t, name: name, bytes: b}
}

// releaseCounters ends one connection's use of the counters with the given name. The
// counters are unregistered with the last connection, so that there are only counters of
// connected processes.
func (t *traffic) releaseCounters(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.peers[name]
	if b == nil {
		return
	}
	b.conns--
	if b.conns > 0 {
		return
	}
	delete(t.peers, name)
	t.set.UnregisterMetric(metricName(name, "in"))
	t.set.UnregisterMetric(metricName(name, "out"))
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	traffic *traffic
	name    string
	bytes   *peerBytes
	once    sync.Once
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.traffic.in.Add(uint64(n))
	c.bytes.in.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.traffic.out.Add(uint64(n))
	c.bytes.out.Add(n)
	return n, err
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.traffic.releaseCounters(c.name) })
	return c.Conn.Close()
}
