package agent

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/saltbend/saltbend/internal/settings"
	"github.com/saltbend/saltbend/test/rolerun"
)

// waitTimeout limits each wait. It is much longer than any wait takes when the
// test passes.
const waitTimeout = 20 * time.Second

// certificatePEM returns a fresh self-signed certificate and its key.
func certificatePEM(t testing.TB) (cert, key []byte) {
	g := NewWithT(t)
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	g.Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		DNSNames:     []string{testService},
		NotAfter:     time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	g.Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(private)
	g.Expect(err).NotTo(HaveOccurred())
	cert = pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	key = pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	return cert, key
}

// configuration is the configuration of the agents in these tests.
const configuration = `version: 1
services:
  - name: results
    faces: ["192.0.2.1:443"]
    limits: {slots: 5, queue: 64, connections: 4000}
    drain: {timeout: 20s}
    classes:
      - {name: lookup, methods: [GET], path: "/runner/*", idempotent: true, deadline: 20s}
      - {name: feed, methods: [GET], path: "/feed", kind: feed, idempotent: true}
      - {name: photo, methods: [PUT], path: "/photo", kind: upload, idempotent: true, deadline: 20s}
      - {name: batch, methods: [POST], path: "/batch", deadline: 20s}
`

// startAgent runs an agent until the test ends and returns when it is ready.
func startAgent(t testing.TB, upstreamURL string, change func(*Settings)) *rolerun.Role {
	g := NewWithT(t)
	cert, key := certificatePEM(t)
	s := Settings{
		Common: settings.Common{
			Control: "127.0.0.1:0", Data: "127.0.0.1:0", Ops: "127.0.0.1:0", DataCentre: "north",
			Secrets: "1:000102030405060708090a0b0c0d0e0f", LogFormat: "text", LogLevel: "info",
		},
		Service: testService, Upstream: upstreamURL, Slots: 5, DrainTimeout: time.Second,
		TLSCertPEM: settings.Secret(cert), TLSKeyPEM: settings.Secret(key),
	}
	if change != nil {
		change(&s)
	}
	if s.Store == nil {
		s.Store = []string{rolerun.NewStore(t, configuration)}
	}
	g.Expect(s.Check()).To(BeEmpty())
	p := rolerun.Start(t, testRing(t), func(ctx context.Context, env settings.Env) error { return Run(ctx, s, env) })
	g.Eventually(func() int { return readyz(t, p) }).WithTimeout(waitTimeout).Should(Equal(http.StatusOK))
	return p
}

func readyz(t testing.TB, p *rolerun.Role) int {
	resp, err := http.Get("http://" + p.Addresses.Ops.String() + "/readyz")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	return resp.StatusCode
}

// newCaller returns an HTTP/3 client that connects to the face for every host
// name.
func newCaller(t testing.TB, face netip.AddrPort) *http.Client {
	c := dialer(face)
	t.Cleanup(func() { _ = c.Transport.(*http3.Transport).Close() })
	return c
}

func dialer(face netip.AddrPort) *http.Client {
	return &http.Client{Transport: &http3.Transport{
		TLSClientConfig: &tls.Config{InsecureSkipVerify: true, ServerName: testService},
		QUICConfig:      &quic.Config{MaxIdleTimeout: time.Minute}, // the client sends no keep-alives
		Dial: func(ctx context.Context, _ string, t *tls.Config, c *quic.Config) (*quic.Conn, error) {
			return quic.DialAddrEarly(ctx, face.String(), t, c)
		},
	}}
}

// feedHandler is an upstream with lookups, uploads that are answered with their
// size, and a feed of the events that the test sends.
func feedHandler(events <-chan string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runner/{id}", func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, "runner "+r.PathValue("id"))
	})
	mux.HandleFunc("PUT /photo", func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n, err)
	})
	mux.HandleFunc("GET /feed", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		_ = control.Flush()
		for {
			select {
			case <-r.Context().Done():
				return
			case e, ok := <-events:
				if !ok {
					return
				}
				fmt.Fprintf(w, "data: %s\n\n", e)
				_ = control.Flush()
			}
		}
	})
	return mux
}

func get(g Gomega, c *http.Client, url string) string {
	resp, err := c.Get(url)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusOK), string(body))
	return string(body)
}

// openFeed opens the feed and returns a channel of its events, which is closed
// when the feed ends.
func openFeed(g Gomega, c *http.Client) <-chan string {
	resp, err := c.Get("https://results/feed")
	g.Expect(err).NotTo(HaveOccurred())
	out := make(chan string, 100)
	go func() {
		defer close(out)
		defer resp.Body.Close()
		lines := bufio.NewScanner(resp.Body)
		for lines.Scan() {
			if data, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
				out <- data
			}
		}
	}()
	return out
}

func TestRequestsFeedsAndUploadsWorkWhenBalancersAlternatePerDatagram(t *testing.T) {
	g := NewWithT(t)
	events := make(chan string)
	up := httptest.NewServer(feedHandler(events))
	t.Cleanup(up.Close)
	f := newFabric(t, 3)
	f.setNewFlow(startAgent(t, up.URL, nil).Addresses.Data)
	caller := newCaller(t, addrOf(f.face))

	feed := openFeed(g, caller)
	for i := range 20 {
		g.Expect(get(g, caller, fmt.Sprintf("https://results/runner/%d", i))).To(Equal(fmt.Sprintf("runner %d", i)))
		events <- fmt.Sprint(i)
		g.Eventually(feed).WithTimeout(waitTimeout).Should(Receive(Equal(fmt.Sprint(i))))
	}
	const size = 3 << 20
	put, err := http.NewRequest("PUT", "https://results/photo", io.LimitReader(zeros{}, size))
	g.Expect(err).NotTo(HaveOccurred())
	resp, err := caller.Do(put)
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal(fmt.Sprint(size, nil)))
	for _, b := range f.balancers {
		g.Expect(b.replies.Load()).To(BeNumerically(">", 0))
	}
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
