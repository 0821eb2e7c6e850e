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

// verdictInterval is how often a verdict is due without an outcome: a slow start
// ends, and peers change.
const verdictInterval = 500 * time.Millisecond

// eventHealth is recorded when an upstream starts or ceases to look healthy.
const eventHealth event.Kind = "upstream-health"

// healthyWeight is the weight from which on a peer is taken for healthy. A
// cold upstream is healthy too, but indistinguishable by its weight; the panic
// rule errs towards spreading work.
const healthyWeight = health.FullWeight / 2

func (h *Handler) healthSettings() config.Health {
	if service := h.service(); service != nil {
		return service.Health
	}
	return config.Health{}
}

// observe takes the outcome of a run. One that the caller ended says nothing
// of the upstream.
func (h *Handler) observe(ctx context.Context, e jobResult, err error, latency time.Duration) {
	if context.Cause(ctx) == context.Canceled {
		return
	}
	good := err == nil && !e.cut
	if good && e.answer != nil {
		good = e.answer.Status < http.StatusInternalServerError
	}
	h.updateVerdict(func(now time.Time) {
		h.tracker.Observe(now, health.Outcome{Good: good, Latency: latency})
	})
}

// observeReport takes what the upstream says of itself.
func (h *Handler) observeReport(r health.Report) {
	h.updateVerdict(func(now time.Time) { h.tracker.Hear(now, r) })
}

// refreshVerdict keeps the verdict up to date where nothing happens.
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

// updateVerdict changes the tracker and acts on a new verdict. It holds the lock until
// all have been told, so that they hear of verdicts in order.
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
	if h.o.Judged != nil {
		h.o.Judged(after)
	}
}

func (h *Handler) reportVerdict(v health.Verdict) {
	detail := fmt.Sprintf("draws=%t weight=%d panic=%t", v.Draws, v.Weight, v.Panic)
	h.log.Info("Upstream judged.", "draws", v.Draws, "weight", v.Weight, "panic", v.Panic)
	if h.o.Events != nil {
		h.o.Events.Add(part, eventHealth, detail)
	}
}

// peers counts the service's other upstreams by the weights they announce.
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
