package dispatch

import "time"

const (
	// estimateGain is the weight of one observation in a moving average: the
	// average follows a change within some 20 requests.
	estimateGain = 0.05
	// priorityLevels is the number of priorities that are told apart in estimates.
	priorityLevels = 16
	// firstServiceTime is assumed until a request has ended.
	firstServiceTime = 20 * time.Millisecond
	// maxUrgentShare keeps the expected wait of lower classes finite.
	maxUrgentShare = 0.98
	// minRetryAfter is the shortest wait a caller is told.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest wait a caller is told: load changes sooner.
	maxRetryAfter = 30 * time.Second
)

// estimate is what the scheduler has learnt of service times, and of the share
// of starts that each priority takes.
type estimate struct {
	service time.Duration
	share   [priorityLevels]float64
}

func newEstimate() estimate {
	return estimate{service: firstServiceTime}
}

// level is the index of a priority in the shares.
func level(priority int) int { return min(max(priority, 0), priorityLevels-1) }

func (e *estimate) observe(service time.Duration) {
	e.service += time.Duration(estimateGain * float64(service-e.service))
}

func (e *estimate) started(priority int) {
	for i := range e.share {
		e.share[i] -= estimateGain * e.share[i]
	}
	e.share[level(priority)] += estimateGain
}

// urgentShare is the share of starts that go to more urgent requests.
func (e *estimate) urgentShare(priority int) float64 {
	sum := 0.0
	for _, share := range e.share[:level(priority)] {
		sum += share
	}
	return min(sum, maxUrgentShare)
}

// wait is the expected time until the request with so many others ahead of it
// starts, where all slots are taken. More urgent requests that are yet to come
// pass it, so only the rest of the drain rate is its own.
func (e *estimate) wait(ahead, slots, priority int) time.Duration {
	perStart := float64(e.service) / float64(max(slots, 1))
	return time.Duration(float64(ahead+1) * perStart / (1 - e.urgentShare(priority)))
}

// retryAfter is when the queue of that length will have drained.
func (e *estimate) retryAfter(length, slots, priority int) time.Duration {
	return min(max(e.wait(length, slots, priority), minRetryAfter), maxRetryAfter)
}
