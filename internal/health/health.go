// Package health judges an agent's own upstream by the outcomes of its
// requests. Tracker is pure: times and observations come in, a verdict goes
// out. What the upstream says of itself counts only where nothing was observed
// that contradicts it.
package health

import (
	"math"
	"time"
)

const (
	// FullWeight is the weight of a warm, healthy upstream.
	FullWeight = 1000
	// minWeight keeps a cold upstream in the choice, so that it gets warm.
	minWeight = 50
	// weightStep is the grain of weights: each change costs the fleet messages.
	weightStep = 250
	// leaveStep is the part of a step by which the weight has to have moved.
	stepHysteresis = 0.75
	// gain is the weight of one outcome in the moving averages.
	shortGain = 0.05
	// drawsFrom is the share of good outcomes from which on an upstream may
	// draw work of others.
	drawThreshold = 0.8
	// fresh is how long an outcome contradicts what the upstream reports.
	outcomeTTL = 2 * time.Second
	// trusted is the number of good outcomes in a row that outweigh a report of
	// bad health.
	trustedStreak = 5
	// slowFactor is how much slower than its own past an upstream may get
	// before its weight falls.
	slowFactor = 2
	// pastGain is the weight of one outcome in the long average of latencies.
	longGain = 0.002
)

// Outcome is the observed end of one request.
type Outcome struct {
	// Good is a whole answer that speaks of no failure of the upstream.
	Good    bool
	Latency time.Duration
}

// Report is what the upstream says of itself.
type Report struct {
	Healthy  bool
	Draining bool
}

// Peers is what is known of the service's other upstreams.
type Peers struct {
	// Known and Healthy count the others and those of them that look healthy.
	Known, Healthy int
	// PanicThreshold is the share of the service that has to look healthy for
	// health to count.
	PanicThreshold float64
}

// Verdict is what the upstream has earned.
type Verdict struct {
	// Weight is the share of new flows, in thousandths; it doesn't depend on
	// the peers, so that they can judge by it.
	Weight int
	// Slots is the number of requests that may run at once.
	Slots int
	// Draws tells whether the agent may take work of its siblings.
	Draws bool
	// Panic tells that most of the service looks bad, so that health is
	// ignored for Slots and Draws.
	Panic bool
	// Draining tells that the upstream has announced that it leaves.
	Draining bool
}

// Tracker follows one upstream.
type Tracker struct {
	slowStart     time.Duration
	warmupStart   time.Time
	successRate   float64
	latency       time.Duration
	longLatency   time.Duration
	successStreak int
	lastOutcome   time.Time
	report        Report
	// step is the weight that was last given, but for minWeight.
	lastStep int
}

// NewTracker returns the tracker of an upstream that is cold at start.
func NewTracker(start time.Time, slowStart time.Duration) *Tracker {
	return &Tracker{slowStart: slowStart, warmupStart: start, successRate: 1, report: Report{Healthy: true}}
}

// SetSlowStart changes the time that a cold upstream takes.
func (t *Tracker) SetSlowStart(d time.Duration) { t.slowStart = d }

// Observe takes the outcome of a request.
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

// Hear takes what the upstream says of itself. Coming back from bad health, or
// from being unreachable, it is cold.
func (t *Tracker) Hear(now time.Time, r Report) {
	if r.Healthy && !t.report.Healthy && !t.contradicted(now) {
		t.warmupStart = now
	}
	t.report = r
}

// contradicted reports whether recent requests went well.
func (t *Tracker) contradicted(now time.Time) bool {
	return t.successStreak >= trustedStreak && now.Sub(t.lastOutcome) < outcomeTTL
}

// Judge returns what the upstream has earned of its slots. Weights move in
// steps, of which the tracker remembers the last.
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

// weight falls with the square of the failures and with growing latency, and
// rises over the slow start.
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

// settle returns the step that the weight stands at. It leaves a step only for
// one that is clearly nearer, so that it doesn't swing.
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

// enough reports whether the service's share of healthy upstreams reaches the
// threshold.
func (p Peers) reachThreshold(self bool) bool {
	healthy := p.Healthy
	if self {
		healthy++
	}
	return float64(healthy) >= p.PanicThreshold*float64(p.Known+1)
}
