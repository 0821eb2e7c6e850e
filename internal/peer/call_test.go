package peer_test

import (
	"bytes"
	"context"
	"net/netip"
	"net/rpc"
	"strings"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/peer"
)

// waitTimeout bounds each wait of a spec. No spec depends on how long a wait takes.
const waitTimeout = 20 * time.Second

const (
	secretA = "1:000102030405060708090a0b0c0d0e0f"
	secretB = "2:f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff"
	secretC = "3:aaaaaaaaaaaaaaaabbbbbbbbbbbbbbbb"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func ring(secrets ...string) *keyring.Ring {
	GinkgoHelper()
	r, err := keyring.Parse(strings.Join(secrets, ","))
	Expect(err).NotTo(HaveOccurred())
	return r
}

// service is the net/rpc receiver that the specs call.
type service struct {
	calls   atomic.Int64
	entered chan struct{}
	release chan struct{}
}

func newService() *service {
	return &service{entered: make(chan struct{}, 64), release: make(chan struct{})}
}

// Echo returns its argument.
func (s *service) Echo(in string, out *string) error {
	s.calls.Add(1)
	*out = in
	return nil
}

// Fail returns an error.
func (s *service) Fail(in string, _ *string) error {
	return rpc.ServerError("no " + in)
}

// Block sends to entered, then waits until release is closed.
func (s *service) Block(in string, out *string) error {
	s.calls.Add(1)
	s.entered <- struct{}{}
	<-s.release
	*out = in
	return nil
}

// serve starts a peer that serves a new service under the name "Test".
func serve(r *keyring.Ring, opts ...peer.Option) (*peer.Peer, *service) {
	GinkgoHelper()
	p, err := peer.Listen(loopback, r, opts...)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(p.Close)
	s := newService()
	Expect(p.Register("Test", s)).To(Succeed())
	return p, s
}

func echo(p *peer.Peer, addr netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	var out string
	err := p.Call(ctx, addr, "Test.Echo", "hello", &out)
	if err == nil && out != "hello" {
		return rpc.ServerError("wrong echo: " + out)
	}
	return err
}

// startBlockingCall calls Block in the background and returns a channel for its result.
func startBlockingCall(ctx context.Context, p *peer.Peer, addr netip.AddrPort) <-chan error {
	done := make(chan error, 1)
	go func() {
		var out string
		done <- p.Call(ctx, addr, "Test.Block", "x", &out)
	}()
	return done
}

var _ = Describe("Call", func() {
	It("returns an error of the method as a server error and a missing method as unreachable", func() {
		a, _ := serve(ring(secretA))
		b, _ := serve(ring(secretA))
		Expect(echo(a, b.Addr())).To(Succeed())
		var out string
		err := a.Call(context.Background(), b.Addr(), "Test.Fail", "luck", &out)
		Expect(err).To(Equal(rpc.ServerError("no luck")))
		for _, missing := range []string{"Test.Missing", "Missing.Echo"} {
			err = a.Call(context.Background(), b.Addr(), missing, "", &out)
			Expect(err).To(MatchError(peer.ErrUnreachable), missing)
		}
		Expect(echo(a, b.Addr())).To(Succeed())
	})

	It("is unreachable if no process listens at the address", func() {
		a, _ := serve(ring(secretA))
		b, _ := serve(ring(secretA))
		addr := b.Addr()
		Expect(b.Close()).To(Succeed())
		Expect(echo(a, addr)).To(MatchError(peer.ErrUnreachable))
	})

	It("is unreachable, not interrupted, if the remote process ended while the connection was idle", func() {
		a, _ := serve(ring(secretA))
		b, _ := serve(ring(secretA))
		addr := b.Addr()
		Expect(echo(a, addr)).To(Succeed())
		Expect(b.Close()).To(Succeed())
		Eventually(func() error { return echo(a, addr) }, waitTimeout).Should(MatchError(peer.ErrUnreachable))
		restarted, err := peer.Listen(addr, ring(secretA))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(restarted.Close)
		Expect(restarted.Register("Test", newService())).To(Succeed())
		Expect(echo(a, addr)).To(Succeed())
	})

	It("is interrupted as soon as its context is cancelled", func() {
		a, _ := serve(ring(secretA))
		b, s := serve(ring(secretA))
		ctx, cancel := context.WithCancel(context.Background())
		done := startBlockingCall(ctx, a, b.Addr())
		Eventually(s.entered, waitTimeout).Should(Receive())
		cancel()
		var err error
		Eventually(done, waitTimeout).Should(Receive(&err))
		Expect(err).To(MatchError(peer.ErrInterrupted))
		Expect(err).To(MatchError(context.Canceled))
		Expect(echo(a, b.Addr())).To(Succeed())
		close(s.release)
	})

	It("is not sent if its context is already cancelled", func() {
		a, _ := serve(ring(secretA))
		b, s := serve(ring(secretA))
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		var out string
		Expect(a.Call(ctx, b.Addr(), "Test.Echo", "x", &out)).To(MatchError(peer.ErrUnreachable))
		Expect(echo(a, b.Addr())).To(Succeed())
		Expect(s.calls.Load()).To(Equal(int64(1)))
	})

	It("is interrupted if the remote process closes while the method runs", func() {
		a, _ := serve(ring(secretA))
		b, s := serve(ring(secretA))
		done := startBlockingCall(context.Background(), a, b.Addr())
		Eventually(s.entered, waitTimeout).Should(Receive())
		Expect(b.Close()).To(Succeed())
		var err error
		Eventually(done, waitTimeout).Should(Receive(&err))
		Expect(err).To(MatchError(peer.ErrInterrupted))
		close(s.release)
	})

	It("runs methods concurrently and bounds the pending calls of a connection", func() {
		const pending = 4
		a, _ := serve(ring(secretA), peer.WithPending(pending))
		b, s := serve(ring(secretA))
		var blocked []<-chan error
		for range pending - 1 {
			blocked = append(blocked, startBlockingCall(context.Background(), a, b.Addr()))
			Eventually(s.entered, waitTimeout).Should(Receive())
		}
		Expect(echo(a, b.Addr())).To(Succeed())
		blocked = append(blocked, startBlockingCall(context.Background(), a, b.Addr()))
		Eventually(s.entered, waitTimeout).Should(Receive())
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		var out string
		Expect(a.Call(ctx, b.Addr(), "Test.Echo", "x", &out)).To(MatchError(peer.ErrUnreachable))
		close(s.release)
		for _, done := range blocked {
			Eventually(done, waitTimeout).Should(Receive(BeNil()))
		}
	})

	It("rejects a request that is too large and completes the other pending calls", func() {
		a, _ := serve(ring(secretA), peer.WithMessageBytes(64<<10))
		b, s := serve(ring(secretA))
		done := startBlockingCall(context.Background(), a, b.Addr())
		Eventually(s.entered, waitTimeout).Should(Receive())
		var out string
		err := a.Call(context.Background(), b.Addr(), "Test.Echo", strings.Repeat("x", 65<<10), &out)
		Expect(err).To(MatchError(peer.ErrUnreachable))
		Expect(err).To(MatchError(peer.ErrTooLarge))
		Expect(echo(a, b.Addr())).To(Succeed())
		close(s.release)
		Eventually(done, waitTimeout).Should(Receive(BeNil()))
	})

	It("rejects a message that exceeds the receiver's limit", func() {
		a, _ := serve(ring(secretA))
		b, s := serve(ring(secretA), peer.WithMessageBytes(16<<10))
		var out string
		err := a.Call(context.Background(), b.Addr(), "Test.Echo", strings.Repeat("x", 64<<10), &out)
		Expect(err).To(BeAssignableToTypeOf(rpc.ServerError("")))
		Expect(err).To(MatchError(ContainSubstring(peer.ErrTooLarge.Error())))
		Expect(s.calls.Load()).To(BeZero())
		Eventually(func() error { return echo(a, b.Addr()) }, waitTimeout).Should(Succeed())
	})

	It("closes idle connections and counts bytes per remote process", func() {
		a, _ := serve(ring(secretA), peer.WithIdle(100*time.Millisecond))
		b, _ := serve(ring(secretA))
		Expect(echo(a, b.Addr())).To(Succeed())
		sent := a.TrafficByPeer()[b.Addr().String()]
		Expect(sent.Out).To(BeNumerically(">", 0))
		Expect(sent.In).To(BeNumerically(">", 0))
		Eventually(a.TrafficByPeer, waitTimeout).Should(BeEmpty())
		var text bytes.Buffer
		metrics.WritePrometheus(&text, false)
		Expect(text.String()).To(ContainSubstring(`saltbend_peer_calls_total{method="Test.Echo",outcome="ok"} `))
		Expect(a.Traffic().Out).To(BeNumerically(">=", sent.Out))
		Expect(echo(a, b.Addr())).To(Succeed())
	})
})
