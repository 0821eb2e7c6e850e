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
	leaveStep = 0.75
	// gain is the weight of one outcome in the moving averages.
	gain = 0.05
	// drawsFrom is the share of good outcomes from which on an upstream may
	// draw work of others.
	drawsFrom = 0.8
	// fresh is how long an outcome contradicts what the upstream reports.
	fresh = 2 * time.Second
	// trusted is the number of good outcomes in a row that outweigh a report of
	// bad health.
	trusted = 5
	// slowFactor is how much slower than its own past an upstream may get
	// before its weight falls.
	slowFactor = 2
	// pastGain is the weight of one outcome in the long average of latencies.
	pastGain = 0.002
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
	slowStart time.Duration
	warmFrom  time.Time
	good      float64
	latency   time.Duration
	past      time.Duration
	inRow     int
	last      time.Time
	report    Report
	// step is the weight that was last given, but for minWeight.
	step int
}

// NewTracker returns the tracker of an upstream that is cold at start.
func NewTracker(start time.Time, slowStart time.Duration) *Tracker {
	return &Tracker{slowStart: slowStart, warmFrom: start, good: 1, report: Report{Healthy: true}}
}

// SetSlowStart changes the time that a cold upstream takes.
func (t *Tracker) SetSlowStart(d time.Duration) { t.slowStart = d }

// Observe takes the outcome of a request.
func (t *Tracker) Observe(now time.Time, o Outcome) {
	t.last = now
	if !o.Good {
		t.inRow = 0
		t.good -= gain * t.good
		return
	}
	t.inRow++
	t.good += gain * (1 - t.good)
	t.latency = average(t.latency, o.Latency, gain)
	t.past = average(t.past, o.Latency, pastGain)
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
		t.warmFrom = now
	}
	t.report = r
}

// contradicted reports whether recent requests went well.
func (t *Tracker) contradicted(now time.Time) bool {
	return t.inRow >= trusted && now.Sub(t.last) < fresh
}

// Judge returns what the upstream has earned of its slots. Weights move in
// steps, of which the tracker remembers the last.
func (t *Tracker) Judge(now time.Time, slots int, peers Peers) Verdict {
	v := Verdict{
		Weight:   t.weight(now),
		Slots:    t.slots(slots),
		Draws:    t.good >= drawsFrom && t.believedHealthy(now),
		Draining: t.report.Draining,
	}
	v.Panic = !peers.enough(v.Draws)
	if v.Panic {
		v.Slots, v.Draws = slots, true
	}
	return v
}

func (t *Tracker) believedHealthy(now time.Time) bool {
	return t.report.Healthy || t.contradicted(now)
}

// weight falls with the square of the failures and with growing latency, and
// rises over the slow start.
func (t *Tracker) weight(now time.Time) int {
	if !t.believedHealthy(now) {
		return 0
	}
	w := FullWeight * t.good * t.good * t.warmth(now)
	if t.past > 0 && t.latency > slowFactor*t.past {
		w *= float64(slowFactor*t.past) / float64(t.latency)
	}
	return max(t.settle(w), minWeight)
}

// settle returns the step that the weight stands at. It leaves a step only for
// one that is clearly nearer, so that it doesn't swing.
func (t *Tracker) settle(w float64) int {
	if math.Abs(w-float64(t.step)) >= leaveStep*weightStep {
		t.step = int(math.Round(w/weightStep)) * weightStep
	}
	return t.step
}

func (t *Tracker) warmth(now time.Time) float64 {
	if t.slowStart <= 0 {
		return 1
	}
	return min(max(float64(now.Sub(t.warmFrom))/float64(t.slowStart), 0), 1)
}

func (t *Tracker) slots(all int) int {
	if t.good >= drawsFrom {
		return all
	}
	return max(1, int(math.Ceil(float64(all)*t.good*t.good)))
}

// enough reports whether the service's share of healthy upstreams reaches the
// threshold.
func (p Peers) enough(self bool) bool {
	healthy := p.Healthy
	if self {
		healthy++
	}
	return float64(healthy) >= p.PanicThreshold*float64(p.Known+1)
}
