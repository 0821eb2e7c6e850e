package datapath

import (
	"net"
	"net/netip"

	"golang.org/x/net/ipv4"

	"github.com/saltbend/saltbend/internal/encap"
)

// BatchSize is the number of datagrams that one system call reads or writes at
// most.
const BatchSize = 64

// inbox holds the buffers into which a batch is received. Each buffer has room
// for a header in front of the datagram, so that nothing is copied to forward
// it, and a byte behind, by which an oversized datagram shows.
type inbox struct {
	messages []ipv4.Message
	buffers  [][]byte
	headroom int
}

func newInbox(headroom int) *inbox {
	const size = encap.MaxDatagram + 1
	in := &inbox{
		messages: make([]ipv4.Message, BatchSize),
		buffers:  make([][]byte, BatchSize),
		headroom: headroom,
	}
	memory := make([]byte, BatchSize*size)
	for i := range in.messages {
		in.buffers[i] = memory[i*size : (i+1)*size : (i+1)*size]
		in.messages[i].Buffers = [][]byte{in.buffers[i][headroom:]}
	}
	return in
}

// datagram returns the i-th datagram that was received.
func (in *inbox) datagram(i int) []byte {
	return in.buffers[i][in.headroom : in.headroom+in.messages[i].N]
}

// framed returns the i-th datagram with the headroom in front.
func (in *inbox) framed(i int) []byte {
	return in.buffers[i][:in.headroom+in.messages[i].N]
}

// source returns the sender of the i-th datagram, or the zero value if it has
// no IPv4 address.
func (in *inbox) source(i int) netip.AddrPort {
	a, ok := in.messages[i].Addr.(*net.UDPAddr)
	if !ok {
		return netip.AddrPort{}
	}
	from := unmapped(a.AddrPort())
	if !from.Addr().Is4() {
		return netip.AddrPort{}
	}
	return from
}

func unmapped(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// outbox collects datagrams for one socket. It refers to the memory that it is
// given until flush.
type outbox struct {
	messages []ipv4.Message
	targets  []target
	n        int
}

// target is the memory of a destination's address.
type target struct {
	addr net.UDPAddr
	ip   [4]byte
}

func newOutbox() *outbox {
	out := &outbox{
		messages: make([]ipv4.Message, BatchSize),
		targets:  make([]target, BatchSize),
	}
	for i := range out.messages {
		t := &out.targets[i]
		t.addr.IP = t.ip[:]
		out.messages[i].Addr = &t.addr
		out.messages[i].Buffers = make([][]byte, 1)
	}
	return out
}

// add queues b for the IPv4 address to. It must be called at most BatchSize
// times between two flushes.
func (out *outbox) add(b []byte, to netip.AddrPort) {
	t := &out.targets[out.n]
	t.ip = to.Addr().As4()
	t.addr.Port = int(to.Port())
	out.messages[out.n].Buffers[0] = b
	out.n++
}

// flush sends what was queued and returns how many datagrams the kernel
// refused.
func (out *outbox) flush(conn *ipv4.PacketConn) (refused int) {
	pending := out.messages[:out.n]
	out.n = 0
	for len(pending) > 0 {
		sent, err := conn.WriteBatch(pending, 0)
		if err != nil {
			// The error is the first message's; the others may pass.
			refused++
			sent = 1
		}
		pending = pending[sent:]
	}
	return refused
}
