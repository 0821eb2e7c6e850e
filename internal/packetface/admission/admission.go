// Package admission decides in which order requests run that wait for a slot of an
// upstream: an upstream processes as many requests at a time as it has slots. The package
// does no I/O: times are passed in, a choice is returned.
//
// It is designed for a burst of requests. When hosts have been unavailable for a second or
// two, their callers have been waiting or retry all at once, and the upstreams are slow at
// first. A request that has waited has missed the target latency of its route and is worth
// less than one that arrives now. But a request that is never answered is worth nothing and
// harms its caller most. So requests that can still meet their target latency run first and
// the others wait, until one of them might miss its caller's deadline by waiting longer; it
// then runs before all others.
package admission

import (
	"math"
	"time"
)

const (
	// MaxHold is the time after which a waiting request is forwarded in any case if its
	// route does not state its callers' timeout. MaxHold is below the shortest timeout
	// that callers are known to use (2 s).
	MaxHold = 1500 * time.Millisecond
	// lateAfter is the age from which on a request counts as late if the route states no
	// target latency.
	lateAfter = 120 * time.Millisecond
	// transitTime is the time reserved for the transit of a request and its answer when the
	// target latency and the timeout are applied: 2 to 8 ms within one region, and as much
	// again for a busy host.
	transitTime = 15 * time.Millisecond
	// minLateAge is the age below which no request counts as late.
	minLateAge = 20 * time.Millisecond
	// timeoutRounding is by how much a timeout may be known too short: balancers pass it on
	// in steps of 64 ms.
	timeoutRounding = 64 * time.Millisecond
	// spareAnswers is the time reserved before a deadline, in mean response times: response
	// times vary, and a pressing request has to wait for a slot to become free. In the
	// simulated burst at half the upstreams' rate, values of 3, 6, 10 and 15 lose 35, 6, 3
	// and 2 of some 500 requests; 6 is the smallest value that loses hardly any.
	spareAnswers = 6
	// slotShare is the share of the slots that requests past their target latency are
	// assumed to get while they wait. Requests that arrive meanwhile take the rest, and
	// answers take longer while an upstream is cold. In the simulated burst, 0.5 and 0.35
	// lose as many requests as 0.75, and fewer of the remaining requests are answered in
	// time.
	slotShare = 0.75
	// minRetryTimeLeft is a share of the timeout. The deadline of a caller's first attempt
	// applies to a possible retry only if at least this share of the timeout is left when
	// the caller makes the possible retry. The value lies between two cases. Requests with
	// a timeout of 2 s have a quarter left, which is less time than a burst lasts: in a
	// deployment whose requests time out after 2 s, applying that deadline to them saved
	// 0.3% of the requests and made 1% late. Requests with a timeout of 2.25 s have a third
	// left: in a deployment with that timeout, 0.9 and 1.2% of the requests were lost
	// without that deadline for them instead of 0.3%.
	minRetryTimeLeft = 0.3
)

// Request holds the properties of a waiting request that determine its order.
type Request struct {
	// Priority is the priority of the request's route, 0 for the most urgent.
	Priority uint8
	// Arrived is when the request began to wait here.
	Arrived time.Duration
	// Asked is when the caller made the request, as far as known. EarliestAttempt is when
	// the caller may have made its first attempt if the request may be a retry, and equals
	// Asked otherwise.
	Asked, EarliestAttempt time.Duration
	// TargetLatency is the time within which the caller wants the answer. Timeout is the
	// time after which the caller gives up. Each is 0 if the route does not state it.
	TargetLatency, Timeout time.Duration
	// FirstTry is true if the request is certainly not a retry.
	FirstTry bool
	// attemptEnds is when the caller abandons the attempt if it is not accepted.
	attemptEnds time.Duration
}

// Pace describes how fast the upstream works.
type Pace struct {
	// Slots is the number of requests that the upstream processes at a time, 0 if not known
	// yet.
	Slots int
	// Answer is the mean response time, 0 if there is no answer yet.
	Answer time.Duration
}

// late reports whether a request can hardly be answered within its target latency any more.
func (r *Request) late(now time.Duration, p Pace) bool {
	age := now - r.Asked
	if r.TargetLatency == 0 {
		return age > lateAfter
	}
	return age > max(r.TargetLatency-p.Answer-transitTime, minLateAge)
}

// deadline returns when the caller gives up. For a possible retry the deadline is computed
// from the first attempt that the caller may have made. Once that deadline has passed, the
// request is not a retry of such an attempt: the caller would have ended the flow. A
// possible retry that would have little time left is treated as a first try, too: most such
// requests would be lost anyway, and running them first would make all requests late that
// arrive meanwhile.
func (r *Request) deadline(now time.Duration) time.Duration {
	early := r.EarliestAttempt + r.Timeout
	savable := early-r.Asked >= time.Duration(minRetryTimeLeft*float64(r.Timeout))
	if savable && now < early {
		return early
	}
	return r.Asked + r.Timeout
}

// lastDeadline returns when the caller gives up if this is its first attempt.
func (r *Request) lastDeadline() time.Duration {
	if r.Timeout == 0 {
		return math.MaxInt64
	}
	return r.Asked + r.Timeout
}

// missesTimeout reports whether the caller will give up before the answer arrives, if the
// request is forwarded now and the upstream takes its mean response time.
func (r *Request) missesTimeout(now time.Duration, p Pace) bool {
	return r.Timeout > 0 && r.deadline(now) < now+p.Answer+transitTime
}

// hopeless reports whether the caller has certainly given up before the answer arrives, if
// the request is forwarded at the given time: it is not assumed to be a retry.
func (r *Request) hopeless(forwarded time.Duration, p Pace) bool {
	return r.lastDeadline() < forwarded+p.Answer+transitTime
}

// overdue returns why a request does not wait for a slot any longer, None if it does.
func (r *Request) overdue(now time.Duration) Choice {
	waited := now - r.Arrived
	switch {
	case r.Timeout == 0 && waited >= MaxHold:
		return Overdue
	case r.Timeout > 0 && waited >= r.Timeout+timeoutRounding:
		return Expired
	}
	return None
}
