package home

import (
	"context"
	"net/netip"
	"sync"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/peer"
	"github.com/saltbend/saltbend/internal/request"
)

// serviceName is the net/rpc name of Service.
const serviceName = "Home"

const (
	methodRun     = serviceName + ".Run"
	methodLeave   = serviceName + ".Leave"
	methodProbe   = serviceName + ".Probe"
	methodInherit = serviceName + ".Inherit"
)

// Attempt identifies one forwarded request across all processes. Retries of one
// forwarded request have the same Attempt.
type Attempt struct {
	From        netip.AddrPort
	Incarnation uint64
	Number      uint64
}

// RunArgs is a request that another agent forwards to the home of its ticket.
type RunArgs struct {
	Attempt Attempt
	Ticket  string
	Call    request.Call
}

// RunReply is the home's answer.
type RunReply struct {
	Answer request.Answer
}

// LeaveArgs identifies a forwarded request whose caller doesn't wait any more.
type LeaveArgs struct {
	Attempt Attempt
}

// LeaveReply is empty.
type LeaveReply struct{}

// ProbeArgs is empty.
type ProbeArgs struct{}

// ProbeReply contains the incarnation of the process at this address.
type ProbeReply struct {
	Incarnation uint64
}

// Service is the net/rpc service that other agents call.
type Service struct {
	home   *Home
	runner request.HomeRunner
	mu     sync.Mutex
	// cancels holds the cancel functions of the forwarded requests that are in
	// progress, by attempt. A request that was received twice has two.
	cancels map[Attempt][]context.CancelFunc
}

// Serve registers the service, so that other agents can forward requests to the runner.
func (h *Home) Serve(registry peer.Registry, runner request.HomeRunner) error {
	s := &Service{home: h, runner: runner, cancels: map[Attempt][]context.CancelFunc{}}
	return errors.Wrap(registry.Register(serviceName, s), "home")
}

// Run answers a request with a ticket that this process issued. For any other ticket
// the answer is "unknown": a process that has reused the address has no record of
// earlier tickets.
func (s *Service) Run(args *RunArgs, reply *RunReply) error {
	if !s.home.issued(args.Ticket, args.Call.Service) {
		reply.Answer = *request.Unknown(reasonHomeGone)
		return nil
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.track(args.Attempt, cancel)
	defer s.forget(args.Attempt)
	reply.Answer = *s.runner.RunForwarded(ctx, args.Ticket, &args.Call)
	return nil
}

// issued reports whether this incarnation issued the ticket.
func (h *Home) issued(text, service string) bool {
	t, err := h.codec.Load().Open(text, config.TagOf(service))
	return err == nil && service == h.o.Self.Service &&
		t.Home == h.o.Self.Control && t.Incarnation == h.o.Self.Incarnation
}

// Leave ends the wait of an attempt. A queued request without other waiting callers is
// voided.
func (s *Service) Leave(args *LeaveArgs, _ *LeaveReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cancel := range s.cancels[args.Attempt] {
		cancel()
	}
	return nil
}

// Probe returns the incarnation of this process.
func (s *Service) Probe(_ *ProbeArgs, reply *ProbeReply) error {
	reply.Incarnation = s.home.o.Self.Incarnation
	return nil
}

func (s *Service) track(a Attempt, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancels[a] = append(s.cancels[a], cancel)
}

// forget removes the attempt when the first of its calls ends. By then the outcome of
// the ticket is settled for the other calls too.
func (s *Service) forget(a Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cancels, a)
}
