// Package capacity learns for an agent of the packet face (the part of saltbend that
// forwards packets) what room its upstream has: how long the upstream works on a request of
// each priority, and which share of its slots is in use. It is pure: the time is an input.
package capacity

import (
	"math"
	"time"
)

// useWindow is the time constant of the averages of Use: long against a request, short
// against the time in which demand doubles when callers come in a rush.
const useWindow = 2 * time.Second

// Use averages the share of an upstream's slots in use over time. An average is exact
// whenever and however often it is observed: each share counts for as long as it lasted. The
// zero value is ready to use.
type Use struct {
	at, present     float64
	average, weight float64
}

// Observe records how many of the slots are in use from now on. Requests beyond the slots
// wait for one and do not count.
func (u *Use) Observe(now time.Duration, running, slots int) {
	u.advance(now)
	u.present = 0
	if slots > 0 {
		u.present = float64(min(max(running, 0), slots)) / float64(slots)
	}
}

// Share returns the average share of the slots in use, 0 to 1.
func (u *Use) Share(now time.Duration) float64 {
	u.advance(now)
	if u.weight == 0 {
		return 0
	}
	return u.average / u.weight
}

func (u *Use) advance(now time.Duration) {
	passed := now.Seconds() - u.at
	if passed <= 0 {
		return
	}
	u.at = now.Seconds()
	keep := math.Exp(-passed / useWindow.Seconds())
	u.average = keep*u.average + (1-keep)*u.present
	u.weight = keep*u.weight + (1 - keep)
}
