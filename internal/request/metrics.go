package request

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/saltbend/saltbend/internal/dispatch"
)

// counters counts requests by class. The classes come from the configuration, so the
// number of time series is bounded.
type counters struct{}

func newCounters() *counters { return &counters{} }

func (*counters) ended(class string, outcome Outcome) {
	name := fmt.Sprintf("saltbend_requests_total{class=%q,outcome=%q}", class, outcome)
	metrics.GetOrCreateCounter(name).Inc()
}

func (*counters) retried(class string) {
	name := fmt.Sprintf("saltbend_request_retries_total{class=%q}", class)
	metrics.GetOrCreateCounter(name).Inc()
}

func (*counters) refused(class string, reason dispatch.Reason) {
	name := fmt.Sprintf("saltbend_request_refusals_total{class=%q,reason=%q}", class, reason)
	metrics.GetOrCreateCounter(name).Inc()
}

func (*counters) waited(class string, wait time.Duration) {
	name := fmt.Sprintf("saltbend_request_wait_seconds{class=%q}", class)
	metrics.GetOrCreateHistogram(name).Update(wait.Seconds())
}

func (*counters) moved(class, how string) {
	name := fmt.Sprintf("saltbend_requests_moved_total{class=%q,result=%q}", class, how)
	metrics.GetOrCreateCounter(name).Inc()
}
