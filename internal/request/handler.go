package request

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/dispatch"
	"github.com/saltbend/saltbend/internal/event"
	"github.com/saltbend/saltbend/internal/health"
	"github.com/saltbend/saltbend/internal/logging"
	"github.com/saltbend/saltbend/internal/peer"
	"github.com/saltbend/saltbend/internal/retry"
	"github.com/saltbend/saltbend/internal/upstream"
)

// part identifies the package in logs and events.
const part = "request"

const (
	// defaultDeadline applies to classes without a deadline.
	defaultDeadline = 30 * time.Second
	// defaultBodyBytes applies to services without a limit of the body size.
	defaultBodyBytes = 64 << 10
)

// Options configure a Handler.
type Options struct {
	// Service is the name of the service that the agent serves.
	Service string
	// Self is the control address of this agent.
	Self     netip.AddrPort
	Source   control.Source
	Upstream upstream.Runner
	// Caller and Registry send and receive the messages between siblings. Both may
	// be nil for an agent without siblings.
	Caller   peer.Caller
	Registry peer.Registry
	// Tickets lets each non-idempotent request run at most once. If it is nil, no
	// such request is run: the outcome is OutcomeNotRun for a request without a
	// ticket and OutcomeUnknown for one with a ticket.
	Tickets Tickets
	// OnVerdict, if set, is called with each change of the upstream's health verdict.
	OnVerdict func(health.Verdict)
	Events    *event.Ring
	Logger    *slog.Logger
}

// Handler serves the requests of an agent's callers.
type Handler struct {
	o       Options
	log     *slog.Logger
	engine  *engine
	links   *links
	metrics *counters

	// draining is set by Drain. From then on no tickets are issued, because the
	// process may end before they are used.
	draining atomic.Bool

	mu      sync.Mutex
	budget  *retry.Budget
	tracker *health.Tracker
	verdict health.Verdict
	feeds   map[*failoverFeed]struct{}

	relays relays
}

// NewHandler returns a handler and starts its goroutines, which run until ctx ends.
func NewHandler(ctx context.Context, o Options) (*Handler, error) {
	h := &Handler{
		o:       o,
		log:     logging.Part(o.Logger, part),
		metrics: newCounters(),
		budget:  retry.NewBudget(retry.DefaultPolicy()),
		feeds:   map[*failoverFeed]struct{}{},
		tracker: health.NewTracker(time.Now(), 0),
	}
	h.links = newLinks(ctx, o, h.log)
	h.engine = newEngine(h.limits(), h.links, h.log)
	h.links.engine = h.engine
	h.verdict = health.Verdict{Weight: health.FullWeight, Slots: h.limits().Slots, Draws: true}
	if o.Registry != nil {
		if err := o.Registry.Register(siblingService, &Sibling{handler: h}); err != nil {
			return nil, errors.Wrap(err, "request: register")
		}
	}
	go h.engine.run(ctx)
	go h.follow(ctx)
	go h.refreshVerdict(ctx)
	go health.Poll(ctx, o.Upstream, h.healthSettings, h.observeReport)
	return h, nil
}

// Drain stops the admission of new requests and feeds. Admitted requests still run, and
// open feeds migrate to siblings where possible.
func (h *Handler) Drain() {
	h.draining.Store(true)
	h.engine.post(draining{})
	h.relays.stopAll()
	h.migrateFeeds()
}

// Load returns the present load of the agent.
func (h *Handler) Load() dispatch.Load { return *h.engine.load.Load() }

// SetConnections informs the scheduler of the number of connections from callers.
func (h *Handler) SetConnections(n int) { h.engine.post(connectionsChanged{connections: n}) }

// FlowTarget returns the sibling that may be a better place for new flows. It never
// blocks.
func (h *Handler) FlowTarget() dispatch.FlowTarget { return *h.engine.flowTarget.Load() }

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	class, ok := h.classify(r)
	if class.Kind == config.KindFeed {
		h.serveFeed(w, r, class)
		return
	}
	j, err := h.newJob(w, r, class, arrived)
	if err != nil {
		h.write(w, class.Name, badBody(r))
		return
	}
	if !ok {
		h.write(w, "", h.serveClassless(r.Context(), r.Header.Get(HeaderTicket), j))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), j.deadline)
	defer cancel()
	e := h.serveJob(ctx, r, j)
	h.finish(w, class.Name, e)
}

