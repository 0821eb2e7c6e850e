package peer_test

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"net/rpc"
	"strings"
	"sync"
	"time"

	"github.com/Shopify/toxiproxy"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/saltbend/saltbend/internal/peer"
)

// proxy starts a fault-injecting proxy in front of p and returns it with its address.
func proxy(p *peer.Peer) (*toxiproxy.Proxy, netip.AddrPort) {
	GinkgoHelper()
	logrus.SetOutput(io.Discard)
	proxy := toxiproxy.NewProxy()
	proxy.Name = "peer"
	proxy.Listen = loopback.String()
	proxy.Upstream = p.Addr().String()
	Expect(proxy.Start()).To(Succeed())
	DeferCleanup(proxy.Stop)
	return proxy, netip.MustParseAddrPort(proxy.Listen)
}

// toxic adds a fault to the proxy; attributes is a JSON object.
func toxic(proxy *toxiproxy.Proxy, kind, stream, attributes string) {
	GinkgoHelper()
	body := fmt.Sprintf(`{"name":%q,"type":%q,"stream":%q,"attributes":%s}`, kind, kind, stream, attributes)
	_, err := proxy.Toxics.AddToxicJson(strings.NewReader(body))
	Expect(err).NotTo(HaveOccurred())
}

// recorder counts how often each call was run.
type recorder struct {
	mu  sync.Mutex
	ran map[int]int
}

// Run counts one run of the call id.
func (r *recorder) Run(id int, reply *int) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran[id]++
	*reply = id
	return nil
}

func (r *recorder) count(id int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ran[id]
}

var _ = Describe("Call over a faulty network", func() {
	It("is interrupted if the connection is cut, and unreachable while it stays cut", func() {
		a, _ := serve(ring(secretA))
		b, s := serve(ring(secretA))
		proxy, addr := proxy(b)
		done := startBlockingCall(context.Background(), a, addr)
		Eventually(s.entered, waitTimeout).Should(Receive())
		proxy.Stop()
		var err error
		Eventually(done, waitTimeout).Should(Receive(&err))
		Expect(err).To(MatchError(peer.ErrInterrupted))
		Expect(echo(a, addr)).To(MatchError(peer.ErrUnreachable))
		Expect(proxy.Start()).To(Succeed())
		Expect(echo(a, addr)).To(Succeed())
		close(s.release)
	})

	It("is interrupted if the reply is lost", func() {
		a, _ := serve(ring(secretA))
		b, s := serve(ring(secretA))
		proxy, addr := proxy(b)
		Expect(echo(a, addr)).To(Succeed())
		toxic(proxy, "timeout", "downstream", `{"timeout":0}`)
		ctx, cancel := context.WithCancel(context.Background())
		done := startBlockingCall(ctx, a, addr)
		Eventually(s.entered, waitTimeout).Should(Receive())
		close(s.release)
		cancel()
		var err error
		Eventually(done, waitTimeout).Should(Receive(&err))
		Expect(err).To(MatchError(peer.ErrInterrupted))
	})

	It("returns at the end of its context even if writes block", func() {
		// Together the calls exceed the socket buffers on the path.
		const calls, size, firstBytes = 16, 1 << 20, 32 << 10
		a, _ := serve(ring(secretA))
		b, _ := serve(ring(secretA))
		proxy, addr := proxy(b)
		Expect(echo(a, addr)).To(Succeed())
		toxic(proxy, "bandwidth", "upstream", `{"rate":1}`)
		ctx, cancel := context.WithCancel(context.Background())
		returned := make(chan error, calls)
		for range calls {
			go func() {
				var out string
				returned <- a.Call(ctx, addr, "Test.Echo", strings.Repeat("x", size), &out)
			}()
		}
		before := a.Traffic().Out
		Eventually(func() uint64 { return a.Traffic().Out - before }, waitTimeout).Should(BeNumerically(">", firstBytes))
		cancel()
		for range calls {
			var err error
			Eventually(returned, peer.DefaultWrite/2).Should(Receive(&err))
			Expect(err).To(MatchError(context.Canceled))
		}
		Expect(echo(a, b.Addr())).To(Succeed())
	})

	It("reports a correct outcome if the connection is cut after any number of bytes", func() {
		// The handshake takes about 1500 bytes each way, a call fewer than 200.
		const steps, stepBytes, perStep = 40, 61, 20
		r := &recorder{ran: make(map[int]int)}
		b, _ := serve(ring(secretA))
		Expect(b.Register("Record", r)).To(Succeed())
		outcomes := make(map[int]error)
		for step := range steps {
			stream := []string{"upstream", "downstream"}[step%2]
			proxy, addr := proxy(b)
			toxic(proxy, "limit_data", stream, fmt.Sprintf(`{"bytes":%d}`, 700+step*stepBytes))
			a, err := peer.NewCaller(ring(secretA), peer.WithDial(shortDial))
			Expect(err).NotTo(HaveOccurred())
			var wg sync.WaitGroup
			var mu sync.Mutex
			for i := range perStep {
				id := step*perStep + i
				wg.Go(func() {
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					defer cancel()
					var reply int
					err := a.Call(ctx, addr, "Record.Run", id, &reply)
					mu.Lock()
					defer mu.Unlock()
					outcomes[id] = err
				})
			}
			wg.Wait()
			Expect(a.Close()).To(Succeed())
			proxy.Stop()
		}
		kinds := make(map[string]int)
		for id, err := range outcomes {
			switch {
			case err == nil:
				kinds["answered"]++
				Expect(r.count(id)).To(Equal(1))
			case errors.Is(err, peer.ErrUnreachable):
				kinds["unreachable"]++
				Expect(r.count(id)).To(BeZero())
			case errors.Is(err, peer.ErrInterrupted):
				kinds["interrupted"]++
				Expect(r.count(id)).To(BeNumerically("<=", 1))
			default:
				var remote rpc.ServerError
				Expect(errors.As(err, &remote)).To(BeTrue(), "neither unreachable, interrupted nor a server error: %v", err)
			}
		}
		GinkgoWriter.Println(kinds)
		Expect(kinds).To(HaveKey("answered"))
		Expect(kinds).To(HaveKey("unreachable"))
		Expect(kinds).To(HaveKey("interrupted"))
	})
})
