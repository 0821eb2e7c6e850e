package role

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/saltbend/saltbend/internal/packetface/gate"
)

// openingWaitSeconds covers openings, none of whose requests has run, and waitSeconds
// requests on open flows, which can be neither refused nor moved.
var openingWaitSeconds = metrics.NewHistogram("saltbend_packet_opening_wait_seconds")

// registerRoomGauges registers the gauges of an agent under overload.
func (a *agent) registerRoomGauges() {
	gauge := func(pick func(gate.Pressure) float64) func() float64 {
		return func() float64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return pick(a.core.Pressure(a.clock()))
		}
	}
	metrics.GetOrCreateGauge("saltbend_packet_openings_held", gauge(func(p gate.Pressure) float64 { return float64(p.Held) }))
	metrics.GetOrCreateGauge("saltbend_packet_overload_lasting", gauge(func(p gate.Pressure) float64 { return oneIf(p.Lasting) }))
	metrics.GetOrCreateGauge("saltbend_packet_bar", gauge(func(p gate.Pressure) float64 { return float64(p.Bar) }))
}

// registerRoomGauges registers the gauge of the services that lack room.
func (b *balancer) registerRoomGauges() {
	metrics.GetOrCreateGauge("saltbend_packet_services_short", func() float64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		return float64(b.core.ShortServices())
	})
}

// oneIf returns 1 for true and 0 for false.
func oneIf(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
