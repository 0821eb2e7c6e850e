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

// Attempt identifies one pass of a request over all processes.
type Attempt struct {
	From        netip.AddrPort
	Incarnation uint64
	Number      uint64
}

// RunArgs is a request that another agent passes to its home.
type RunArgs struct {
	Attempt Attempt
	Ticket  string
	Call    request.Call
}

// RunReply is the home's word.
type RunReply struct {
	Answer request.Answer
}

// LeaveArgs names a pass whose caller no longer waits.
type LeaveArgs struct {
	Attempt Attempt
}

// LeaveReply is empty.
type LeaveReply struct{}

// ProbeArgs is empty.
type ProbeArgs struct{}

// ProbeReply tells which incarnation serves.
type ProbeReply struct {
	Incarnation uint64
}

// Service is the net/rpc service for the agents that are not the home.
type Service struct {
	home   *Home
	runner request.HomeRunner
	mu     sync.Mutex
	// cancels holds the passes that wait here, by attempt. A pass that came
	// twice is there twice.
	cancels map[Attempt][]context.CancelFunc
}

// Serve lets other agents pass requests to the runner.
func (h *Home) Serve(registry peer.Registry, runner request.HomeRunner) error {
	s := &Service{home: h, runner: runner, cancels: map[Attempt][]context.CancelFunc{}}
	return errors.Wrap(registry.Register(serviceName, s), "home")
}

// Run answers a request whose ticket this process issued. To any other it says
// "unknown": a process that took over the address knows nothing of it.
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

// Leave ends the wait of an attempt. A request that is still queued and that
// nobody else waits for is voided.
func (s *Service) Leave(args *LeaveArgs, _ *LeaveReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, cancel := range s.cancels[args.Attempt] {
		cancel()
	}
	return nil
}

// Probe tells which incarnation serves at this address.
func (s *Service) Probe(_ *ProbeArgs, reply *ProbeReply) error {
	reply.Incarnation = s.home.o.Self.Incarnation
	return nil
}

func (s *Service) track(a Attempt, cancel context.CancelFunc) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancels[a] = append(s.cancels[a], cancel)
}

// forget drops the attempt's entry when its first pass ends; by then the
// ticket is settled for the others too.
func (s *Service) forget(a Attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.cancels, a)
}
