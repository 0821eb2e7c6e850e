package role

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/saltbend/saltbend/internal/packetface/gate"
	"github.com/saltbend/saltbend/internal/packetface/steer"
)

var (
	answerSeconds = metrics.NewHistogram("saltbend_packet_answer_seconds")
	waitSeconds   = metrics.NewHistogram("saltbend_packet_slot_wait_seconds")
	// decisionSeconds covers one in decisionSample decisions, because reading the clock
	// takes as long as a decision.
	decisionSeconds    = metrics.NewHistogram("saltbend_packet_decision_seconds")
	handOffSeconds     = metrics.NewHistogram("saltbend_packet_hand_off_seconds")
	stateReportSeconds = metrics.NewHistogram("saltbend_packet_agent_news_seconds")
	ownerSearchSeconds = metrics.NewHistogram("saltbend_packet_owner_search_seconds")
	deadFlowSeconds    = metrics.NewHistogram("saltbend_packet_dead_flow_search_seconds")
)

// decisionSample is the sampling interval: one in decisionSample decisions is timed.
const decisionSample = 64

// decisionTimer times one decision in decisionSample. It is not safe for concurrent use.
type decisionTimer struct{ packets int }

// start returns a function that ends the timing of a decision.
func (t *decisionTimer) start() func() {
	t.packets++
	if t.packets%decisionSample != 0 {
		return func() {}
	}
	began := time.Now()
	return func() { decisionSeconds.UpdateDuration(began) }
}

// recordDurations adds the response and queueing times of an agent's result to the
// metrics.
func recordDurations(r *gate.Result) {
	for _, d := range r.Answered {
		answerSeconds.Update(d.Seconds())
	}
	for _, d := range r.Waited {
		waitSeconds.Update(d.Seconds())
	}
	for _, d := range r.OpeningsWaited {
		openingWaitSeconds.Update(d.Seconds())
	}
}

// registerGauges registers the gauges of a balancer's state.
func (b *balancer) registerGauges() {
	b.registerRoomGauges()
	count := func(pick func(steer.Counts) int) func() float64 {
		return func() float64 {
			b.mu.Lock()
			defer b.mu.Unlock()
			return float64(pick(b.core.Counts(b.clock())))
		}
	}
	metrics.GetOrCreateGauge("saltbend_packet_flows", count(func(c steer.Counts) int { return c.Flows }))
	metrics.GetOrCreateGauge("saltbend_packet_owner_searches", count(func(c steer.Counts) int { return c.Searches }))
	metrics.GetOrCreateGauge("saltbend_packet_watch_listeners", func() float64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		return float64(b.watchShare.Listeners(b.clock()))
	})
	metrics.GetOrCreateGauge("saltbend_packet_agents", count(func(c steer.Counts) int { return c.Agents }))
	metrics.GetOrCreateGauge("saltbend_packet_agents_suspected", count(func(c steer.Counts) int { return c.Suspected }))
	metrics.GetOrCreateGauge("saltbend_packet_config_version", func() float64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		return float64(b.version)
	})
	metrics.GetOrCreateGauge("saltbend_packet_store_age_seconds", func() float64 {
		return (b.clock() - time.Duration(b.storeAnswered.Load())).Seconds()
	})
}

// registerGauges registers the gauges of an agent's state.
func (a *agent) registerGauges() {
	a.registerRoomGauges()
	count := func(pick func(gate.Counts) float64) func() float64 {
		return func() float64 {
			a.mu.Lock()
			defer a.mu.Unlock()
			return pick(a.core.Counts(a.clock()))
		}
	}
	metrics.GetOrCreateGauge("saltbend_packet_flows", count(func(c gate.Counts) float64 { return float64(c.Flows) }))
	metrics.GetOrCreateGauge("saltbend_packet_flows_open", count(func(c gate.Counts) float64 { return float64(c.Open) }))
	metrics.GetOrCreateGauge("saltbend_packet_requests_running", count(func(c gate.Counts) float64 { return float64(c.Running) }))
	metrics.GetOrCreateGauge("saltbend_packet_requests_waiting", count(func(c gate.Counts) float64 { return float64(c.Waiting) }))
	metrics.GetOrCreateGauge("saltbend_packet_heartbeat_age_seconds", count(func(c gate.Counts) float64 { return c.HeartbeatAge.Seconds() }))
}
