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

// shortDial is the handshake bound of specs that wait for it to pass.
const shortDial = 200 * time.Millisecond

// connect opens a plain connection to p.
func connect(p *peer.Peer) net.Conn {
	GinkgoHelper()
	conn, err := net.Dial("tcp", p.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(conn.Close)
	Expect(conn.SetDeadline(time.Now().Add(patience))).To(Succeed())
	return conn
}

// expectEnd reads until the other end closes, which must come before the
// deadline of the connection.
func expectEnd(conn net.Conn) []byte {
	GinkgoHelper()
	got, err := io.ReadAll(conn)
	if netErr, ok := err.(net.Error); ok {
		Expect(netErr.Timeout()).To(BeFalse())
	}
	return got
}

var _ = Describe("A stranger", func() {
	It("with another key can neither call nor be called", func() {
		a, ours := serve(ring(secretA))
		b, theirs := serve(ring(secretB))
		Expect(echo(a, b.Addr())).To(MatchError(peer.ErrUnreachable))
		Expect(echo(a, b.Addr())).To(MatchError(peer.ErrUnauthenticated))
		Expect(echo(b, a.Addr())).To(MatchError(peer.ErrUnreachable))
		Expect(ours.calls.Load() + theirs.calls.Load()).To(BeZero())
	})

	It("without a key reads nothing", func() {
		a, _ := serve(ring(secretA))
		conn := tls.Client(connect(a), &tls.Config{
			InsecureSkipVerify: true,
			NextProtos:         []string{"saltbend-peer/1"},
		})
		// The caller's end of the handshake may succeed before its key is asked for.
		_ = conn.Handshake()
		Expect(expectEnd(conn)).To(BeEmpty())
	})

	It("that sends garbage is closed and disturbs nobody", func() {
		a, _ := serve(ring(secretA))
		b, _ := serve(ring(secretA))
		conn := connect(a)
		_, err := conn.Write([]byte("GET / HTTP/1.1\r\n\r\n\x00\xff\x16\x03\x01"))
		Expect(err).NotTo(HaveOccurred())
		expectEnd(conn)
		Expect(echo(b, a.Addr())).To(Succeed())
	})

	It("that stays silent holds a place only for the handshake's bound", func() {
		a, _ := serve(ring(secretA), peer.WithServed(1), peer.WithDial(shortDial))
		b, _ := serve(ring(secretA))
		silent := connect(a)
		Eventually(func() error { return echo(b, a.Addr()) }, patience).Should(Succeed())
		expectEnd(silent)
	})

	It("takes no more processor time than the rate of handshakes allows", func() {
		a, _ := serve(ring(secretA), peer.WithHandshakes(rate.Every(time.Hour), 2))
		b, _ := serve(ring(secretA))
		Expect(echo(b, a.Addr())).To(Succeed())
		garbage := connect(a)
		_, err := garbage.Write([]byte("garbage\r\n"))
		Expect(err).NotTo(HaveOccurred())
		expectEnd(garbage)
		late, err := peer.NewCaller(ring(secretA))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(late.Close)
		Expect(echo(late, a.Addr())).To(MatchError(peer.ErrUnreachable))
		Expect(echo(b, a.Addr())).To(Succeed())
	})

	It("that accepts and stays silent is unreachable after the handshake's bound", func() {
		listener, err := net.Listen("tcp", loopback.String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		a, _ := serve(ring(secretA), peer.WithDial(shortDial))
		Expect(echo(a, listener.Addr().(*net.TCPAddr).AddrPort())).To(MatchError(peer.ErrUnreachable))
	})
})

var _ = Describe("Key rotation", func() {
	It("goes through the fleet one process at a time without a lost call", func() {
		a, _ := serve(ring(secretA))
		b, s := serve(ring(secretA))
		both := func() {
			GinkgoHelper()
			Expect(echo(a, b.Addr())).To(Succeed())
			Expect(echo(b, a.Addr())).To(Succeed())
		}
		both()
		done := background(context.Background(), a, b.Addr())
		Eventually(s.entered, patience).Should(Receive())
		// First all accept the new key, then all prove it.
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
		Eventually(done, patience).Should(Receive(BeNil()))
		// Then the old one goes; connections that proved it are made anew.
		for _, p := range []*peer.Peer{a, b} {
			Expect(p.SetRing(ring(secretB))).To(Succeed())
			Eventually(func() error { return echo(a, b.Addr()) }, patience).Should(Succeed())
			Eventually(func() error { return echo(b, a.Addr()) }, patience).Should(Succeed())
		}
		old, err := peer.NewCaller(ring(secretA))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(old.Close)
		Expect(echo(old, a.Addr())).To(MatchError(peer.ErrUnreachable))
	})

	It("cuts open connections of a key that was taken away", func() {
		a, _ := serve(ring(secretA))
		b, s := serve(ring(secretA))
		done := background(context.Background(), a, b.Addr())
		Eventually(s.entered, patience).Should(Receive())
		Expect(b.SetRing(ring(secretC))).To(Succeed())
		var err error
		Eventually(done, patience).Should(Receive(&err))
		Expect(err).To(MatchError(peer.ErrInterrupted))
		Expect(echo(a, b.Addr())).To(MatchError(peer.ErrUnreachable))
		close(s.release)
	})
})
