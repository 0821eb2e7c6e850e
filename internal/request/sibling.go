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

// reasonBodyOmitted is a ticketed call whose body was too long to pass.
const reasonBodyOmitted dispatch.Reason = "body-omitted"

// errOtherService tells that a caller takes this agent for one of its own
// service, by an address that has changed hands.
var errOtherService = errors.New("request: not an agent of that service")

// SignalArgs is a message between siblings.
type SignalArgs struct {
	Service  string
	From     netip.AddrPort
	Held     dispatch.Reservation
	Standing dispatch.Standing
}

// SignalReply is empty.
type SignalReply struct{}

// RunArgs is a request that the sibling From owns and wants run.
type RunArgs struct {
	From     netip.AddrPort
	ID       dispatch.ID
	Under    dispatch.Reservation
	Admit    bool
	Standing dispatch.Standing
	Call     Call
}

// RunResult tells what became of a pushed request.
type RunResult uint8

// Results of Sibling.Run.
const (
	// RunAnswered comes with the answer.
	RunAnswered RunResult = iota + 1
	// RunNotTaken requests have not run.
	RunNotTaken
	// RunFailed requests may have run; there is no answer.
	RunFailed
	// RunNotSent requests have not run: the sibling tried and failed.
	RunNotSent
	// RunLongAnswer requests ran, but the answer is too long to pass.
	RunLongAnswer
)

// RunReply is the sibling's word.
type RunReply struct {
	Result RunResult
	Answer Answer
	Reason string
}

// CancelArgs names a pushed request by its owner.
type CancelArgs struct {
	From netip.AddrPort
	ID   dispatch.ID
}

// Sibling is the net/rpc service for the other agents of the service.
type Sibling struct {
	handler *Handler
	mu      sync.Mutex
	cancels map[CancelArgs]context.CancelFunc
}

// Claim takes a sibling's standing.
func (s *Sibling) Claim(args *SignalArgs, _ *SignalReply) error {
	return s.post(args, s.standingOf(args))
}

// Pull takes a sibling's reserved slot.
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

// Cancel ends a request that its owner no longer wants.
func (s *Sibling) Cancel(args *CancelArgs, _ *SignalReply) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if cancel := s.cancels[*args]; cancel != nil {
		cancel()
	}
	return nil
}

// track makes a run known to Cancel until the returned function is called.
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

// forwardedJob builds the job of a call from another agent. Its deadline is
// counted from now on: the hosts' clocks need not agree.
func (h *Handler) forwardedJob(call *Call) (*job, error) {
	now := time.Now()
	r, err := http.NewRequest(call.Method, call.URI, nil)
	if err != nil {
		return nil, errors.Wrap(err, "request: passed call")
	}
	class, ok := h.classify(r)
	if !ok {
		return nil, errors.New("request: passed call is of no class")
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

// runOnSibling runs a job on a sibling. taken is false when the sibling surely
// didn't run it and the scheduler has it again.
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
		return jobResult{}, true, errors.Wrap(err, "request: sibling")
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

// applyReply is the end that a sibling's reply gives the job.
func (j *job) applyReply(reply *RunReply) (jobResult, error) {
	switch reply.Result {
	case RunAnswered:
		if transient(reply.Answer.Status) {
			j.fallback = &reply.Answer
			return jobResult{}, errTransient
		}
		return jobResult{answer: &reply.Answer}, nil
	case RunNotSent:
		return jobResult{}, errors.Errorf("request: sibling: %s", reply.Reason)
	case RunLongAnswer:
		j.mayHaveRun, j.longAnswer = true, true
		return jobResult{}, errLongAnswer
	default:
		j.mayHaveRun = true
		return jobResult{}, errors.Errorf("request: sibling: %s", reply.Reason)
	}
}

// callSibling sends the job and waits; when ctx ends first, the sibling is
// told to cancel it.
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
		h.log.Debug("Sibling didn't take a cancellation.", "sibling", to.String(), "error", err)
	}
}
