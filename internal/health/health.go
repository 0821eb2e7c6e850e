// Package health assesses the health of an agent's upstream from the outcomes of
// its requests and from the reports of its health endpoint. Recent good outcomes
// override a report of bad health. Tracker does no I/O and does not read the
// clock: times, outcomes and reports are passed in, and Judge returns a Verdict.
//
// An agent is the process next to one upstream; its siblings are the other agents
// of the same service. A flow is one connection of a caller. The fleet is all
// agents and balancers of one installation.
package health

import (
	"math"
	"time"
)

const (
	// FullWeight is the weight of a warm, healthy upstream.
	FullWeight = 1000
	// minWeight is the lowest weight of an upstream that is considered healthy.
	// It lets a cold upstream receive some flows, so that it can warm up.
	minWeight = 50
	// weightStep is the granularity of weights. It is coarse because each change
	// of a weight is announced to the fleet.
	weightStep = 250
	// stepHysteresis is how far a weight has to move away from the last step
	// before the step changes, as a fraction of weightStep.
	stepHysteresis = 0.75
	// shortGain is the weight of one outcome in the short-term moving averages.
	shortGain = 0.05
	// drawThreshold is the lowest success rate at which an agent may take over
	// requests from its siblings and the upstream gets all its slots.
	drawThreshold = 0.8
	// outcomeTTL is how long good outcomes override a report of bad health.
	outcomeTTL = 2 * time.Second
	// trustedStreak is the number of successive good outcomes that override a
	// report of bad health.
	trustedStreak = 5
	// slowFactor is the ratio of short-term to long-term average latency above
	// which the weight of an upstream falls.
	slowFactor = 2
	// longGain is the weight of one outcome in the long-term average latency.
	longGain = 0.002
)

// Outcome is the observed result of one request.
type Outcome struct {
	// Good means a complete response that does not indicate a failure of the
	// upstream.
	Good    bool
	Latency time.Duration
}

// Report is the result of a health check of the upstream.
type Report struct {
	Healthy  bool
	Draining bool
}

// Peers describes the other upstreams of the service.
type Peers struct {
	// Known is the number of other upstreams, and Healthy the number of those
	// that look healthy.
	Known, Healthy int
	// PanicThreshold is the fraction of the service's upstreams that have to look
	// healthy. Below it, health is ignored for Slots and Draws.
	PanicThreshold float64
}

// Verdict is the result of Judge: how much work the upstream should get.
type Verdict struct {
	// Weight is the upstream's relative share of new flows; FullWeight is 1000.
	// It does not depend on Peers, because the peers count this upstream as
	// healthy or not by its weight.
	Weight int
	// Slots is the maximum number of concurrent requests.
	Slots int
	// Draws is set if the agent may take over requests from its siblings.
	Draws bool
	// Panic is set if the fraction of the service's upstreams that look healthy is
	// below PanicThreshold, so that health is ignored for Slots and Draws.
	Panic bool
	// Draining is set if the upstream has announced a drain.
	Draining bool
}

// Tracker tracks the health of one upstream.
type Tracker struct {
	slowStart     time.Duration
	warmupStart   time.Time
	successRate   float64
	latency       time.Duration
	longLatency   time.Duration
	successStreak int
	lastOutcome   time.Time
	report        Report
	// lastStep is the last quantized weight, before minWeight is applied.
	lastStep int
}

// NewTracker returns the tracker of an upstream that is cold at start and warms up
// over slowStart.
func NewTracker(start time.Time, slowStart time.Duration) *Tracker {
	return &Tracker{slowStart: slowStart, warmupStart: start, successRate: 1, report: Report{Healthy: true}}
}

// SetSlowStart sets how long a cold upstream takes to warm up.
func (t *Tracker) SetSlowStart(d time.Duration) { t.slowStart = d }

// Observe records the outcome of a request.
func (t *Tracker) Observe(now time.Time, o Outcome) {
	t.lastOutcome = now
	if !o.Good {
		t.successStreak = 0
		t.successRate -= shortGain * t.successRate
		return
	}
	t.successStreak++
	t.successRate += shortGain * (1 - t.successRate)
	t.latency = average(t.latency, o.Latency, shortGain)
	t.longLatency = average(t.longLatency, o.Latency, longGain)
}

func average(mean, next time.Duration, gain float64) time.Duration {
	if mean == 0 {
		return next
	}
	return mean + time.Duration(gain*float64(next-mean))
}

// RecordReport records a report of the upstream's health endpoint. An upstream that
// becomes healthy after bad health, which includes being unreachable, is cold.
func (t *Tracker) RecordReport(now time.Time, r Report) {
	if r.Healthy && !t.report.Healthy && !t.contradicted(now) {
		t.warmupStart = now
	}
	t.report = r
}

// contradicted reports whether recent good outcomes contradict a report of bad
// health.
func (t *Tracker) contradicted(now time.Time) bool {
	return t.successStreak >= trustedStreak && now.Sub(t.lastOutcome) < outcomeTTL
}

// Judge returns the verdict for an upstream with the given number of slots.
// Weights are quantized with hysteresis, so the result depends on the last call.
func (t *Tracker) Judge(now time.Time, slots int, peers Peers) Verdict {
	v := Verdict{
		Weight:   t.weight(now),
		Slots:    t.allowedSlots(slots),
		Draws:    t.successRate >= drawThreshold && t.consideredHealthy(now),
		Draining: t.report.Draining,
	}
	v.Panic = !peers.reachThreshold(v.Draws)
	if v.Panic {
		v.Slots, v.Draws = slots, true
	}
	return v
}

func (t *Tracker) consideredHealthy(now time.Time) bool {
	return t.report.Healthy || t.contradicted(now)
}

// weight returns the upstream's weight: 0 if it is considered unhealthy, otherwise
// in proportion to the square of the success rate. The weight is lower during the
// slow start, and while the latency exceeds slowFactor times its long-term average.
func (t *Tracker) weight(now time.Time) int {
	if !t.consideredHealthy(now) {
		return 0
	}
	w := FullWeight * t.successRate * t.successRate * t.warmupFactor(now)
	if t.longLatency > 0 && t.latency > slowFactor*t.longLatency {
		w *= float64(slowFactor*t.longLatency) / float64(t.latency)
	}
	return max(t.quantize(w), minWeight)
}

// quantize rounds the weight to a multiple of weightStep. The hysteresis keeps
// the result from alternating between two steps.
func (t *Tracker) quantize(w float64) int {
	if math.Abs(w-float64(t.lastStep)) >= stepHysteresis*weightStep {
		t.lastStep = int(math.Round(w/weightStep)) * weightStep
	}
	return t.lastStep
}

func (t *Tracker) warmupFactor(now time.Time) float64 {
	if t.slowStart <= 0 {
		return 1
	}
	return min(max(float64(now.Sub(t.warmupStart))/float64(t.slowStart), 0), 1)
}

func (t *Tracker) allowedSlots(all int) int {
	if t.successRate >= drawThreshold {
		return all
	}
	return max(1, int(math.Ceil(float64(all)*t.successRate*t.successRate)))
}

// reachThreshold reports whether the fraction of healthy upstreams of the service
// is at least PanicThreshold. self is the health of the agent's own upstream.
func (p Peers) reachThreshold(self bool) bool {
	healthy := p.Healthy
	if self {
		healthy++
	}
	return float64(healthy) >= p.PanicThreshold*float64(p.Known+1)
}
