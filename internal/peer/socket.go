package peer

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Timeouts of unresponsive connections. A connection is closed after deadPeerTimeout without
// an acknowledgement, whether of data or of keep-alive probes: 4 s idle and 3 probes every
// 2 s add up to the same 10 s.
const (
	// deadPeerTimeout is the time for which sent data may stay unacknowledged.
	deadPeerTimeout = 10 * time.Second
	// keepAliveIdle is the idle time before the first keep-alive probe.
	keepAliveIdle = 4 * time.Second
	// keepAliveInterval is the time between keep-alive probes.
	keepAliveInterval = 2 * time.Second
	// keepAliveCount is the number of unacknowledged keep-alive probes after which
	// the connection is closed.
	keepAliveCount = 3
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

// setUserTimeout limits the time that sent data may stay unacknowledged. The kernel's
// default is about 15 minutes. Accepted sockets inherit the option.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(deadPeerTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
