package peer_test

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/time/rate"

	"github.com/saltbend/saltbend/internal/peer"
)

// shortDial is the handshake timeout of specs that wait for it to expire.
const shortDial = 200 * time.Millisecond

// connect opens a plain connection to p.
func connect(p *peer.Peer) net.Conn {
	GinkgoHelper()
	conn, err := net.Dial("tcp", p.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	Expect(conn.SetDeadline(time.Now().Add(waitTimeout))).To(Succeed())
	return conn
}

// expectEnd reads until the remote end closes the connection, which must happen before the
// connection's deadline. It returns what was read.
func expectEnd(conn net.Conn) []byte {
	GinkgoHelper()
	got, err := io.ReadAll(conn)
	if netErr, ok := err.(net.Error); ok {
		Expect(netErr.Timeout()).To(BeFalse())
	}
	return got
}

var _ = Describe("An unauthenticated process", func() {
	It("with another key can neither call nor be called", func() {
		a, ours := serve(ring(secretA))
		b, theirs := serve(ring(secretB))
		Expect(echo(a, b.Addr())).To(MatchError(peer.ErrUnreachable))
		Expect(echo(a, b.Addr())).To(MatchError(peer.ErrUnauthenticated))
		Expect(echo(b, a.Addr())).To(MatchError(peer.ErrUnreachable))
		Expect(ours.calls.Load() + theirs.calls.Load()).To(BeZero())
	})

	It("without a key receives no data", func() {
		a, _ := serve(ring(secretA))
		conn := tls.Client(connect(a), &tls.Config{
			InsecureSkipVerify: true,
			NextProtos:         []string{"saltbend-peer/1"},
		})
		// The client's handshake may succeed before the server has verified the client's key.
		_ = conn.Handshake()
		Expect(expectEnd(conn)).To(BeEmpty())
	})

	It("that sends garbage is disconnected without affecting other processes", func() {
		a, _ := serve(ring(secretA))
		b, _ := serve(ring(secretA))
		conn := connect(a)
		_, err := conn.Write([]byte("GET / HTTP/1.1\r\n\r\n\x00\xff\x16\x03\x01"))
		Expect(err).NotTo(HaveOccurred())
		expectEnd(conn)
		Expect(echo(b, a.Addr())).To(Succeed())
	})

	It("that sends nothing occupies a connection slot no longer than the handshake timeout", func() {
		a, _ := serve(ring(secretA), peer.WithServed(1), peer.WithDial(shortDial))
		b, _ := serve(ring(secretA))
		silent := connect(a)
		Eventually(func() error { return echo(b, a.Addr()) }, waitTimeout).Should(Succeed())
		expectEnd(silent)
	})

	It("is refused above the rate limit of handshakes, while open connections continue", func() {
		a, _ := serve(ring(secretA), peer.WithHandshakes(rate.Every(time.Hour), 2))
		b, _ := serve(ring(secretA))
		Expect(echo(b, a.Addr())).To(Succeed())
		garbage := connect(a)
		_, err := garbage.Write([]byte("garbage\r\n"))
		Expect(err).NotTo(HaveOccurred())
		expectEnd(garbage)
		newcomer, err := peer.NewCaller(ring(secretA))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(newcomer.Close)
		Expect(echo(newcomer, a.Addr())).To(MatchError(peer.ErrUnreachable))
		Expect(echo(b, a.Addr())).To(Succeed())
	})

	It("that accepts connections and sends nothing is unreachable after the handshake timeout", func() {
		listener, err := net.Listen("tcp", loopback.String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		a, _ := serve(ring(secretA), peer.WithDial(shortDial))
		Expect(echo(a, listener.Addr().(*net.TCPAddr).AddrPort())).To(MatchError(peer.ErrUnreachable))
	})
})

var _ = Describe("Key rotation", func() {
	It("can be applied to one process after another without a failed call", func() {
		a, _ := serve(ring(secretA))
		b, s := serve(ring(secretA))
		both := func() {
			GinkgoHelper()
			Expect(echo(a, b.Addr())).To(Succeed())
			Expect(echo(b, a.Addr())).To(Succeed())
		}
		both()
		done := startBlockingCall(context.Background(), a, b.Addr())
		Eventually(s.entered, waitTimeout).Should(Receive())
		// First all processes accept the new key, then all authenticate with it.
		for _, step := range [][]string{{secretA, secretB}, {secretB, secretA}} {
			for _, p := range []*peer.Peer{a, b} {
				Expect(p.SetRing(ring(step...))).To(Succeed())
				both()
				fresh, err := peer.NewCaller(ring(step...))
				Expect(err).NotTo(HaveOccurred())
				Expect(echo(fresh, a.Addr())).To(Succeed())
				Expect(echo(fresh, b.Addr())).To(Succeed())
				Expect(fresh.Close()).To(Succeed())
			}
		}
		close(s.release)
		Eventually(done, waitTimeout).Should(Receive(BeNil()))
		// Then the old key is removed; connections authenticated with it are replaced.
		for _, p := range []*peer.Peer{a, b} {
			Expect(p.SetRing(ring(secretB))).To(Succeed())
			Eventually(func() error { return echo(a, b.Addr()) }, waitTimeout).Should(Succeed())
			Eventually(func() error { return echo(b, a.Addr()) }, waitTimeout).Should(Succeed())
		}
		revoked, err := peer.NewCaller(ring(secretA))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(revoked.Close)
		Expect(echo(revoked, a.Addr())).To(MatchError(peer.ErrUnreachable))
	})

	It("closes open connections that were authenticated with a removed key", func() {
		a, _ := serve(ring(secretA))
		b, s := serve(ring(secretA))
		done := startBlockingCall(context.Background(), a, b.Addr())
		Eventually(s.entered, waitTimeout).Should(Receive())
		Expect(b.SetRing(ring(secretC))).To(Succeed())
		var err error
		Eventually(done, waitTimeout).Should(Receive(&err))
		Expect(err).To(MatchError(peer.ErrInterrupted))
		Expect(echo(a, b.Addr())).To(MatchError(peer.ErrUnreachable))
		close(s.release)
	})
})
