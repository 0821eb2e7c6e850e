package home_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/home"
	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/peer"
	"github.com/saltbend/saltbend/internal/request"
	"github.com/saltbend/saltbend/internal/upstream"
	"github.com/saltbend/saltbend/test/fleetsource"
	"github.com/saltbend/saltbend/test/freeze"
)

// nodeEnv is an environment variable. If it is set, the test binary runs as an agent
// process with its control listener at that address, so that tests can kill and freeze
// real processes.
const nodeEnv = "SALTBEND_TEST_HOME_NODE"

// anyPort lets the kernel choose a free port.
const anyPort = "127.0.0.1:0"

const (
	testSecret  = "1:000102030405060708090a0b0c0d0e0f"
	testService = "exams"
	startPath   = "/-/start"
	membersPath = "/-/members"
	closePath   = "/-/close"
	metricsPath = "/-/metrics"
)

func TestMain(m *testing.M) {
	if control := os.Getenv(nodeEnv); control != "" {
		runNode(control)
		return
	}
	os.Exit(m.Run())
}

// addresses is printed by a node once it listens.
type addresses struct{ HTTP, Peer string }

// start is the request that makes a node serve.
type start struct {
	// Control is the address that the node announces, which may be a proxy's.
	Control  netip.AddrPort
	Upstream string
	Deadline time.Duration
	Members  []member.Member
}

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// runNode runs an agent process with peer, home and request handler. It serves HTTP/1.1
// to callers and ends when its standard input is closed.
func runNode(control string) {
	p := must(peer.Listen(netip.MustParseAddrPort(control), must(keyring.Parse(testSecret))))
	l := must(net.Listen("tcp", anyPort))
	mux := http.NewServeMux()
	mux.HandleFunc(startPath, func(_ http.ResponseWriter, r *http.Request) {
		var s start
		if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
			panic(err)
		}
		s.serve(mux, p)
	})
	mux.HandleFunc(metricsPath, func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, false) })
	go func() { _ = http.Serve(l, mux) }()
	_ = json.NewEncoder(os.Stdout).Encode(addresses{HTTP: l.Addr().String(), Peer: p.Addr().String()})
	_, _ = io.Copy(io.Discard, os.Stdin)
}

func (s start) serve(mux *http.ServeMux, p *peer.Peer) {
	classes := []config.Class{
		{Name: "blocker", Path: blockerPath, Kind: config.KindRequest, Deadline: longDeadline},
		{Name: "answer", Path: "/*", Kind: config.KindRequest, Deadline: s.Deadline},
	}
	service := config.Service{
		Name:    testService,
		Limits:  config.Limits{Slots: 1, Queue: 8, Connections: 8},
		Classes: classes,
	}
	view := fleetsource.New(&control.Snapshot{
		Config: &config.Config{Services: []config.Service{service}},
		Agents: s.Members,
	})
	self := member.Member{Control: s.Control, Service: testService, Incarnation: uint64(time.Now().UnixNano())}
	logger := slog.New(slog.DiscardHandler)
	tickets := must(home.New(home.Options{
		Self: self, Source: view, Caller: p, Ring: must(keyring.Parse(testSecret)), Logger: logger,
	}))
	handler := must(request.NewHandler(context.Background(), request.Options{
		Service: testService, Self: self.Control, Source: view, Caller: p, Registry: p, Tickets: tickets,
		Upstream: upstream.New(must(url.Parse(s.Upstream))), Logger: logger,
	}))
	if err := tickets.Serve(p, handler); err != nil {
		panic(err)
	}
	mux.HandleFunc(membersPath, func(_ http.ResponseWriter, r *http.Request) {
		var members []member.Member
		if err := json.NewDecoder(r.Body).Decode(&members); err != nil {
			panic(err)
		}
		view.SetAgents(members)
	})
	mux.HandleFunc(closePath, func(http.ResponseWriter, *http.Request) {
		handler.Drain()
		tickets.Close(context.Background())
	})
	mux.Handle("/", handler)
}

// node controls an agent process.
type node struct {
	t       *testing.T
	process *exec.Cmd
	addresses
}

func startNode(t *testing.T, control string) *node {
	t.Helper()
	g := NewWithT(t)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), nodeEnv+"="+control)
	cmd.Stderr = os.Stderr
	stdin, err := cmd.StdinPipe()
	g.Expect(err).NotTo(HaveOccurred())
	stdout, err := cmd.StdoutPipe()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(cmd.Start()).To(Succeed())
	n := &node{t: t, process: cmd}
	t.Cleanup(func() {
		stdin.Close()
		n.kill()
	})
	line, err := bufio.NewReader(stdout).ReadBytes('\n')
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(json.Unmarshal(line, &n.addresses)).To(Succeed())
	return n
}

func (n *node) signal(s syscall.Signal) { _ = n.process.Process.Signal(s) }

// freeze stops the process and returns when all of it has stopped.
func (n *node) freeze() {
	n.t.Helper()
	NewWithT(n.t).Expect(freeze.Process(n.process.Process.Pid)).To(Succeed())
}

// kill kills the process, even if it is frozen, and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	_ = n.process.Wait()
}

func (n *node) post(path string, v any) {
	n.t.Helper()
	g := NewWithT(n.t)
	body, err := json.Marshal(v)
	g.Expect(err).NotTo(HaveOccurred())
	client := &http.Client{Timeout: waitTimeout}
	r, err := client.Post("http://"+n.HTTP+path, "application/json", bytes.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	r.Body.Close()
	g.Expect(r.StatusCode).To(Equal(http.StatusOK))
}

// metric returns the text of one of the node's metrics.
func (n *node) metric(name string) string {
	r, err := http.Get("http://" + n.HTTP + metricsPath)
	if err != nil {
		return ""
	}
	defer r.Body.Close()
	for lines := bufio.NewScanner(r.Body); lines.Scan(); {
		if value, found := strings.CutPrefix(lines.Text(), name+" "); found {
			return value
		}
	}
	return ""
}

// reply is what a caller received for one attempt.
type reply struct {
	Outcome request.Outcome
	Status  int
	Body    string
	Ticket  string
}

// send sends a request and returns a channel that delivers the response, the zero value
// if the connection failed.
func (n *node) send(ticket, body string) <-chan reply {
	return n.sendWith(context.Background(), ticket, body)
}

// sendAndLeave sends a request. The caller disconnects when the returned function is
// called.
func (n *node) sendAndLeave(ticket, body string) (leave func()) {
	ctx, cancel := context.WithCancel(context.Background())
	n.sendWith(ctx, ticket, body)
	return cancel
}

func (n *node) sendWith(ctx context.Context, ticket, body string) <-chan reply {
	out := make(chan reply, 1)
	go func() {
		path := answerPath
		if body == blocker {
			path = blockerPath
		}
		r := must(http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.HTTP+path, strings.NewReader(body)))
		if ticket != "" {
			r.Header.Set(request.HeaderTicket, ticket)
		}
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			out <- reply{}
			return
		}
		defer response.Body.Close()
		text, _ := io.ReadAll(response.Body)
		out <- reply{
			Outcome: request.Outcome(response.Header.Get(request.HeaderOutcome)),
			Status:  response.StatusCode,
			Body:    string(text),
			Ticket:  response.Header.Get(request.HeaderTicket),
		}
	}()
	return out
}
