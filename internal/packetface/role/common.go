// Package role runs the two roles of the packet face, balancer and agent: it reads from
// the sockets, passes what arrives to the packages that decide (steer for a balancer,
// gate for an agent) and carries out their decisions.
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

// Env holds what the daemon passes to a role at its start.
type Env struct {
	Logger *slog.Logger
	Host   platform.Host
	// Stop is closed when the process is asked to stop.
	Stop <-chan struct{}
	// Changes delivers changed settings; nil if they never change.
	Changes <-chan platform.ReloadableSettings
	// Policies selects the optional decisions that are in use.
	Policies policy.Set
}

// applyUntilStop calls apply with each change of the settings until the process is asked
// to stop.
func (e *Env) applyUntilStop(apply func(platform.ReloadableSettings)) {
	for {
		select {
		case <-e.Stop:
			return
		case c := <-e.Changes:
			apply(c)
		}
	}
}

const (
	// receiveBuffer is the size of a socket's receive buffer in bytes. It holds about 200
	// ms of a busy host's packets.
	receiveBuffer = 1 << 20
	// endMargin is the time before the end of the grace period at which a stopping process
	// stops serving at the latest.
	endMargin = 700 * time.Millisecond
	// stopTick is the interval at which a stopping process checks whether it can end.
	stopTick = 100 * time.Millisecond
	// headerTimeout bounds the wait for the header of a request at the control address.
	headerTimeout = 2 * time.Second
	// idleTimeout is the time without a request after which a connection to the control
	// address is closed. Heartbeats arrive about once a second.
	idleTimeout = 30 * time.Second
	// opsCloseTime bounds the wait for running readiness checks at the end of the
	// process.
	opsCloseTime = 100 * time.Millisecond
)

// newClock returns a function that returns the time by the monotonic clock since newClock
// was called. The returned function never returns 0, which stands for never.
func newClock() func() time.Duration {
	started := time.Now()
	return func() time.Duration { return time.Since(started) + 1 }
}

// incarnation returns a random number that identifies this run of the process.
func incarnation() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, errors.Wrap(err, "role: generate the incarnation")
	}
	return binary.BigEndian.Uint64(b[:]), nil
}

func newRandom() *mathrand.Rand {
	return mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64()))
}

// listen opens a UDP socket.
func listen(addr netip.AddrPort) (*net.UDPConn, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, errors.Wrapf(err, "role: listen on %s", addr)
	}
	// The process can serve with a smaller buffer.
	_ = conn.SetReadBuffer(receiveBuffer)
	return conn, nil
}

// seeds returns the valid seeds in a host's settings except the host itself.
func seeds(h platform.Host) []netip.AddrPort {
	return slices.DeleteFunc(h.Seeds[:], func(seed netip.AddrPort) bool {
		return !seed.IsValid() || seed == h.Control
	})
}

// isSeed reports whether the settings name the host itself as a seed. The settings of
// other hosts name the same seeds.
func isSeed(h platform.Host) bool { return slices.Contains(h.Seeds[:], h.Control) }

// serveControl serves HTTP calls at the control address until the process ends.
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

// send sends a datagram. A failure is only counted, as any datagram may be lost on its
// way.
func send(conn *net.UDPConn, to netip.AddrPort, b []byte) {
	if _, err := conn.WriteToUDPAddrPort(b, to); err != nil {
		sendErrors.Inc()
	}
}

// every calls f once per period until stop is closed.
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

// waitUntil polls finished until it returns true or the time limit has passed.
func waitUntil(limit time.Duration, finished func() bool) {
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
