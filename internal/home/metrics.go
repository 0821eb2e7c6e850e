package home

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/saltbend/saltbend/internal/ticket"
)

// counters holds the metrics of a home.
type counters struct{}

// newCounters registers gauges for the content of the window.
func newCounters(h *Home) *counters {
	gauge := func(name string, value func(ticket.Usage) float64) {
		metrics.GetOrCreateGauge(name, func() float64 {
			h.mu.Lock()
			defer h.mu.Unlock()
			return value(h.window.Usage())
		})
	}
	gauge("saltbend_ticket_window_entries", func(u ticket.Usage) float64 { return float64(u.Entries) })
	gauge("saltbend_ticket_window_bytes", func(u ticket.Usage) float64 { return float64(u.Bytes) })
	gauge("saltbend_ticket_forgotten_total", func(u ticket.Usage) float64 { return float64(u.Forgotten) })
	return &counters{}
}

// forwarded counts a request that was forwarded to its home.
func (*counters) forwarded(result string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("saltbend_ticket_passes_total{result=%q}", result)).Inc()
}
