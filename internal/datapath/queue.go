package datapath

import (
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"

	"github.com/saltbend/saltbend/internal/encap"
)

// bufferSize holds the largest datagram and a byte more, by which a larger one
// shows.
const bufferSize = encap.MaxDatagram + 1

// Numbers of datagrams that one system call sends at most. A queue holds twice
// as many buffers.
const (
	dataBatch = 64
	faceBatch = 16
)

// queue sends datagrams through one socket. Those that come while a system
// call is under way leave together in the next one. A full queue makes add
// wait; what comes in meanwhile waits in the kernel's receive buffer.
type queue struct {
	conn    *ipv4.PacketConn
	refused func()

	mu      sync.Mutex
	space   sync.Cond // signalled when filling has room
	filling *batch
	closed  bool
	// wake holds a value while filling may be non-empty and not yet taken.
	wake chan struct{}
}

// newQueue returns a queue with batches of size datagrams. refused is called
// for each datagram that the kernel does not take. The caller starts run.
func newQueue(conn *ipv4.PacketConn, size int, refused func()) *queue {
	q := &queue{conn: conn, refused: refused, filling: newBatch(size), wake: make(chan struct{}, 1)}
	q.space.L = &q.mu
	return q
}

// add queues the bytes from to end of buffer for an IPv4 address. It takes the
// buffer over and returns another of the same size in its place.
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
		if err := sending.send(q.conn, q.refused); err != nil {
			q.close()
			return
		}
	}
}

// close ends run and makes add drop what it gets.
func (q *queue) close() {
	q.mu.Lock()
	q.closed = true
	q.space.Broadcast()
	q.mu.Unlock()
	q.signal()
}

// batch holds datagrams that leave in one system call.
type batch struct {
	messages []ipv4.Message
	buffers  [][]byte
	targets  []target
	n        int
}

// target is the memory of a destination's address.
type target struct {
	addr net.UDPAddr
	ip   [net.IPv4len]byte
}

func newBatch(size int) *batch {
	b := &batch{
		messages: make([]ipv4.Message, size),
		buffers:  make([][]byte, size),
		targets:  make([]target, size),
	}
	memory := make([]byte, size*bufferSize)
	for i := range b.messages {
		t := &b.targets[i]
		t.addr.IP = t.ip[:]
		b.messages[i].Addr = &t.addr
		b.messages[i].Buffers = make([][]byte, 1)
		b.buffers[i] = memory[i*bufferSize : (i+1)*bufferSize : (i+1)*bufferSize]
	}
	return b
}

func (b *batch) size() int  { return len(b.messages) }
func (b *batch) full() bool { return b.n == len(b.messages) }

// add puts a datagram behind the others; the batch must not be full.
func (b *batch) add(buffer []byte, from, end int, to netip.AddrPort) []byte {
	t := &b.targets[b.n]
	t.ip = to.Addr().As4()
	t.addr.Port = int(to.Port())
	b.messages[b.n].Buffers[0] = buffer[from:end]
	spare := b.buffers[b.n]
	b.buffers[b.n] = buffer
	b.n++
	return spare
}

// send empties the batch. It returns an error only when the socket is closed.
func (b *batch) send(conn *ipv4.PacketConn, refused func()) error {
	pending := b.messages[:b.n]
	b.n = 0
	for len(pending) > 0 {
		sent, err := conn.WriteBatch(pending, 0)
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		if err != nil {
			refused() // the first one; the others may pass
			sent = 1
		}
		pending = pending[sent:]
	}
	return nil
}
