package request

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/event"
	"github.com/saltbend/saltbend/internal/health"
	"github.com/saltbend/saltbend/internal/member"
)

// verdictInterval is how often the verdict is recomputed without a new outcome, because
// a slow start progresses with time and the health of peers changes.
const verdictInterval = 500 * time.Millisecond

// eventHealth is recorded when the upstream becomes healthy or unhealthy.
const eventHealth event.Kind = "upstream-health"

// healthyWeight is the announced weight from which a peer counts as healthy. An
// upstream in slow start is healthy but announces a low weight too, and the two cases
// can't be told apart. The comparison with PanicThreshold then counts too few healthy
// peers, and work is spread more widely than necessary.
const healthyWeight = health.FullWeight / 2

func (h *Handler) healthSettings() config.Health {
	if service := h.service(); service != nil {
		return service.Health
	}
	return config.Health{}
}

// observe records the outcome of a run. A run that the caller cancelled is ignored,
// because it says nothing about the upstream.
func (h *Handler) observe(ctx context.Context, e jobResult, err error, latency time.Duration) {
	if context.Cause(ctx) == context.Canceled {
		return
	}
	good := err == nil && !e.truncated
	if good && e.answer != nil {
		good = e.answer.Status < http.StatusInternalServerError
	}
	h.updateVerdict(func(now time.Time) {
		h.tracker.Observe(now, health.Outcome{Good: good, Latency: latency})
	})
}

// observeReport records a report of the upstream about its own health.
func (h *Handler) observeReport(r health.Report) {
	h.updateVerdict(func(now time.Time) { h.tracker.RecordReport(now, r) })
}

// refreshVerdict recomputes the verdict periodically.
func (h *Handler) refreshVerdict(ctx context.Context) {
	ticker := time.NewTicker(verdictInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.updateVerdict(func(time.Time) {})
		}
	}
}

// updateVerdict applies a change to the tracker and publishes a new verdict. It holds
// the lock until all receivers are notified, so that they receive verdicts in order.
func (h *Handler) updateVerdict(change func(now time.Time)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	h.tracker.SetSlowStart(h.healthSettings().SlowStart)
	change(now)
	before := h.verdict
	h.verdict = h.tracker.Judge(now, h.limits().Slots, h.peers())
	after := h.verdict
	if before == after {
		return
	}
	if before.Slots != after.Slots || before.Draws != after.Draws {
		h.engine.post(healthChanged{slots: after.Slots, draws: after.Draws})
	}
	if before.Draws != after.Draws {
		h.reportVerdict(after)
	}
	if h.o.OnVerdict != nil {
		h.o.OnVerdict(after)
	}
}

func (h *Handler) reportVerdict(v health.Verdict) {
	detail := fmt.Sprintf("draws=%t weight=%d panic=%t", v.Draws, v.Weight, v.Panic)
	h.log.Info("Health of the upstream changed.", "draws", v.Draws, "weight", v.Weight, "panic", v.Panic)
	if h.o.Events != nil {
		h.o.Events.Add(part, eventHealth, detail)
	}
}

// peers counts the other upstreams of the service, and the healthy ones by their
// announced weight.
func (h *Handler) peers() health.Peers {
	p := health.Peers{PanicThreshold: h.healthSettings().PanicThreshold}
	snapshot := h.o.Source.Snapshot()
	if snapshot == nil {
		return p
	}
	for _, m := range snapshot.Agents {
		if m.Service != h.o.Service || m.State != member.StateReady || m.Control == h.o.Self {
			continue
		}
		p.Known++
		if m.Weight >= healthyWeight {
			p.Healthy++
		}
	}
	return p
}
