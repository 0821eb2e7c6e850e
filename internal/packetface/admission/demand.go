package admission

import "time"

// Demand records how many requests arrive, by the priority of their routes, and how many are
// answered. The zero value is ready to use.
type Demand struct {
	began    time.Duration
	arrivals [trackedPriorities]int
	rates    [trackedPriorities]float64 // a second
	answers  int
	// recent are the last demandIntervals intervals; next is the one to overwrite.
	recent [demandIntervals]interval
	next   int
}

// interval counts the requests of one interval.
type interval struct{ arrivals, answers int }

const (
	// demandInterval is the interval over which arrivals are counted.
	demandInterval = 250 * time.Millisecond
	// demandIntervals is the number of intervals over which arrivals and answers are
	// compared. In less time the callers of hosts that were unavailable have all returned.
	demandIntervals = 3
	// fallingRatio is the ratio of arrivals to answers below which a backlog counts as
	// falling; the counts of some intervals vary by about a tenth.
	fallingRatio = 0.95
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

// Arrived records a request that is admitted, that waits or that is refused.
func (d *Demand) Arrived(now time.Duration, priority uint8) {
	d.advance(now)
	d.arrivals[trackedPriority(priority)]++
}

func (d *Demand) advance(now time.Duration) {
	passed := now - d.began
	if passed < demandInterval {
		return
	}
	total := 0
	for i, n := range d.arrivals {
		total += n
		d.rates[i] += rateWeight * (float64(n)/passed.Seconds() - d.rates[i])
	}
	d.recent[d.next%demandIntervals] = interval{total, d.answers}
	d.next++
	d.began, d.arrivals, d.answers = now, [trackedPriorities]int{}, 0
}

// Answered records an answered request.
func (d *Demand) Answered(now time.Duration) {
	d.advance(now)
	d.answers++
}

// Falling reports whether fewer requests have arrived lately than have been answered.
func (d *Demand) Falling() bool {
	var sum interval
	for _, i := range d.recent {
		sum.arrivals += i.arrivals
		sum.answers += i.answers
	}
	return float64(sum.arrivals) < fallingRatio*float64(sum.answers)
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
