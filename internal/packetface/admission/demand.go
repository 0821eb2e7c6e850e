package admission

import "time"

// Demand tells overload that lasts from a burst. A burst, as after a common power loss, is
// over before its backlog has drained: it is best to serve all of it, late or not. While
// more arrives than can be answered, serving all of it makes everything late, and the
// target latency has to bound the wait instead.
//
// Time is divided into intervals. Overload lasts once requests have waited longer than
// their target latency allows throughout lastingIntervals intervals, and as many arrived
// as were answered. It is over when none wait, or when fewer arrive than are answered.
type Demand struct {
	began               time.Duration
	arrivals, answers   int
	urgent              [trackedPriorities]int
	waitedThroughout    bool
	overloaded, relaxed int
	lasting             bool
	// rates are the arrivals a second by priority, averaged over some intervals.
	rates [trackedPriorities]float64
}

const (
	// demandInterval is the length of an interval. The callers of hosts that were
	// unavailable all return within some 600 ms, the time between two of their
	// retransmissions, so a burst ends within three intervals.
	demandInterval = 250 * time.Millisecond
	// lastingIntervals is the number of consecutive intervals of overload from which on it
	// counts as lasting.
	lastingIntervals = 3
	// relaxedIntervals is the number of consecutive intervals without overload after which
	// lasting overload is over.
	relaxedIntervals = 4
	// demandTolerance is the ratio of arrivals to answers from which on demand is not
	// falling behind the answers; counts of an interval vary.
	demandTolerance = 0.95
	// trackedPriorities is the number of priorities whose rates are kept apart; the last
	// one stands for all less urgent ones.
	trackedPriorities = 4
	// rateWeight is the weight of the newest interval in the rates.
	rateWeight = 0.3
)

// Arrived records a request that is admitted, waits or is refused for lack of room.
func (d *Demand) Arrived(priority uint8) {
	d.arrivals++
	d.urgent[min(int(priority), trackedPriorities-1)]++
}

// Answered records an answered request.
func (d *Demand) Answered() { d.answers++ }

// Observe records whether requests currently wait for longer than their target latency
// allows, and ends intervals whose time is over.
func (d *Demand) Observe(now time.Duration, waits bool) {
	if now-d.began < demandInterval {
		d.waitedThroughout = d.waitedThroughout && waits
		return
	}
	overloaded := d.waitedThroughout && waits && float64(d.arrivals) >= demandTolerance*float64(d.answers)
	d.judge(overloaded)
	seconds := (now - d.began).Seconds()
	for i, n := range d.urgent {
		d.rates[i] += rateWeight * (float64(n)/seconds - d.rates[i])
	}
	d.began, d.arrivals, d.answers, d.urgent, d.waitedThroughout = now, 0, 0, [trackedPriorities]int{}, waits
}

func (d *Demand) judge(overloaded bool) {
	if overloaded {
		d.overloaded, d.relaxed = d.overloaded+1, 0
	} else {
		d.overloaded, d.relaxed = 0, d.relaxed+1
	}
	switch {
	case d.overloaded >= lastingIntervals:
		d.lasting = true
	case d.relaxed >= relaxedIntervals:
		d.lasting = false
	}
}

// Lasting reports whether the overload lasts.
func (d *Demand) Lasting() bool { return d.lasting }

// UrgentShare returns the share of the upstream's time that requests more urgent than the
// given priority take.
func (d *Demand) UrgentShare(priority uint8, p Pace) float64 {
	if p.Slots == 0 {
		return 0
	}
	rate := 0.0
	for i := range min(int(priority), trackedPriorities-1) {
		rate += d.rates[i]
	}
	return min(rate*p.Answer.Seconds()/float64(p.Slots), maxUrgentShare)
}

// maxUrgentShare bounds UrgentShare, so that expected waits stay finite.
const maxUrgentShare = 0.9
