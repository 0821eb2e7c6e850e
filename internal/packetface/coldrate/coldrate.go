// Package coldrate limits the rate of new flows to an upstream that is still cold after its
// start. It does no I/O.
//
// After an evacuation, a power loss or a release many upstreams of a service start at the
// same time, and each can process only few requests a second until its caches are warm. To
// every balancer such an upstream looks idle, so every balancer sends flows there; only the
// agent beside the upstream sees all of these flows. In any sliding window of a second the
// agent admits only as many flows as the upstream can process. It returns the others to
// their balancers early enough for other upstreams to serve them.
package coldrate

import (
	"math"
	"time"
)

// Bounds are the limits for one upstream, in flows a second.
type Bounds struct {
	// Usual is the number of flows that the cold upstream can process, 0 for no limit.
	Usual int
	// Most is the limit for flows that no other upstream accepts.
	Most int
}

// reserve is the share of Most that stays unused. Packets are delayed by some milliseconds,
// so flows admitted in two windows may arrive within one.
const reserve = 0.1

// NewBounds returns the bounds for an upstream that can process rate flows a second when
// cold, where operators permit up to overage times that rate.
func NewBounds(rate, overage float64) Bounds {
	if rate <= 0 {
		return Bounds{}
	}
	usual := max(1, int(rate))
	return Bounds{Usual: usual, Most: max(usual, int(math.Floor(rate*max(overage, 1)*(1-reserve))))}
}

// window is the length of the sliding window.
const window = time.Second

// Window counts the flows that were admitted to an upstream in the last second. The zero
// value is empty. A Window holds no more entries than the bounds given to its methods
// allow.
type Window struct {
	// admitted holds the times at which flows were admitted, the oldest first.
	admitted []time.Duration
}

// Allows reports whether one more flow may be admitted. lastChoice is true if no other
// upstream accepts it.
func (w *Window) Allows(now time.Duration, b Bounds, lastChoice bool) bool {
	if b.Usual == 0 {
		return true
	}
	w.expire(now)
	if lastChoice {
		return len(w.admitted) < b.Most
	}
	return len(w.admitted) < b.Usual
}

// Add records an admitted flow.
func (w *Window) Add(now time.Duration, b Bounds) {
	if b.Usual == 0 {
		w.admitted = w.admitted[:0]
		return
	}
	w.expire(now)
	w.admitted = append(w.admitted, now)
}

// expire removes entries that are older than the window.
func (w *Window) expire(now time.Duration) {
	expired := 0
	for expired < len(w.admitted) && now-w.admitted[expired] >= window {
		expired++
	}
	w.admitted = append(w.admitted[:0], w.admitted[expired:]...)
}
