package flow

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/net/ipv4"

	"github.com/saltbend/saltbend/internal/encap"
)

const (
	// batchSize is the maximum number of datagrams per system call.
	batchSize = 64
	// sendQueue is the capacity of the send queue in datagrams. When it is full,
	// datagrams are dropped, and QUIC retransmits their content.
	sendQueue = 1024
)

// datagram is one datagram to send. buf holds the encoded header, followed by
// the payload. Datagrams are passed by pointer, to keep the stacks of the sending
// goroutines small: each flow has one such goroutine.
type datagram struct {
	header encap.Header
	to     netip.AddrPort
	n      int
	buf    [encap.MaxDatagram]byte
}

// writer sends encapsulated datagrams in batches. Only the goroutine of run uses
// the codec.
type writer struct {
	socket *ipv4.PacketConn
	codec  atomic.Pointer[encap.Codec]
	queue  chan *datagram
	// Closing done makes run send the queued datagrams, close ended and return.
	done  chan struct{}
	ended chan struct{}
	pool  sync.Pool
}

func newWriter(socket *ipv4.PacketConn, codec *encap.Codec) *writer {
	w := &writer{
		socket: socket,
		queue:  make(chan *datagram, sendQueue),
		done:   make(chan struct{}),
		ended:  make(chan struct{}),
		pool:   sync.Pool{New: func() any { return new(datagram) }},
	}
	w.codec.Store(codec)
	return w
}

// getDatagram returns a datagram from the pool, to be filled in and passed to
// send.
func (w *writer) getDatagram() *datagram {
	return w.pool.Get().(*datagram)
}

// send queues a datagram with a copy of the payload. It does not block. The
// datagram must not be used afterwards.
func (w *writer) send(d *datagram, payload []byte) {
	if len(payload) > encap.MaxPayload {
		w.drop(d, droppedTooLong)
		return
	}
	d.n = encap.HeaderSize + copy(d.buf[encap.HeaderSize:], payload)
	select {
	case w.queue <- d:
	default:
		w.drop(d, droppedQueue)
	}
}

func (w *writer) drop(d *datagram, reason *metrics.Counter) {
	reason.Inc()
	w.pool.Put(d)
}

// run sends queued datagrams until done is closed and the queue is empty.
func (w *writer) run() {
	defer close(w.ended)
	messages := newMessages()
	batch := make([]*datagram, 0, batchSize)
	for {
		batch = batch[:0]
		select {
		case d := <-w.queue:
			batch = append(batch, d)
		case <-w.done:
		}
		batch = w.fill(batch)
		if len(batch) == 0 {
			return
		}
		w.flush(batch, messages)
		for _, d := range batch {
			w.pool.Put(d)
		}
	}
}

// fill adds queued datagrams to the batch without waiting for more.
func (w *writer) fill(batch []*datagram) []*datagram {
	for len(batch) < batchSize {
		select {
		case d := <-w.queue:
			batch = append(batch, d)
		default:
			return batch
		}
	}
	return batch
}

func (w *writer) flush(batch []*datagram, messages []ipv4.Message) {
	codec := w.codec.Load()
	n := 0
	for _, d := range batch {
		if err := codec.Encode(d.buf[:], &d.header); err != nil {
			droppedEncode.Inc()
			continue
		}
		m := &messages[n]
		m.Buffers[0] = d.buf[:d.n]
		setAddr(m.Addr.(*net.UDPAddr), d.to)
		n++
	}
	for sent := 0; sent < n; {
		k, err := w.socket.WriteBatch(messages[sent:n], 0)
		if err != nil {
			// The kernel refused one datagram, for example because its route was
			// removed. Skip it.
			droppedSend.Inc()
			k = max(k, 0) + 1
		}
		sent += k
	}
}

func newMessages() []ipv4.Message {
	messages := make([]ipv4.Message, batchSize)
	for i := range messages {
		messages[i].Buffers = make([][]byte, 1)
		messages[i].Addr = &net.UDPAddr{IP: make(net.IP, net.IPv4len)}
	}
	return messages
}

func setAddr(dst *net.UDPAddr, a netip.AddrPort) {
	ip := a.Addr().As4()
	copy(dst.IP, ip[:])
	dst.Port = int(a.Port())
}
