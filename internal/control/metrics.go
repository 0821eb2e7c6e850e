package control

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// gauges are the values of the metrics. The goroutine that owns the state writes
// them atomically, so that reading the metrics never blocks.
type gauges struct {
	balancers, agents, suspected atomic.Int64
	revision                     atomic.Uint64
	seed                         atomic.Int64
	tokens, waiting              atomic.Int64
	deferred                     atomic.Uint64
}

// register registers the gauges as metrics until stopped is closed. The bytes of
// control traffic are counted by the transport, as saltbend_peer_bytes.
func (f *gauges) register(stopped <-chan struct{}) {
	set := metrics.NewSet()
	gauge := func(name string, value *atomic.Int64) {
		set.NewGauge(name, func() float64 { return float64(value.Load()) })
	}
	gauge(`saltbend_control_members{role="balancer"}`, &f.balancers)
	gauge(`saltbend_control_members{role="agent"}`, &f.agents)
	gauge("saltbend_control_suspected_members", &f.suspected)
	gauge("saltbend_control_seed", &f.seed)
	gauge("saltbend_control_budget_bytes", &f.tokens)
	gauge("saltbend_control_waiting_transitions", &f.waiting)
	set.NewGauge("saltbend_control_config_revision", func() float64 { return float64(f.revision.Load()) })
	set.NewGauge("saltbend_control_deferred_total", func() float64 { return float64(f.deferred.Load()) })
	metrics.RegisterSet(set)
	go func() {
		<-stopped
		metrics.UnregisterSet(set, true)
	}()
}

// updateMetrics writes the current values to the gauges.
func (n *Node) updateMetrics(now time.Time) {
	f := &n.gauges
	table := n.engine.Table()
	f.balancers.Store(int64(table.LiveBalancers()))
	f.agents.Store(int64(table.Live() - table.LiveBalancers()))
	f.suspected.Store(int64(n.engine.Suspected()))
	f.seed.Store(0)
	if n.seeding.machine.Holding(now) {
		f.seed.Store(1)
	}
	tokens, waiting, deferred := n.engine.Budget(now)
	f.tokens.Store(int64(tokens))
	f.waiting.Store(int64(waiting))
	f.deferred.Store(deferred)
	f.revision.Store(n.engine.Self().Revision)
}

// countCall counts a control call to another process.
func countCall(method string, err error) {
	outcome := "ok"
	if err != nil {
		outcome = "failed"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("saltbend_control_calls_total{method=%q,outcome=%q}", method, outcome)).Inc()
}
