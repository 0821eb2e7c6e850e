package dispatch

import "time"

const (
	// estimateGain is the weight of one observation in a moving average. With 0.05
	// the average adapts to a change within some 20 requests.
	estimateGain = 0.05
	// priorityLevels is the number of priorities with an estimate of their own. All
	// lower priorities share the last estimate.
	priorityLevels = 16
	// firstServiceTime is the initial value of the moving average of the service time,
	// before any request has ended.
	firstServiceTime = 20 * time.Millisecond
	// maxUrgentShare caps the share of more urgent requests, so that the expected wait
	// of lower priorities stays finite.
	maxUrgentShare = 0.98
	// minRetryAfter is the shortest time in a Retry-After header.
	minRetryAfter = time.Second
	// maxRetryAfter is the longest time in a Retry-After header. Load changes sooner
	// than that, so a longer estimate would be wrong.
	maxRetryAfter = 30 * time.Second
)

// estimate holds moving averages of the service time and of the share of started
// requests that each priority has.
type estimate struct {
	service time.Duration
	share   [priorityLevels]float64
}

func newEstimate() estimate {
	return estimate{service: firstServiceTime}
}

// level returns the index of a priority in estimate.share.
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

// urgentShare returns the share of started requests that are more urgent than the
// priority.
func (e *estimate) urgentShare(priority int) float64 {
	sum := 0.0
	for _, share := range e.share[:level(priority)] {
		sum += share
	}
	return min(sum, maxUrgentShare)
}

// wait returns the expected time until a request starts that has the given number of
// requests ahead of it, assuming that all slots are taken. More urgent requests that
// arrive meanwhile start first, so only the remaining share of the slots' throughput
// counts.
func (e *estimate) wait(ahead, slots, priority int) time.Duration {
	perStart := float64(e.service) / float64(max(slots, 1))
	return time.Duration(float64(ahead+1) * perStart / (1 - e.urgentShare(priority)))
}

// retryAfter returns the expected time until a queue of the given length has drained,
// between minRetryAfter and maxRetryAfter.
func (e *estimate) retryAfter(length, slots, priority int) time.Duration {
	return min(max(e.wait(length, slots, priority), minRetryAfter), maxRetryAfter)
}
