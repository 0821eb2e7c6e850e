package datapath

import (
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"
)

// socketBuffer is the size in bytes that is asked of the kernel for the
// receive and the send buffer; it may grant less.
const socketBuffer = 4 << 20

// Socket is the UDP socket of one public face. Datagrams to callers leave
// through it, so that they come from the address that the caller sent to.
type Socket struct {
	face netip.AddrPort
	conn *net.UDPConn
	io   *ipv4.PacketConn
	// replies belongs to the goroutine that carries replies.
	replies *outbox
	start   sync.Once
}

// Open binds the socket of a face at the local address bind.
func Open(face, bind netip.AddrPort) (*Socket, error) {
	conn, err := Bind(bind)
	if err != nil {
		return nil, errors.Wrapf(err, "face %s", face)
	}
	return &Socket{face: face, conn: conn, io: ipv4.NewPacketConn(conn), replies: newOutbox()}, nil
}

// Bind opens a UDP socket at addr with buffers for batches.
func Bind(addr netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	// Smaller buffers only cost throughput.
	_ = conn.SetReadBuffer(socketBuffer)
	_ = conn.SetWriteBuffer(socketBuffer)
	return conn, nil
}

// Addr returns the local address.
func (s *Socket) Addr() netip.AddrPort {
	return localAddr(s.conn)
}

// Close closes the socket; its goroutine ends.
func (s *Socket) Close() error {
	return s.conn.Close()
}

func localAddr(conn *net.UDPConn) netip.AddrPort {
	return unmapped(conn.LocalAddr().(*net.UDPAddr).AddrPort())
}
