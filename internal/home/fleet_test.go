package home_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/Shopify/toxiproxy"
	. "github.com/onsi/gomega"
	"github.com/sirupsen/logrus"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/request"
	"github.com/saltbend/saltbend/internal/ticket"
)

// waitTimeout bounds each wait. No test depends on how long a wait takes.
const waitTimeout = 40 * time.Second

// The upstream answers a body that starts with hold only after the test has
// released it. For one that starts with crash it then closes the connection
// without an answer.
const (
	hold  = "hold "
	crash = "crash "
)

// Requests with the body blocker have a class of their own with longDeadline. They occupy
// the upstream's slot until the test releases them, so that requests behind them run into
// their own deadlines in the queue.
const (
	blocker     = hold + "blocker"
	blockerPath = "/blockers"
	answerPath  = "/answers"
)

// upstreamServer is an HTTP upstream that counts the runs of each body.
type upstreamServer struct {
	*httptest.Server
	mu    sync.Mutex
	runs  map[string]int
	gates map[string]chan struct{}
}

func startUpstream(t *testing.T) *upstreamServer {
	u := &upstreamServer{runs: map[string]int{}, gates: map[string]chan struct{}{}}
	u.Server = httptest.NewServer(u)
	t.Cleanup(func() {
		u.releaseAll()
		u.CloseClientConnections()
		u.Close()
	})
	return u
}

func (u *upstreamServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	raw, _ := io.ReadAll(r.Body)
	body := string(raw)
	u.mu.Lock()
	u.runs[body]++
	answer := fmt.Sprintf("run %d of %s", u.runs[body], body)
	u.mu.Unlock()
	if strings.HasPrefix(body, hold) || strings.HasPrefix(body, crash) {
		<-u.gate(body)
	}
	if strings.HasPrefix(body, crash) {
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, answer)
}

func (u *upstreamServer) gate(body string) chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.gates[body] == nil {
		u.gates[body] = make(chan struct{})
	}
	return u.gates[body]
}

// release lets all present and future runs of a body continue.
func (u *upstreamServer) release(body string) {
	gate := u.gate(body)
	select {
	case <-gate:
	default:
		close(gate)
	}
}

func (u *upstreamServer) releaseAll() {
	u.mu.Lock()
	bodies := make([]string, 0, len(u.gates))
	for body := range u.gates {
		bodies = append(bodies, body)
	}
	u.mu.Unlock()
	for _, body := range bodies {
		u.release(body)
	}
}

func (u *upstreamServer) ran(body string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.runs[body]
}

// fleet consists of a home behind a fault-injecting proxy and two other agents.
type fleet struct {
	*WithT
	t         *testing.T
	upstream  *upstreamServer
	deadline  time.Duration
	proxy     *toxiproxy.Proxy
	control   netip.AddrPort // the proxy's address, which the others use for the home
	home      *node
	others    [2]*node
	ticket    string  // an unused ticket of the home
	responses []reply // responses to requests under the ticket
}

var silenceLogrus sync.Once

func startFleet(t *testing.T, deadline time.Duration) *fleet {
	t.Helper()
	silenceLogrus.Do(func() { logrus.SetOutput(io.Discard) })
	f := &fleet{WithT: NewWithT(t), t: t, upstream: startUpstream(t), deadline: deadline, home: startNode(t, anyPort)}
	f.proxy = toxiproxy.NewProxy()
	f.proxy.Name, f.proxy.Listen, f.proxy.Upstream = "home", "127.0.0.1:0", f.home.Peer
	f.Expect(f.proxy.Start()).To(Succeed())
	t.Cleanup(f.proxy.Stop)
	f.control = netip.MustParseAddrPort(f.proxy.Listen)
	f.start(f.home, f.control)
	for i := range f.others {
		f.others[i] = startNode(t, anyPort)
		f.start(f.others[i], netip.MustParseAddrPort(f.others[i].Peer))
	}
	first := f.result(f.home.send("", "nothing"))
	f.Expect(first.Status).To(Equal(http.StatusPreconditionRequired))
	f.Expect(first.Outcome).To(Equal(request.OutcomeNotRun))
	warm := f.result(f.others[0].send(first.Ticket, "warm"))
	f.Expect(warm.Outcome).To(Equal(request.OutcomeComplete))
	f.ticket = f.result(f.home.send("", "nothing")).Ticket
	return f
}

func (f *fleet) start(n *node, control netip.AddrPort) {
	f.t.Helper()
	n.post(startPath, start{Control: control, Upstream: f.upstream.URL, Deadline: f.deadline})
}

// result waits for the response to an attempt.
func (f *fleet) result(attempt <-chan reply) reply {
	f.t.Helper()
	var r reply
	f.Eventually(attempt, waitTimeout).Should(Receive(&r))
	return r
}

// outcome waits for the response to an attempt under the fleet's ticket, records it and
// returns its outcome.
func (f *fleet) outcome(attempt <-chan reply) request.Outcome {
	f.t.Helper()
	r := f.result(attempt)
	f.responses = append(f.responses, r)
	return r.Outcome
}

func (f *fleet) running(body string) {
	f.t.Helper()
	f.Eventually(func() int { return f.upstream.ran(body) }, waitTimeout).Should(Equal(1))
}

// waitUntilIdle returns when all requests that were queued at n have ended. There is
// one slot and the queue is first in, first out, so it sends a request and waits for
// its end.
func (f *fleet) waitUntilIdle(n *node) {
	f.t.Helper()
	f.Eventually(func() request.Outcome {
		ticket := f.result(n.send("", "nothing")).Ticket
		return f.result(n.send(ticket, "fence")).Outcome
	}, waitTimeout).Should(Equal(request.OutcomeComplete))
}

// check compares the outcomes that callers received with the runs of the upstream.
func (f *fleet) check(body string) {
	f.t.Helper()
	runs := f.upstream.ran(body)
	f.Expect(runs).To(BeNumerically("<=", 1), "%s ran more than once; responses: %+v", body, f.responses)
	for _, r := range f.responses {
		switch r.Outcome {
		case request.OutcomeNotRun:
			f.Expect(runs).To(BeZero(), "a response says not run, but the upstream ran it; responses: %+v", f.responses)
		case request.OutcomeComplete:
			f.Expect(r.Body).To(Equal("run 1 of " + body))
		}
	}
}

func (f *fleet) blackhole(stream string) {
	f.t.Helper()
	body := fmt.Sprintf(`{"name":%q,"type":"timeout","stream":%q,"attributes":{"timeout":0}}`, stream, stream)
	_, err := f.proxy.Toxics.AddToxicJson(strings.NewReader(body))
	f.Expect(err).NotTo(HaveOccurred())
}

// siblings returns the agents that are not the home as members.
func (f *fleet) siblings() []member.Member {
	var all []member.Member
	for _, n := range f.others {
		all = append(all, member.Member{Control: netip.MustParseAddrPort(n.Peer), Service: testService})
	}
	return all
}

// setMembers sets the member list of the agents that are not the home.
func (f *fleet) setMembers(members ...member.Member) {
	f.t.Helper()
	for _, n := range f.others {
		n.post(membersPath, members)
	}
}

// incarnation returns the incarnation that issued the fleet's ticket.
func (f *fleet) incarnation() uint64 {
	f.t.Helper()
	ring, err := keyring.Parse(testSecret)
	f.Expect(err).NotTo(HaveOccurred())
	t, err := ticket.NewCodec(ring).Open(f.ticket, config.TagOf(testService))
	f.Expect(err).NotTo(HaveOccurred())
	return t.Incarnation
}
