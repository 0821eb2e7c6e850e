package admission

import (
	"time"

	"github.com/saltbend/saltbend/platform"
)

// A caller whose opening packet is not answered sends copies of it, gives up after a
// while and begins anew with another flow, which looks as young as a first one. When
// hosts were away, half of the flows that begin right after are such repetitions, and
// those that go by their looks are lost: their callers have a second less than they
// seem to have. Which half is not to be seen, so all that may be repetitions are
// ordered as if they were.

const (
	// RepeatTime is the time from the beginning of a caller's attempt to that of the
	// next one: 1.4 s of waiting, and a pause, of which 0.02 to 0.25 s were seen. The
	// middle of that loses fewer in the bed than the end (22 and 24 under "busy").
	RepeatTime = 1500 * time.Millisecond
	// longestPause is the longest pause that was seen.
	longestPause = 250 * time.Millisecond
	// attemptTime is the time after which an attempt without an answer ends.
	attemptTime = 1400 * time.Millisecond
	// beyond is how much longer than an attempt hosts may have been away. Repetitions
	// begin that long before they are back; flows that began earlier count as first
	// tries. Lost in the bed's busy, long and wider rushes: 22, 185 and 127 with 0.2 s,
	// 31, 155 and 57 with 0.3 s, 52, 129 and 19 with 0.4 s, 87, 85 and 2 with 0.6 s, with
	// fewer in time.
	beyond = 400 * time.Millisecond
)

// MayRepeat reports whether a flow may be for a request that its caller has asked for
// before. It takes the time from the start of the balancer that the flow came to, to
// the beginning of the flow, negative for one that began before. Repetitions end once
// the callers are served whose last copy found the balancer back.
func MayRepeat(began time.Duration) bool {
	return began >= -beyond && began <= attemptTime+longestPause-platform.LastCopyAge
}
