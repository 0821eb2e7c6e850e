package datapath

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// SocketBuffer is the size in bytes that is asked of the kernel for the
// receive and the send buffer; it may grant less.
const SocketBuffer = 4 << 20

// Socket is the UDP socket of one public face. Datagrams to callers leave
// through it, so that they come from the address that the caller sent to.
type Socket struct {
	face  netip.AddrPort
	conn  *net.UDPConn
	start sync.Once
	// replies go out to callers; set by start.
	replies *queue
}

// Open binds the socket of a face at the local address bind.
func Open(face, bind netip.AddrPort) (*Socket, error) {
	conn, err := Bind(bind)
	if err != nil {
		return nil, errors.Wrapf(err, "face %s", face)
	}
	return &Socket{face: face, conn: conn}, nil
}

// Bind opens a UDP socket at addr with buffers for bursts.
func Bind(addr netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	// Smaller buffers only cost throughput.
	_ = conn.SetReadBuffer(SocketBuffer)
	_ = conn.SetWriteBuffer(SocketBuffer)
	return conn, nil
}

// ReceiveBuffer returns the size in bytes of the receive buffer that the kernel
// granted, without its own overhead.
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
	return size / 2, errors.WithStack(err) // the kernel doubles what it is asked for
}

// Addr returns the local address.
func (s *Socket) Addr() netip.AddrPort {
	return localAddr(s.conn)
}

// Close closes the socket; its goroutines end.
func (s *Socket) Close() error {
	return s.conn.Close()
}

func localAddr(conn *net.UDPConn) netip.AddrPort {
	return unmapped(conn.LocalAddr().(*net.UDPAddr).AddrPort())
}

func unmapped(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// receiveRetry is the pause after an error of a socket that is not closed.
const receiveRetry = 10 * time.Millisecond

// receive reads one datagram behind the first headroom bytes of the buffer and
// returns where it ends, and the IPv4 sender. It fails only once the socket is
// closed. Reads are not batched: the socket library allocates each sender's
// address in a batched read, which costs what the saved system call brings.
func receive(conn *net.UDPConn, buffer []byte, headroom int) (end int, from netip.AddrPort, err error) {
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer[headroom:])
		if err == nil {
			return headroom + n, unmapped(from), nil
		}
		if errors.Is(err, net.ErrClosed) {
			return 0, from, err
		}
		time.Sleep(receiveRetry)
	}
}
