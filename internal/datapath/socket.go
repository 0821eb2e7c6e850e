package datapath

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// SocketBuffer is the size in bytes requested from the kernel for the receive
// buffer and for the send buffer; the kernel may grant less.
const SocketBuffer = 4 << 20

// Socket is the UDP socket of one public face. Datagrams to callers are sent
// through it, so that their source is the address that the caller sent to.
type Socket struct {
	face  netip.AddrPort
	conn  *net.UDPConn
	start sync.Once
	// replies is the queue of datagrams to callers; set when the path starts the
	// socket.
	replies *queue
}

// Open binds the socket of a face to the local address bind.
func Open(face, bind netip.AddrPort) (*Socket, error) {
	conn, err := Bind(bind)
	if err != nil {
		return nil, errors.Wrapf(err, "face %s", face)
	}
	return &Socket{face: face, conn: conn}, nil
}

// Bind opens an IPv4 UDP socket at addr and requests buffers of SocketBuffer bytes
// to absorb bursts.
func Bind(addr netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	// Errors are ignored: smaller buffers only reduce throughput.
	_ = conn.SetReadBuffer(SocketBuffer)
	_ = conn.SetWriteBuffer(SocketBuffer)
	return conn, nil
}

// ReceiveBuffer returns the size in bytes of the receive buffer that the kernel
// granted, without the kernel's overhead.
func ReceiveBuffer(conn *net.UDPConn) (int, error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return 0, errors.WithStack(err)
	}
	var size int
	var optErr error
	err = raw.Control(func(fd uintptr) {
		size, optErr = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF)
	})
	if err == nil {
		err = optErr
	}
	return size / 2, errors.WithStack(err) // the kernel doubles the requested size
}

// Addr returns the socket's local address.
func (s *Socket) Addr() netip.AddrPort {
	return localAddr(s.conn)
}

// Close closes the socket, which ends its goroutines.
func (s *Socket) Close() error {
	return s.conn.Close()
}

func localAddr(conn *net.UDPConn) netip.AddrPort {
	return unmapped(conn.LocalAddr().(*net.UDPAddr).AddrPort())
}

func unmapped(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// receiveRetryDelay is the delay before the next read after a receive error.
const receiveRetryDelay = 10 * time.Millisecond

// receive reads one datagram into the buffer, after the first headroom bytes, and
// returns the offset of its end and its sender. It fails only if the socket is
// closed. Reads are not batched: in a batched read the socket library allocates
// each sender's address, which costs as much as the saved system calls gain.
func receive(conn *net.UDPConn, buffer []byte, headroom int) (end int, from netip.AddrPort, err error) {
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer[headroom:])
		if err == nil {
			return headroom + n, unmapped(from), nil
		}
		if errors.Is(err, net.ErrClosed) {
			return 0, from, err
		}
		time.Sleep(receiveRetryDelay)
	}
}
