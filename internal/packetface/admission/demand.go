package admission

import "time"

// Demand records the rates of requests by the priority of their routes. The zero value is
// ready to use.
type Demand struct {
	began    time.Duration
	arrivals [trackedPriorities]int
	rates    [trackedPriorities]float64 // a second
}

const (
	// demandInterval is the interval over which arrivals are counted.
	demandInterval = 250 * time.Millisecond
	// rateWeight is the weight of the newest interval in the rates.
	rateWeight = 0.3
	// trackedPriorities is the number of priorities that are kept apart; the last one
	// stands for all less urgent ones.
	trackedPriorities = 4
	// maxUrgentShare bounds UrgentShare, so that expected waits stay finite.
	maxUrgentShare = 0.9
)

// trackedPriority returns the index of a priority among the tracked ones.
func trackedPriority(priority uint8) int { return min(int(priority), trackedPriorities-1) }

// Arrived records a request that is admitted or that waits.
func (d *Demand) Arrived(now time.Duration, priority uint8) {
	d.advance(now)
	d.arrivals[trackedPriority(priority)]++
}

func (d *Demand) advance(now time.Duration) {
	passed := now - d.began
	if passed < demandInterval {
		return
	}
	for i, n := range d.arrivals {
		d.rates[i] += rateWeight * (float64(n)/passed.Seconds() - d.rates[i])
	}
	d.began, d.arrivals = now, [trackedPriorities]int{}
}

// UrgentShare returns the share of the upstream's time that requests more urgent than the
// given priority take.
func (d *Demand) UrgentShare(priority uint8, p Pace) float64 {
	if p.Slots == 0 {
		return 0
	}
	rate := 0.0
	for i := range trackedPriority(priority) {
		rate += d.rates[i]
	}
	return min(rate*p.Answer.Seconds()/float64(p.Slots), maxUrgentShare)
}
