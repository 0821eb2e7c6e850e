package request

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/dispatch"
)

// siblingService is the net/rpc name of Sibling.
const siblingService = "Sibling"

const (
	methodClaim   = siblingService + ".Claim"
	methodPull    = siblingService + ".Pull"
	methodDecline = siblingService + ".Decline"
	methodRun     = siblingService + ".Run"
	methodCancel  = siblingService + ".Cancel"
)

// reasonBodyOmitted means that the body of a call under a ticket was too long to
// forward.
const reasonBodyOmitted dispatch.Reason = "body-omitted"

// errOtherService means that the calling agent expected an agent of its own service at
// this address. That happens after the address has been reused by another agent.
var errOtherService = errors.New("request: this agent serves another service")

// SignalArgs is a message between siblings. Held is the reservation that it concerns,
// if any.
type SignalArgs struct {
	Service  string
	From     netip.AddrPort
	Held     dispatch.Reservation
	Standing dispatch.Standing
}

// SignalReply is empty.
type SignalReply struct{}

// RunArgs asks a sibling to run a request that From owns. Under is the reservation for
// it, if any.
type RunArgs struct {
	From     netip.AddrPort
	ID       dispatch.ID
	Under    dispatch.Reservation
	Admit    bool
	Standing dispatch.Standing
	Call     Call
}

// RunResult is the result of a pushed request.
type RunResult uint8

// Results of Sibling.Run.
const (
	// RunAnswered means that the reply contains the answer.
	RunAnswered RunResult = iota + 1
	// RunNotTaken means that the sibling refused the request. It has not run.
	RunNotTaken
	// RunFailed means that the request may have run and that there is no answer.
	RunFailed
	// RunNotSent means that the request has not run, because the sibling could not send
	// it to its upstream or has no idempotent class for it.
	RunNotSent
	// RunLongAnswer means that the request has run, but its answer is too long to send
	// to the owner.
	RunLongAnswer
)

// RunReply is the result of a pushed request. Answer is set with RunAnswered, Reason
// with the other results except RunLongAnswer.
type RunReply struct {
	Result RunResult
	Answer Answer
	Reason string
}

// CancelArgs identifies a pushed request by its owner and the owner's ID for it.
type CancelArgs struct {
	From netip.AddrPort
	ID   dispatch.ID
}

// Sibling is the net/rpc service that the other agents of the service call.
type Sibling struct {
	handler *Handler
	mu      sync.Mutex
	cancels map[CancelArgs]context.CancelFunc
}

// Claim receives a sibling's standing.
func (s *Sibling) Claim(args *SignalArgs, _ *SignalReply) error {
	return s.post(args, s.standingOf(args))
}

// Pull receives a sibling's offer of a reserved slot.
func (s *Sibling) Pull(args *SignalArgs, _ *SignalReply) error {
	return s.post(args, offered{standingReceived: s.standingOf(args), held: args.Held})
}

// Decline ends a reservation of this agent.
func (s *Sibling) Decline(args *SignalArgs, _ *SignalReply) error {
	return s.post(args, declined{standingReceived: s.standingOf(args), held: args.Held})
}

func (s *Sibling) standingOf(args *SignalArgs) standingReceived {
	return standingReceived{from: args.From, standing: args.Standing}
}

func (s *Sibling) post(args *SignalArgs, m message) error {
	if args.Service != s.handler.o.Service {
		return errOtherService
	}
	s.handler.engine.post(m)
	return nil
}

// Run runs a request for its owner and returns when it has ended here.
func (s *Sibling) Run(args *RunArgs, reply *RunReply) error {
	h := s.handler
	if args.Call.Service != h.o.Service {
		return errOtherService
	}
	j, err := h.forwardedJob(&args.Call)
	if err != nil || !j.class.Idempotent {
		reply.Result, reply.Reason = RunNotSent, "no-class"
		return nil
	}
	ctx, cancel := context.WithDeadline(h.links.ctx, j.deadline)
	defer cancel()
	defer s.track(CancelArgs{From: args.From, ID: args.ID}, cancel)()
	*reply = h.runMoved(ctx, j, args)
	return nil
}

// Cancel cancels a request that its owner doesn't need any more.
func (s *Sibling) Cancel(args *CancelArgs, _ *SignalReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.cancels[*args]; cancel != nil {
		cancel()
	}
	return nil
}

// track lets Cancel find the run until the returned function is called.
func (s *Sibling) track(key CancelArgs, cancel context.CancelFunc) (forget func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cancels == nil {
		s.cancels = map[CancelArgs]context.CancelFunc{}
	}
	s.cancels[key] = cancel
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.cancels, key)
	}
}

