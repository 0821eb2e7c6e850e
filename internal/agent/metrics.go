package agent

import (
	"github.com/VictoriaMetrics/metrics"
)

// registerMetrics registers the agent's gauges. Their names are global, as a
// process runs at most one agent.
func (a *agent) registerMetrics() {
	gauge("saltbend_agent_connections", func() int { return int(a.server.connections.Load()) })
	gauge("saltbend_agent_requests_running", a.server.running.number)
	gauge("saltbend_agent_flows", a.flow.Flows)
	gauge("saltbend_agent_balancers_suspected", a.flow.Suspects)
}

func gauge(name string, value func() int) {
	metrics.GetOrCreateGauge(name, func() float64 { return float64(value()) })
}
