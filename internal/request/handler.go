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

// part names the package in logs and events.
const part = "request"

const (
	// defaultDeadline holds for classes without one.
	defaultDeadline = 30 * time.Second
	// defaultBodyBytes holds for services without a limit.
	defaultBodyBytes = 64 << 10
)

// Options are what a Handler works with.
type Options struct {
	// Service is the name of the service that the agent serves.
	Service string
	// Self is the control address of this agent.
	Self     netip.AddrPort
	Source   control.Source
	Upstream upstream.Runner
	// Caller and Registry connect siblings; both may be nil for an agent that
	// works alone.
	Caller   peer.Caller
	Registry peer.Registry
	// Tickets keeps non-idempotent requests to one run; without it they are
	// answered "not run".
	Tickets Tickets
	// Judged, if set, is told of each change of what the upstream has earned.
	Judged func(health.Verdict)
	Events *event.Ring
	Logger *slog.Logger
}

// Handler serves the callers' requests of one agent.
type Handler struct {
	o       Options
	log     *slog.Logger
	engine  *engine
	links   *links
	metrics *counters

	// draining is set when new tickets would outlive their home.
	draining atomic.Bool

	mu      sync.Mutex
	budget  *retry.Budget
	tracker *health.Tracker
	verdict health.Verdict
	feeds   map[*failoverFeed]struct{}

	relays relays
}

// NewHandler returns a handler that serves until ctx ends.
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

// Drain ends the intake of new requests and feeds; admitted work runs on, and
// feeds go on at siblings where they can.
func (h *Handler) Drain() {
	h.draining.Store(true)
	h.engine.post(draining{})
	h.relays.stopAll()
	h.migrateFeeds()
}

// Load returns what the agent has in hand.
func (h *Handler) Load() dispatch.Load { return *h.engine.load.Load() }

// SetConnections takes the number of callers' connections.
func (h *Handler) SetConnections(n int) { h.engine.post(connectionsChanged{connections: n}) }

// FlowTarget returns where new flows are better placed than here. It never
// blocks.
func (h *Handler) FlowTarget() dispatch.FlowTarget { return *h.engine.flowTarget.Load() }

// ServeHTTP answers one request of a caller.
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

// badBody answers a request whose body broke off. Under a ticket an earlier
// attempt may have run.
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

// newJob reads what the scheduler needs of a request. A short body is read
// before a slot is taken, so that a slow caller holds none.
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

// finish gives the caller the one outcome of the request.
func (h *Handler) finish(w http.ResponseWriter, class string, e jobResult) {
	if !e.streamed {
		h.write(w, class, e.answer)
		return
	}
	h.countStreamed(class, e.cut)
	if e.cut {
		panic(http.ErrAbortHandler) // the caller must not take the part for the whole
	}
}

func (h *Handler) countStreamed(class string, cut bool) {
	outcome := OutcomeComplete
	if cut {
		outcome = OutcomeUnknown
	}
	h.metrics.ended(class, outcome)
}

func (h *Handler) write(w http.ResponseWriter, class string, a *Answer) {
	h.metrics.ended(class, a.Outcome)
	writeHead(w, a, h.freshTicket())
	if _, err := w.Write(a.Body); err != nil {
		h.log.Debug("Caller left before its answer.", "error", err)
	}
}

func (h *Handler) freshTicket() string {
	if h.o.Tickets == nil || h.draining.Load() {
		return ""
	}
	return h.o.Tickets.Issue()
}

// stream passes a long answer on as it comes.
func (h *Handler) stream(w http.ResponseWriter, head *Answer, rest io.Reader) error {
	writeHead(w, head, h.freshTicket())
	if _, err := w.Write(head.Body); err != nil {
		return errors.Wrap(err, "request: write")
	}
	return upstream.Stream(w, head.Header, rest)
}
