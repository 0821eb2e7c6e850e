package agent

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/encap"
	"github.com/saltbend/saltbend/internal/flow"
	"github.com/saltbend/saltbend/internal/settings"
	"github.com/saltbend/saltbend/test/rolerun"
)

// endpoint is the QUIC and HTTP/3 server of an agent without its other parts.
type endpoint struct {
	conn   *flow.Conn
	server *server
}

func startEndpoint(t testing.TB, data netip.AddrPort, handler http.Handler, handOff flow.HandOffFunc) *endpoint {
	g := NewWithT(t)
	ring := testRing(t)
	tag := config.TagOf(testService)
	conn, err := flow.Listen(flow.Options{Data: data, Service: tag, Ring: ring, HandOff: handOff})
	g.Expect(err).NotTo(HaveOccurred())
	ids, err := flow.NewIDs(ring, conn.Addr(), tag, uint64(time.Now().UnixNano()))
	g.Expect(err).NotTo(HaveOccurred())
	certPEM, keyPEM := certificatePEM(t)
	cert, err := tls.X509KeyPair(certPEM, keyPEM)
	g.Expect(err).NotTo(HaveOccurred())
	s := newServer(newTransport(conn, ids, ring, conn.Addr()), handler, slog.New(slog.DiscardHandler))
	g.Expect(s.listen(cert)).To(Succeed())
	e := &endpoint{conn: conn, server: s}
	t.Cleanup(e.kill)
	return e
}

// kill closes the endpoint without notifying its callers.
func (e *endpoint) kill() {
	_ = e.conn.Close()
	_ = e.server.transport.Close()
}

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// respondWith returns a handler that answers every request with name.
func respondWith(name string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, name) })
}

func TestFeedOfSilentCallerSurvivesFailedBalancers(t *testing.T) {
	g := NewWithT(t)
	events := make(chan string)
	up := httptest.NewServer(feedHandler(events))
	t.Cleanup(up.Close)
	f := newFabric(t, 3)
	f.setNewFlow(startAgent(t, up.URL, nil).Addresses.Data)
	feed := openFeed(g, newCaller(t, addrOf(f.face)))
	worst := time.Duration(0)
	for round := range 6 {
		failed := f.balancers[round%3]
		fault := &failed.frozen
		if round >= 3 {
			fault = &failed.ignoresAgents
		}
		fault.Store(true)
		for i := range 20 {
			event := fmt.Sprint(round, i)
			sent := time.Now()
			events <- event
			g.Eventually(feed).WithTimeout(waitTimeout).Should(Receive(Equal(event)))
			worst = max(worst, time.Since(sent))
		}
		fault.Store(false)
	}
	t.Logf("slowest event with one of three balancers frozen or cut: %v", worst)
}

func TestCallerReceivesStatelessResetAfterAgentRestart(t *testing.T) {
	g := NewWithT(t)
	idleFeed := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	f := newFabric(t, 2)
	first := startEndpoint(t, anyPort, idleFeed, nil)
	data := first.conn.Addr()
	f.setNewFlow(data)
	caller := newCaller(t, addrOf(f.face))
	resp, err := caller.Get("https://results/feed")
	g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()

	first.kill()
	startEndpoint(t, data, respondWith("second"), nil)
	feedErr := make(chan error, 1)
	go func() {
		_, err := io.ReadAll(resp.Body)
		feedErr <- err
	}()
	// The caller receives the stateless reset after its next packet; here that
	// is a new request.
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, "GET", "https://results/x", nil)
	g.Expect(err).NotTo(HaveOccurred())
	if resp, err := caller.Do(req); err == nil {
		_ = resp.Body.Close()
	}
	g.Eventually(feedErr).WithTimeout(waitTimeout).Should(Receive(&err))
	var reset *quic.StatelessResetError
	g.Expect(errors.As(err, &reset)).To(BeTrue(), "%v", err)
}

func TestNewFlowIsHandedOffWithAllItsInitials(t *testing.T) {
	g := NewWithT(t)
	sibling := startEndpoint(t, anyPort, respondWith("sibling"), nil)
	calls := make(chan struct{}, 100)
	handOff := func(encap.Header, []byte) (netip.AddrPort, bool) {
		calls <- struct{}{}
		return sibling.conn.Addr(), true
	}
	source := startEndpoint(t, anyPort, respondWith("busy"), handOff)
	f := newFabric(t, 3)
	f.setNewFlow(source.conn.Addr())
	for range 5 {
		caller := newCaller(t, addrOf(f.face))
		g.Expect(get(g, caller, "https://results/")).To(Equal("sibling"))
	}
	g.Expect(calls).To(HaveLen(5), "the hand-off function is called once for each connection attempt")
}