// badBody answers a request with a body that could not be read to its end. Under a
// ticket the outcome is unknown, because an earlier attempt may have run.
func badBody(r *http.Request) *Answer {
	if r.Header.Get(HeaderTicket) != "" {
		return Unknown("body")
	}
	return NotRun(http.StatusBadRequest, "body", 0)
}

func (h *Handler) serveJob(ctx context.Context, r *http.Request, j *job) jobResult {
	if j.class.Idempotent {
		return h.runIdempotent(ctx, j)
	}
	return h.runTicketed(ctx, r.Header.Get(HeaderTicket), j)
}

// service returns the agent's service in the configuration in force.
func (h *Handler) service() *config.Service {
	snapshot := h.o.Source.Snapshot()
	if snapshot == nil || snapshot.Config == nil {
		return nil
	}
	for i := range snapshot.Config.Services {
		if snapshot.Config.Services[i].Name == h.o.Service {
			return &snapshot.Config.Services[i]
		}
	}
	return nil
}

func (h *Handler) classify(r *http.Request) (config.Class, bool) {
	service := h.service()
	if service == nil {
		return config.Class{}, false
	}
	return service.Class(r.Method, r.URL.Path)
}

func (h *Handler) bodyBytes() int {
	if service := h.service(); service != nil && service.Limits.BodyBytes > 0 {
		return service.Limits.BodyBytes
	}
	return defaultBodyBytes
}

// newJob builds the job of a request. A body within the limit is read before a slot is
// taken, so that a slow caller doesn't occupy a slot.
func (h *Handler) newJob(w http.ResponseWriter, r *http.Request, class config.Class, arrived time.Time) (*job, error) {
	deadline := class.Deadline
	if deadline <= 0 {
		deadline = defaultDeadline
	}
	j := h.jobOf(r, class)
	j.arrived, j.deadline = arrived, arrived.Add(deadline)
	j.stream = func(head *Answer, rest io.Reader) error { return h.stream(w, head, rest) }
	if r.Body == nil || r.Body == http.NoBody {
		return j, nil
	}
	if class.Kind == config.KindUpload {
		j.body = r.Body
		return j, nil
	}
	head, more, err := readBounded(r.Body, h.bodyBytes())
	if err != nil {
		return nil, err
	}
	j.call.Body = head
	if more {
		j.body = r.Body
	}
	return j, nil
}

// finish sends the answer unless it has been streamed, and counts the outcome.
func (h *Handler) finish(w http.ResponseWriter, class string, e jobResult) {
	if !e.streamed {
		h.write(w, class, e.answer)
		return
	}
	h.countStreamed(class, e.truncated)
	if e.truncated {
		// Otherwise the caller would take a truncated answer for a complete one.
		panic(http.ErrAbortHandler)
	}
}

func (h *Handler) countStreamed(class string, truncated bool) {
	outcome := OutcomeComplete
	if truncated {
		outcome = OutcomeUnknown
	}
	h.metrics.ended(class, outcome)
}

func (h *Handler) write(w http.ResponseWriter, class string, a *Answer) {
	h.metrics.ended(class, a.Outcome)
	writeHead(w, a, h.freshTicket())
	if _, err := w.Write(a.Body); err != nil {
		h.log.Debug("Could not write the answer; the caller has probably disconnected.", "error", err)
	}
}

func (h *Handler) freshTicket() string {
	if h.o.Tickets == nil || h.draining.Load() {
		return ""
	}
	return h.o.Tickets.Issue()
}

// stream sends a long answer to the caller while it is read.
func (h *Handler) stream(w http.ResponseWriter, head *Answer, rest io.Reader) error {
	writeHead(w, head, h.freshTicket())
	if _, err := w.Write(head.Body); err != nil {
		return errors.Wrap(err, "request: write")
	}
	return upstream.Stream(w, head.Header, rest)
}
