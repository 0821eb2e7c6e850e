// Package admission decides in which order the requests run that wait for a slot
// of an upstream. It is pure: times come in, a choice goes out.
//
// The load that it answers is a rush: hosts were away for a second or two, their
// callers have waited or ask again all at once, and the upstreams are slow at
// first. What has waited is past its aim and worth less than what comes now, but a
// request that is never answered is worth nothing and harms its caller most. So
// what can still be answered within its aim runs first, and what cannot waits, but
// no longer than it may: once it could miss its caller's deadline otherwise, it
// runs before all others.
package admission

import "time"

const (
	// MaxHold is the time after which a request is handed on in any case, where its
	// route does not name its callers' timeout. It is below the shortest time that
	// callers are known to give a request (2 s).
	MaxHold = 1500 * time.Millisecond
	// lateAfter is the wait from which on a request counts as late where the route
	// names no aim.
	lateAfter = 120 * time.Millisecond
	// wayTime is the time on the way, both directions, that is kept free of the aim
	// and of the timeout: 2 to 8 ms in one region, and the same for a busy host.
	wayTime = 15 * time.Millisecond
	// leastPatience is the least wait that counts as being late.
	leastPatience = 20 * time.Millisecond
	// spareAnswers is the time that is kept free before a deadline, in times of a
	// mean answer: work is spread, and what presses waits for a slot to come free. Of
	// 3, 6, 10 and 15, 6 is the least that loses hardly any in the bed's rush of half
	// the upstreams' rate (35, 6, 3 and 2 of some 500).
	spareAnswers = 6
	// slotShare is the part of the slots that requests past their aim may count on
	// while they wait: what is asked for meanwhile has its share, and answers get
	// slower while an upstream is cold. 0.5 and 0.35 lose as many in the bed, and
	// fewer of the others are in time.
	slotShare = 0.75
	// savablePart is the least part of its timeout that a repetition must have left
	// when it is let in to be looked for. With a quarter (requests of 2 s) the rush is
	// longer than that: ras-live saved 0.3% of its requests and made 1% late. Without
	// the search at a third (2.25 s) umurongo-kgl lost 0.9 and 1.2% instead of 0.3%.
	savablePart = 0.3
)

// Request is what is known of a request that waits.
type Request struct {
	// Rank orders routes, 0 for the most urgent.
	Rank uint8
	// Arrived is when it began to wait here.
	Arrived time.Duration
	// Asked is when its caller asked for it, as far as is known. Suspected is when
	// the caller may have asked first, if the request may be a repetition; it is
	// Asked otherwise.
	Asked, Suspected time.Duration
	// Aim is the time within which the caller wants the answer, Timeout that after
	// which it gives up; 0 where the route does not say.
	Aim, Timeout time.Duration
	// FirstTry tells that the request is certainly no repetition.
	FirstTry bool
}

// Pace is how fast the upstream works.
type Pace struct {
	// Slots is the number of requests that it works on at once, 0 where that is
	// not known yet.
	Slots int
	// Answer is the mean time of an answer, 0 for none yet.
	Answer time.Duration
}

// late reports whether a request can hardly be answered within its aim any more.
func (r *Request) late(now time.Duration, p Pace) bool {
	age := now - r.Asked
	if r.Aim == 0 {
		return age > lateAfter
	}
	return age > max(r.Aim-p.Answer-wayTime, leastPatience)
}

// deadline returns when the caller gives up: as early as may be until that time
// has passed, as then the caller would have ended its flow. What would have little
// time left as a repetition counts as a first try: most of it would be lost anyway,
// and all that comes meanwhile late.
func (r *Request) deadline(now time.Duration) time.Duration {
	early := r.Suspected + r.Timeout
	savable := early-r.Asked >= time.Duration(savablePart*float64(r.Timeout))
	if savable && now < early {
		return early
	}
	return r.Asked + r.Timeout
}

// hopeless reports whether the caller gives up before a usual answer.
func (r *Request) hopeless(now time.Duration, p Pace) bool {
	return r.Timeout > 0 && r.deadline(now) < now+p.Answer+wayTime
}

// overdue reports whether a request is to be handed on though no slot is free.
func (r *Request) overdue(now time.Duration) bool {
	limit := r.Timeout
	if limit == 0 {
		limit = MaxHold
	}
	return now-r.Arrived >= limit
}