// forwardedJob builds the job of a call from another agent. Its deadline is computed
// from the remaining time in the call, because the clocks of hosts differ.
func (h *Handler) forwardedJob(call *Call) (*job, error) {
	now := time.Now()
	r, err := http.NewRequest(call.Method, call.URI, nil)
	if err != nil {
		return nil, errors.Wrap(err, "request: invalid forwarded call")
	}
	class, ok := h.classify(r)
	if !ok {
		return nil, errors.New("request: forwarded call matches no class of the service")
	}
	return &job{
		id:       h.engine.nextID(),
		class:    class,
		call:     call,
		arrived:  now.Add(-call.Waited),
		deadline: now.Add(call.Left),
		next:     make(chan dispatch.Action, 1),
	}, nil
}

// runMoved runs a job for the sibling that owns it.
func (h *Handler) runMoved(ctx context.Context, j *job, args *RunArgs) RunReply {
	push := pushArgs{from: args.From, under: args.Under, admit: args.Admit, standing: args.Standing}
	if !h.engine.post(movedArrival{job: j, request: j.scheduled(), push: push}) {
		return RunReply{Result: RunNotTaken, Reason: string(reasonStopped)}
	}
	if a, refuse := h.await(ctx, j).(dispatch.Refuse); refuse {
		return RunReply{Result: RunNotTaken, Reason: string(a.Reason)}
	}
	e, err := h.runLocal(ctx, j)
	switch {
	case j.fallback != nil:
		return RunReply{Result: RunAnswered, Answer: *j.fallback}
	case errors.Is(err, errLongAnswer):
		return RunReply{Result: RunLongAnswer}
	case err != nil && !j.mayHaveRun:
		return RunReply{Result: RunNotSent, Reason: failureReason(err)}
	case err != nil:
		return RunReply{Result: RunFailed, Reason: failureReason(err)}
	}
	return RunReply{Result: RunAnswered, Answer: *e.answer}
}

// runOnSibling runs a job on a sibling. taken is false if the sibling definitely hasn't
// run it; the job is then back in the scheduler.
func (h *Handler) runOnSibling(ctx context.Context, j *job, p dispatch.Push) (e jobResult, taken bool, err error) {
	reply, err := h.callSibling(ctx, j, p)
	if err == nil && reply.Result == RunNotTaken {
		h.metrics.moved(j.class.Name, "returned")
		h.engine.post(returned{id: j.id})
		return jobResult{}, false, nil
	}
	h.engine.post(settled{id: j.id})
	j.attempts++
	if err != nil {
		j.mayHaveRun = true
		h.metrics.moved(j.class.Name, "failed")
		return jobResult{}, true, errors.Wrap(err, "request: push to sibling")
	}
	e, err = j.applyReply(reply)
	h.metrics.moved(j.class.Name, movedResult(err))
	return e, true, err
}

func movedResult(err error) string {
	if err != nil {
		return "failed"
	}
	return "answered"
}

// applyReply returns the result that follows from a sibling's reply.
func (j *job) applyReply(reply *RunReply) (jobResult, error) {
	switch reply.Result {
	case RunAnswered:
		if transient(reply.Answer.Status) {
			j.fallback = &reply.Answer
			return jobResult{}, errTransient
		}
		return jobResult{answer: &reply.Answer}, nil
	case RunNotSent:
		return jobResult{}, errors.Errorf("request: not run on sibling: %s", reply.Reason)
	case RunLongAnswer:
		j.mayHaveRun, j.longAnswer = true, true
		return jobResult{}, errLongAnswer
	default:
		j.mayHaveRun = true
		return jobResult{}, errors.Errorf("request: run on sibling failed: %s", reply.Reason)
	}
}

// callSibling sends the job to a sibling and waits for the reply. If ctx ends first, it
// cancels the job there.
func (h *Handler) callSibling(ctx context.Context, j *job, p dispatch.Push) (*RunReply, error) {
	args := RunArgs{
		From: h.o.Self, ID: j.id, Under: p.Reservation, Admit: p.Admit, Standing: p.Standing, Call: *j.call,
	}
	args.Call.Waited = time.Since(j.arrived)
	args.Call.Left = time.Until(j.deadline)
	reply := &RunReply{}
	err := h.o.Caller.Call(ctx, p.To, methodRun, &args, reply)
	if err != nil && ctx.Err() != nil {
		go h.cancelOnSibling(p.To, j.id)
	}
	return reply, err
}

func (h *Handler) cancelOnSibling(to netip.AddrPort, id dispatch.ID) {
	args := CancelArgs{From: h.o.Self, ID: id}
	if err := h.links.call(to, methodCancel, &args, &SignalReply{}); err != nil {
		h.log.Debug("Could not cancel a request at a sibling.", "sibling", to.String(), "error", err)
	}
}
