package admission

import (
	"time"

	"github.com/saltbend/saltbend/platform"
)

// A caller whose opening packet is not answered retransmits it, gives up after a while and
// retries with another flow, which looks like a first try. When hosts have been
// unavailable, half of the flows that begin right afterwards are such retries. If they were
// ordered by the age of their flow, they would be lost, because their callers give up a
// second earlier than it seems. A retry cannot be distinguished from a first try, so all
// flows that may be retries are ordered as retries.

const (
	// RetryInterval is the time from the beginning of a caller's attempt to that of the
	// next: the caller waits 1.4 s and pauses for 0.02 to 0.25 s. In the simulated load
	// "busy", the middle of this range loses 22 requests and its end 24.
	RetryInterval = 1500 * time.Millisecond
	// longestPause is the longest pause of callers between two attempts.
	longestPause = 250 * time.Millisecond
	// attemptTime is the time after which a caller ends an attempt that is not answered.
	attemptTime = 1400 * time.Millisecond
	// outageMargin is how long before the balancer's start a flow may have begun and still
	// count as a possible retry: hosts may be unavailable for that much longer than an
	// attempt lasts. Flows that began earlier count as first tries. The simulated loads
	// "busy", "long" and "wider" lose 22, 185 and 127 requests with 0.2 s, 31, 155 and 57
	// with 0.3 s, 52, 129 and 19 with 0.4 s, and 87, 85 and 2 with 0.6 s; with 0.6 s fewer
	// requests are answered in time.
	outageMargin = 400 * time.Millisecond
)

// MayBeRetry reports whether a flow may be a retry of a request that its caller has made
// before. began is the time from the start of the flow's balancer to the beginning of the
// flow, negative if the flow began before that start. A caller whose last retransmission
// reached the balancer after its start is served without a retry. So the latest retry comes
// from a caller whose last retransmission was sent just before the start, and begins
// attemptTime+longestPause-platform.LastCopyAge after the start.
func MayBeRetry(began time.Duration) bool {
	return began >= -outageMargin && began <= attemptTime+longestPause-platform.LastCopyAge
}
