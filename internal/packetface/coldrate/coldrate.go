// Package coldrate bounds the flows that a cold upstream gets. It is pure.
//
// The load that it answers: after an evacuation, a loss of power or a release many
// upstreams of a service start at the same time, and each bears few requests a second
// until its caches are warm. Every balancer sees an idle upstream and sends its flows
// there; only the agent beside it sees all of them. It lets in what the upstream bears
// in any second that slides, and gives the rest back while their callers can still be
// served elsewhere.
package coldrate

import (
	"math"
	"time"
)

// Bounds of one upstream, in flows a second.
type Bounds struct {
	// Usual is what it bears, 0 for no bound.
	Usual int
	// Most is what it may get where nobody else takes a flow.
	Most int
}

// reserve is the part of an upstream's bound that stays free even where nobody else
// takes a flow: packets are late by some milliseconds, so that those of two windows may
// arrive in one.
const reserve = 0.1

// NewBounds returns the bounds for an upstream that bears a rate, where operators allow
// overage times that.
func NewBounds(rate, overage float64) Bounds {
	if rate <= 0 {
		return Bounds{}
	}
	usual := max(1, int(rate))
	return Bounds{Usual: usual, Most: max(usual, int(math.Floor(rate*max(overage, 1)*(1-reserve))))}
}

// window is the time in which flows are counted.
const window = time.Second

// Window counts the flows that an upstream got in the last second. The zero value has
// none. It never holds more than the bound it is asked with.
type Window struct {
	// taken are when flows were let in, the oldest first.
	taken []time.Duration
}

// Allows reports whether one more flow may be let in. must tells that nobody else takes
// it.
func (w *Window) Allows(now time.Duration, b Bounds, must bool) bool {
	if b.Usual == 0 {
		return true
	}
	w.forget(now)
	if must {
		return len(w.taken) < b.Most
	}
	return len(w.taken) < b.Usual
}

// Take notes a flow that was let in.
func (w *Window) Take(now time.Duration, b Bounds) {
	if b.Usual == 0 {
		w.taken = w.taken[:0]
		return
	}
	w.forget(now)
	w.taken = append(w.taken, now)
}

// forget drops what is older than the window.
func (w *Window) forget(now time.Duration) {
	old := 0
	for old < len(w.taken) && now-w.taken[old] >= window {
		old++
	}
	w.taken = append(w.taken[:0], w.taken[old:]...)
}
