package request_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/request"
	"github.com/saltbend/saltbend/internal/ticket"
	"github.com/saltbend/saltbend/internal/upstream"
	"github.com/saltbend/saltbend/test/fleetsource"
	"github.com/saltbend/saltbend/test/mesh"
)

func TestRequest(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "request")
}

const waitTimeout = 10 * time.Second

// exams returns a service with one class of each kind.
func exams(limits config.Limits) config.Service {
	return config.Service{Name: "exams", Limits: limits, Classes: []config.Class{
		{Name: "lookup", Methods: []string{"GET"}, Path: "/runners/*", Kind: config.KindRequest, Idempotent: true, Deadline: waitTimeout},
		{Name: "report", Methods: []string{"GET"}, Path: "/reports/*", Kind: config.KindRequest, Priority: 5, Idempotent: true, Deadline: waitTimeout},
		{Name: "answer", Methods: []string{"POST"}, Path: "/answers", Kind: config.KindRequest, Priority: 1, Deadline: waitTimeout},
		{Name: "photo", Methods: []string{"PUT"}, Path: "/photos/*", Kind: config.KindUpload, Priority: 2, Deadline: waitTimeout},
		{Name: "feed", Methods: []string{"GET"}, Path: "/feed", Kind: config.KindFeed, Idempotent: true, Resume: true},
		{Name: "local-feed", Methods: []string{"GET"}, Path: "/local-feed", Kind: config.KindFeed, Idempotent: true},
	}}
}

func newSource(s config.Service) *fleetsource.Source {
	return fleetsource.New(&control.Snapshot{Config: &config.Config{Services: []config.Service{s}}})
}

// runner is an upstream that holds each request until the test sends its answer.
type runner struct {
	began  chan *http.Request
	answer chan reply
	mu     sync.Mutex
	log    []string
}

type reply struct {
	status int
	body   io.Reader
	err    error
	events *io.PipeReader // a feed instead of the body
}

// feed returns an answer with events that the test writes to the pipe.
func feed() (reply, *io.PipeWriter) {
	r, w := io.Pipe()
	return reply{status: http.StatusOK, events: r}, w
}

func newRunner() *runner {
	return &runner{began: make(chan *http.Request, 100), answer: make(chan reply, 100)}
}

func (r *runner) Run(ctx context.Context, q *http.Request, _ config.Class) (*http.Response, error) {
	r.mu.Lock()
	r.log = append(r.log, q.URL.Path)
	r.mu.Unlock()
	if q.Body != nil {
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return nil, &upstream.Error{Outcome: upstream.ErrMayHaveRun, Cause: err}
		}
	}
	r.began <- q
	select {
	case a := <-r.answer:
		if a.err != nil {
			return nil, a.err
		}
		if a.events != nil {
			context.AfterFunc(ctx, func() { _ = a.events.CloseWithError(ctx.Err()) })
			header := http.Header{"Content-Type": {"text/event-stream"}}
			return &http.Response{StatusCode: a.status, Header: header, Body: a.events}, nil
		}
		return &http.Response{StatusCode: a.status, Header: http.Header{}, Body: io.NopCloser(a.body)}, nil
	case <-ctx.Done():
		return nil, &upstream.Error{Outcome: upstream.ErrMayHaveRun, Cause: ctx.Err()}
	}
}

func (r *runner) ran() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string{}, r.log...)
}

func text(body string) reply { return reply{status: http.StatusOK, body: strings.NewReader(body)} }

func notSent() reply {
	return reply{err: &upstream.Error{Outcome: upstream.ErrNotSent, Cause: errors.New("refused")}}
}

func mayHaveRun() reply {
	return reply{err: &upstream.Error{Outcome: upstream.ErrMayHaveRun, Cause: errors.New("reset")}}
}

// tickets is a home with the same decision for every ticket.
type tickets struct {
	mu       sync.Mutex
	decision request.Decision
	finished []*request.Answer
	voided   int
}

func (t *tickets) Issue() string { return "fresh" }

func (t *tickets) Begin(string, ticket.Digest, time.Time) request.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.decision
}

func (t *tickets) Start(request.TicketID, time.Time) bool { return true }

func (t *tickets) Leave(request.TicketID) {}

func (t *tickets) Finish(_ request.TicketID, a *request.Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.finished = append(t.finished, a)
}

func (t *tickets) Void(request.TicketID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.voided++
	return true
}

func (t *tickets) Forward(context.Context, netip.AddrPort, string, *request.Call) (*request.Answer, error) {
	return nil, errors.New("home is unreachable")
}

// agent is a handler with its fake dependencies.
type agent struct {
	handler  *request.Handler
	source   *fleetsource.Source
	upstream *runner
	tickets  *tickets
}

func address(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)
}

func startAgent(ctx context.Context, port uint16, limits config.Limits, net *mesh.Mesh) *agent {
	up := newRunner()
	a := startAgentOn(ctx, port, limits, net, up)
	a.upstream = up
	return a
}

func startAgentOn(ctx context.Context, port uint16, limits config.Limits, net *mesh.Mesh, up upstream.Runner) *agent {
	a := &agent{source: newSource(exams(limits)), tickets: &tickets{}}
	o := request.Options{
		Service: "exams", Self: address(port), Source: a.source, Upstream: up, Tickets: a.tickets,
		Logger: slog.New(slog.NewTextHandler(GinkgoWriter, nil)),
	}
	if net != nil {
		port := net.Open(o.Self)
		o.Caller, o.Registry = port, port
	}
	h, err := request.NewHandler(ctx, o)
	Expect(err).NotTo(HaveOccurred())
	a.handler = h
	return a
}

// send serves a request in the background.
func (a *agent) send(ctx context.Context, method, path, body, ticket string) <-chan *httptest.ResponseRecorder {
	out := make(chan *httptest.ResponseRecorder, 1)
	r := httptest.NewRequest(method, path, strings.NewReader(body)).WithContext(ctx)
	if ticket != "" {
		r.Header.Set(request.HeaderTicket, ticket)
	}
	go func() {
		w := httptest.NewRecorder()
		defer func() {
			if recover() != nil {
				w.Code = 0 // the stream was aborted
			}
			out <- w
		}()
		a.handler.ServeHTTP(w, r)
	}()
	return out
}
