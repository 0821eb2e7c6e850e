package peer

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// deadPeer is the time after which a connection whose other end no longer
// acknowledges is given up, whether data or keep-alives are under way.
const (
	deadPeer          = 10 * time.Second
	keepAliveIdle     = 4 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

var (
	keepAlive = net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveInterval,
		Count:    keepAliveCount,
	}
	dialer = net.Dialer{KeepAliveConfig: keepAlive, Control: setUserTimeout}
)

func listen(addr netip.AddrPort) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive, Control: setUserTimeout}
	return config.Listen(context.Background(), "tcp", addr.String())
}

// setUserTimeout bounds the time that sent data may stay unacknowledged; the
// kernel's own bound is a quarter of an hour. Accepted sockets inherit it.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(deadPeer.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