func TestOneAgentServesTheCallerWhenInitialsReachTwoAgents(t *testing.T) {
	g := NewWithT(t)
	a := startEndpoint(t, anyPort, respondWith("a"), nil)
	b := startEndpoint(t, anyPort, respondWith("b"), nil)
	f := newFabric(t, 3)
	f.setNewFlow(a.conn.Addr(), b.conn.Addr())
	for range 10 {
		caller := newCaller(t, addrOf(f.face))
		owner := get(g, caller, "https://results/")
		for range 10 {
			g.Expect(get(g, caller, "https://results/")).To(Equal(owner))
		}
	}
}

func TestResumptionAndEarlyDataAreDisabled(t *testing.T) {
	g := NewWithT(t)
	g.Expect(quicConfig().Allow0RTT).To(BeFalse())
	e := startEndpoint(t, anyPort, respondWith("a"), nil)
	f := newFabric(t, 2)
	f.setNewFlow(e.conn.Addr())
	session := &tls.Config{
		InsecureSkipVerify: true, ServerName: testService, NextProtos: []string{"h3"},
		ClientSessionCache: tls.NewLRUClientSessionCache(10),
	}
	for range 2 {
		conn, err := quic.DialAddrEarly(t.Context(), addrOf(f.face).String(), session, nil)
		g.Expect(err).NotTo(HaveOccurred())
		<-conn.HandshakeComplete()
		g.Expect(conn.ConnectionState().Used0RTT).To(BeFalse())
		g.Expect(conn.ConnectionState().TLS.DidResume).To(BeFalse())
		_, err = conn.AcceptUniStream(t.Context()) // a session ticket would have arrived before this
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(conn.CloseWithError(0, "")).To(Succeed())
	}
}

func TestDrainWaitsForRunningRequestsAndFeeds(t *testing.T) {
	g := NewWithT(t)
	events := make(chan string)
	begun, finish := make(chan struct{}), make(chan struct{})
	mux := http.NewServeMux()
	mux.Handle("/feed", feedHandler(events))
	mux.HandleFunc("/runner/slow", func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-finish
		fmt.Fprint(w, "whole")
	})
	up := httptest.NewServer(mux)
	t.Cleanup(up.Close)
	f := newFabric(t, 2)
	p := startAgent(t, up.URL, nil)
	f.setNewFlow(p.Addresses.Data)
	caller := newCaller(t, addrOf(f.face))
	feed := openFeed(g, caller)
	answer := make(chan string, 1)
	go func() { answer <- get(g, caller, "https://results/runner/slow") }()
	g.Eventually(begun).WithTimeout(waitTimeout).Should(BeClosed())

	p.Stop()
	g.Eventually(func() int { return readyz(t, p) }).WithTimeout(waitTimeout).Should(Equal(http.StatusServiceUnavailable))
	close(finish)
	g.Eventually(answer).WithTimeout(waitTimeout).Should(Receive(Equal("whole")))
	for i := range 3 {
		events <- fmt.Sprint(i)
		g.Eventually(feed).WithTimeout(waitTimeout).Should(Receive(Equal(fmt.Sprint(i))))
	}
	g.Expect(p.Ended).NotTo(BeClosed())
	close(events)
	g.Eventually(feed).WithTimeout(waitTimeout).Should(BeClosed())
	g.Eventually(p.Ended).WithTimeout(waitTimeout).Should(BeClosed())
	g.Expect(p.Err).NotTo(HaveOccurred())
}

func TestShutdownAtItsTimeoutReturnsTheNumberOfCutRequests(t *testing.T) {
	g := NewWithT(t)
	begun := make(chan struct{})
	endless := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
	})
	f := newFabric(t, 1)
	e := startEndpoint(t, anyPort, endless, nil)
	f.setNewFlow(e.conn.Addr())
	caller := newCaller(t, addrOf(f.face))
	go func() {
		if resp, err := caller.Get("https://results/x"); err == nil {
			_ = resp.Body.Close()
		}
	}()
	g.Eventually(begun).WithTimeout(waitTimeout).Should(BeClosed())
	expired, cancel := context.WithCancel(t.Context())
	cancel()
	g.Expect(e.server.shutdown(expired)).To(Equal(1))
}

func TestAgentAtItsConnectionLimitHandsOffNewFlowsToASibling(t *testing.T) {
	g := NewWithT(t)
	platform := rolerun.NewStore(t, strings.Replace(configuration, "connections: 4000", "connections: 1", 1))
	start := func(name string, join ...settings.Address) *rolerun.Role {
		up := httptest.NewServer(respondWith(name))
		t.Cleanup(up.Close)
		return startAgent(t, up.URL, func(s *Settings) {
			s.Store = []string{platform}
			s.Join = join
		})
	}
	first := start("first")
	start("second", settings.Address(first.Addresses.Control.String()))
	f := newFabric(t, 2)
	f.setNewFlow(first.Addresses.Data)
	lookup := func() string { return get(g, newCaller(t, addrOf(f.face)), "https://results/runner/1") }
	g.Expect(lookup()).To(Equal("first"))
	// The first agent can hand off flows only after it has received the second
	// agent's membership record.
	g.Eventually(lookup).WithTimeout(waitTimeout).Should(Equal("second"))
}
