package admission

import (
	"math"
	"time"
)

// pressure measures for one priority how long its openings have had to wait for a large
// part of their target latency, and derives the wait from which on openings are refused.
//
// A burst, as after a common power loss, is best served to the last request: late is better
// than never. Serving all of an overload that lasts makes every request late and loses as
// many in the end. So the longer an overload lasts, the shorter the wait that is allowed:
// from a part of the time after which callers give up down to what lets requests be answered
// within their target latency.
type pressure struct {
	at, age time.Duration
	// wait is the expected wait of an opening, averaged over waitTime.
	wait time.Duration
}

const (
	// burstTime is the duration of waiting up to which nothing is refused for lack of room:
	// the callers of hosts that were unavailable all return within some 600 ms, the time
	// between two of their retransmissions.
	burstTime = 750 * time.Millisecond
	// patience is the duration of an overload, in timeouts of its callers, during which the
	// allowed wait falls to the one that the target latency allows.
	patience = 2.0
	// recovery is how much faster an overload is forgotten than it was recognised.
	recovery = 2
	// longestGap is the longest time between two observations that counts: what happened
	// during a pause of the process is not known.
	longestGap = 300 * time.Millisecond
	// shareMemory is for how much longer an overload lasts because of a caller that asks for
	// more than its share.
	shareMemory = 500 * time.Millisecond
	// burstShare is the allowed wait at the start of an overload, as a share of the timeout.
	burstShare = 0.8
	// targetSpare is the time reserved before a target latency, in mean answer times: one
	// for the answer itself and one for its variation.
	targetSpare = 2
	// lowWait is the wait from which on openings are refused under an overload that lasts,
	// relative to the one that the target latency allows. At one and a half times the room
	// a third has to be refused, with a wait that is still below the allowed one.
	lowWait = 0.6
	// waitBand is the wait, relative to the allowed one, at which all openings are refused.
	waitBand = 2.5
	// waitTime is the time over which the expected wait is averaged. If the share followed
	// each change of the wait, many callers would be refused once, return, and be late.
	waitTime = 150 * time.Millisecond
)

// observe records the expected wait at the given time, and whether it is a large part of the
// target latency.
func (s *pressure) observe(now, wait time.Duration, waits bool, r Request) {
	passed := min(now-s.at, longestGap)
	s.at = now
	s.wait += time.Duration((1 - math.Exp(-float64(passed)/float64(waitTime))) * float64(wait-s.wait))
	if !waits {
		s.age = max(0, s.age-recovery*passed)
		return
	}
	s.age = min(s.age+passed, burstTime+s.decline(r))
}

// prolong keeps an overload lasting for a moment, because a caller asks for more than its
// share. What that caller is refused does not wait, but it would at once if it were admitted.
func (s *pressure) prolong() { s.age = max(s.age, burstTime+shareMemory) }

// lasting reports whether openings have waited for longer than in a burst.
func (s *pressure) lasting() bool { return s.age >= burstTime }

// decline returns the time over which the allowed wait falls.
func (s *pressure) decline(r Request) time.Duration {
	return time.Duration(patience * float64(r.Timeout))
}

// refusedShare returns the share of a route's openings to refuse.
func (s *pressure) refusedShare(r Request, p Pace) float64 {
	if !s.lasting() || r.Timeout == 0 || r.TargetLatency == 0 {
		return 0
	}
	left := 1 - float64(s.age-burstTime)/float64(s.decline(r))
	inTime := float64(inTimeWait(r, p))
	allowed := max(lowWait*inTime, burstShare*left*float64(r.Timeout))
	share := (float64(s.wait)/allowed - 1) / (waitBand - 1)
	return math.Min(math.Max(share, 0), 1)
}

// inTimeWait returns the longest wait after which a request is usually answered within its
// target latency.
func inTimeWait(r Request, p Pace) time.Duration {
	return max(r.TargetLatency-targetSpare*p.Answer-transitTime, p.Answer)
}
