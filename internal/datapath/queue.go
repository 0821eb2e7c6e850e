package datapath

import (
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"

	"github.com/saltbend/saltbend/internal/encap"
)

// bufferSize is one byte more than the largest datagram: a read that fills the
// buffer reveals an oversized datagram.
const bufferSize = encap.MaxDatagram + 1

// Maximum numbers of datagrams per send system call, for the data socket and for
// a face's socket. A queue allocates twice as many buffers.
const (
	dataBatch = 64
	faceBatch = 16
)

// queue sends datagrams in batches through one socket. Datagrams added while a
// system call is in progress are sent together by the next one. While the queue
// is full, add blocks, and incoming datagrams wait in the kernel's receive buffer.
type queue struct {
	conn        *ipv4.PacketConn
	onSendError func()

	mu      sync.Mutex
	space   sync.Cond // signalled when the batch in filling has room
	filling *batch
	closed  bool
	// wake holds a value while the batch in filling may contain datagrams that
	// run has not taken yet.
	wake chan struct{}
}

// newQueue returns a queue that sends up to size datagrams at once. onSendError is
// called for each datagram that the kernel fails to send. The owner of the
// queue must start run.
func newQueue(conn *ipv4.PacketConn, size int, onSendError func()) *queue {
	q := &queue{conn: conn, onSendError: onSendError, filling: newBatch(size), wake: make(chan struct{}, 1)}
	q.space.L = &q.mu
	return q
}

// add queues buffer[from:end] for sending to an IPv4 address. It takes ownership
// of buffer and returns another one of the same size.
func (q *queue) add(buffer []byte, from, end int, to netip.AddrPort) []byte {
	q.mu.Lock()
	for q.filling.full() && !q.closed {
		q.space.Wait()
	}
	if q.closed {
		q.mu.Unlock()
		return buffer
	}
	buffer = q.filling.add(buffer, from, end, to)
	first := q.filling.n == 1
	q.mu.Unlock()
	if first {
		q.signal()
	}
	return buffer
}

func (q *queue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// run sends until the socket or the queue is closed.
func (q *queue) run() {
	sending := newBatch(q.filling.size())
	for range q.wake {
		q.mu.Lock()
		if q.closed {
			q.mu.Unlock()
			return
		}
		q.filling, sending = sending, q.filling
		q.space.Broadcast()
		q.mu.Unlock()
		if err := sending.send(q.conn, q.onSendError); err != nil {
			q.close()
			return
		}
	}
}

// close stops run and makes add discard further datagrams.
func (q *queue) close() {
	q.mu.Lock()
	q.closed = true
	q.space.Broadcast()
	q.mu.Unlock()
	q.signal()
}

// batch holds datagrams to be sent by one system call.
type batch struct {
	messages     []ipv4.Message
	buffers      [][]byte
	destinations []destination
	n            int
}

// destination is preallocated memory for the address of one datagram, so that
// sending does not allocate.
type destination struct {
	addr net.UDPAddr
	ip   [net.IPv4len]byte
}

func newBatch(size int) *batch {
	b := &batch{
		messages:     make([]ipv4.Message, size),
		buffers:      make([][]byte, size),
		destinations: make([]destination, size),
	}
	memory := make([]byte, size*bufferSize)
	for i := range b.messages {
		t := &b.destinations[i]
		t.addr.IP = t.ip[:]
		b.messages[i].Addr = &t.addr
		b.messages[i].Buffers = make([][]byte, 1)
		b.buffers[i] = memory[i*bufferSize : (i+1)*bufferSize : (i+1)*bufferSize]
	}
	return b
}

func (b *batch) size() int  { return len(b.messages) }
func (b *batch) full() bool { return b.n == len(b.messages) }

// add appends a datagram and returns a spare buffer in exchange; the batch must
// not be full.
func (b *batch) add(buffer []byte, from, end int, to netip.AddrPort) []byte {
	t := &b.destinations[b.n]
	t.ip = to.Addr().As4()
	t.addr.Port = int(to.Port())
	b.messages[b.n].Buffers[0] = buffer[from:end]
	spare := b.buffers[b.n]
	b.buffers[b.n] = buffer
	b.n++
	return spare
}

// send sends all datagrams and empties the batch. It returns an error only if the
// socket is closed.
func (b *batch) send(conn *ipv4.PacketConn, onSendError func()) error {
	pending := b.messages[:b.n]
	b.n = 0
	for len(pending) > 0 {
		sent, err := conn.WriteBatch(pending, 0)
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			onSendError() // only the first datagram failed; try the others
			sent = 1
		}
		pending = pending[sent:]
	}
	return nil
}
