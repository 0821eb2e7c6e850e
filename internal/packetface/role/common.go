// Package role runs the two roles of the packet face: it reads sockets, asks
// the pure parts what to do, and does it.
package role

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log/slog"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/ops"
	"github.com/saltbend/saltbend/internal/packetface/policy"
	"github.com/saltbend/saltbend/platform"
)

// Env is what the daemon gives a role at its start.
type Env struct {
	Logger *slog.Logger
	Host   platform.Host
	// Stop is closed when the process is told to stop.
	Stop <-chan struct{}
	// Changes brings settings that have changed, nil for never.
	Changes <-chan platform.Changeable
	// Policies tells which decisions are made.
	Policies policy.Set
}

// follow calls take with settings that have changed until the process is told
// to stop.
func (e *Env) follow(take func(platform.Changeable)) {
	for {
		select {
		case <-e.Stop:
			return
		case c := <-e.Changes:
			take(c)
		}
	}
}

const (
	// receiveBuffer is the size of a socket's buffer in bytes: some 200 ms of a
	// busy host's packets.
	receiveBuffer = 1 << 20
	// endMargin is kept free before the end of the grace.
	endMargin = 700 * time.Millisecond
	// stopTick is the time between two looks whether a stop is finished.
	stopTick = 100 * time.Millisecond
	// headerTimeout and idleTimeout end connections to the control address whose
	// peer sends nothing; heartbeats come every second or so.
	headerTimeout = 2 * time.Second
	idleTimeout   = 30 * time.Second
	// opsCloseTime bounds the end of running requests for readiness.
	opsCloseTime = 100 * time.Millisecond
)

// clock returns the time since its creation by the steady clock. It never
// returns 0, which stands for never.
func newClock() func() time.Duration {
	started := time.Now()
	return func() time.Duration { return time.Since(started) + 1 }
}

// incarnation returns random bits that no other start has.
func incarnation() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, errors.Wrap(err, "role: incarnation")
	}
	return binary.BigEndian.Uint64(b[:]), nil
}

func newRandom() *mathrand.Rand {
	return mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64()))
}

// listen binds a socket for datagrams.
func listen(addr netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrapf(err, "role: listen on %s", addr)
	}
	// A smaller buffer than asked for is no reason not to serve.
	_ = conn.SetReadBuffer(receiveBuffer)
	return conn, nil
}

// seeds returns the seeds of a host's settings that are not the host itself.
func seeds(h platform.Host) []netip.AddrPort {
	return slices.DeleteFunc(h.Seeds[:], func(seed netip.AddrPort) bool {
		return !seed.IsValid() || seed == h.Control
	})
}

// isSeed reports whether the settings name the host itself as a seed, as those of other
// hosts then do.
func isSeed(h platform.Host) bool { return slices.Contains(h.Seeds[:], h.Control) }

// serveControl serves calls at the control address until the process ends.
func serveControl(addr netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp4", addr.String())
	if err != nil {
		return errors.Wrap(err, "role: listen at the control address")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	go server.Serve(listener) // ends with the process
	return nil
}

// receive calls handle for each datagram until the socket is closed.
func receive(conn *net.UDPConn, size int, handle func(from netip.AddrPort, b []byte)) {
	b := make([]byte, size)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			receiveErrors.Inc()
			continue
		}
		handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), b[:n])
	}
}

var (
	receiveErrors = metrics.NewCounter(`saltbend_packet_socket_errors_total{op="receive"}`)
	sendErrors    = metrics.NewCounter(`saltbend_packet_socket_errors_total{op="send"}`)
)

// send sends a datagram. One that can't be sent is counted and lost, as any
// datagram may be.
func send(conn *net.UDPConn, to netip.AddrPort, b []byte) {
	if _, err := conn.WriteToUDPAddrPort(b, to); err != nil {
		sendErrors.Inc()
	}
}

// every calls f until stop is closed.
func every(stop <-chan struct{}, period time.Duration, f func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			f()
		}
	}
}

// lingerUntil waits until finished, at most for limit.
func lingerUntil(limit time.Duration, finished func() bool) {
	end := time.Now().Add(limit)
	for time.Now().Before(end) && !finished() {
		time.Sleep(stopTick)
	}
}

func closeOps(o *ops.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), opsCloseTime)
	defer cancel()
	_ = o.Close(ctx) // the process ends
}
