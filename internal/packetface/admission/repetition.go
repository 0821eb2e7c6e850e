package admission

import "time"

// A caller whose opening packet is not answered sends copies of it, gives up after a
// while and begins anew with another flow, which looks as young as a first one. When
// hosts were away, half of the flows that begin right after are such repetitions, and
// those that go by their looks are lost: their callers have a second less than they
// seem to have. Which half is not to be seen, so all that may be repetitions are
// ordered as if they were.

const (
	// repeatTime is the time from the beginning of a caller's attempt to that of the
	// next one: 1.4 s of waiting, and a pause of up to a quarter of a second that
	// callers were seen to make (1.42 to 1.64 s).
	repeatTime = 1650 * time.Millisecond
	// lastCopy is the age of the last copy of an opening packet that a caller sends.
	lastCopy = 600 * time.Millisecond
	// startSpread is the time within which the hosts of a fleet start that were lost
	// together: 0.3 to 0.45 s were seen. Half of it lies before the start of a
	// middling one.
	startSpread = 400 * time.Millisecond
)

// RepeatedAfter returns how long before a flow its caller may have begun another one
// for the same request, 0 where nothing suggests that. It takes the time from the
// start of this process to the beginning of the flow, negative for one that began
// before. Repetitions end once the callers are served whose last copy found the
// hosts back; they begin as the hosts return, if those were away for as long as an
// attempt lasts. After a longer absence earlier flows are repetitions as well, and
// are taken for first ones: nobody knows how long it was.
func RepeatedAfter(began time.Duration) time.Duration {
	if began < -startSpread/2 || began > repeatTime-lastCopy {
		return 0
	}
	return repeatTime
}
