package admission

import (
	"math"
	"time"
)

// Openings holds the opening packets that wait at an agent because its upstream has no room.
// The upstream has not seen them, so each can still be refused without harm: no request has
// run. The zero value is empty. Openings is not safe for concurrent use.
type Openings[T comparable] struct {
	queue  Queue[T]
	demand Demand
	// nextEnd and nextDeadline are times before which no waiting opening's attempt ends and
	// no caller gives up.
	nextEnd, nextDeadline time.Duration
	// open counts the requests that wait on open flows; routes are the terms of the latest
	// opening of each priority.
	open      Counts
	routes    [trackedPriorities]Request
	pressures [trackedPriorities]pressure
}

// Refusal is the reason why an opening packet is not passed on to the upstream.
type Refusal string

// The refusals, by their names in logs.
const (
	// NotRefused: the opening is not refused.
	NotRefused Refusal = ""
	// Hopeless: the caller gives up before the answer can arrive.
	Hopeless Refusal = "hopeless"
	// Overloaded: more openings wait than can be answered in time, and this one has a low
	// standing.
	Overloaded Refusal = "overloaded"
)

const (
	// attemptMargin is the time before the end of an attempt at which an opening is passed
	// on although there is no room: the acceptance has to reach the caller.
	attemptMargin = 60 * time.Millisecond
	// optimism is the share of the expected wait that is assumed when the time that a
	// caller has left is considered: upstreams become faster as they warm up, and callers
	// ahead give up.
	optimism = 0.5
)

// Len returns the number of waiting openings.
func (o *Openings[T]) Len() int { return o.queue.Len() }

// Arrived records a request that is admitted, that waits or that is refused.
func (o *Openings[T]) Arrived(now time.Duration, r Request) {
	o.demand.Arrived(now, r.Priority)
	if r.TargetLatency > 0 && r.Timeout > 0 {
		o.routes[trackedPriority(r.Priority)] = r
	}
}

// Answered records an answered request.
func (o *Openings[T]) Answered(now time.Duration) { o.demand.Answered(now) }

// Add appends an opening whose caller abandons the attempt at the given time if it is not
// accepted.
func (o *Openings[T]) Add(r Request, attemptEnds time.Duration, item T) {
	if o.Len() == 0 {
		o.nextEnd, o.nextDeadline = math.MaxInt64, math.MaxInt64
	}
	r.attemptEnds = attemptEnds
	o.nextEnd = min(o.nextEnd, attemptEnds)
	o.nextDeadline = min(o.nextDeadline, r.lastDeadline())
	o.queue.Add(r, item)
}

// Remove removes an opening and reports whether it was waiting.
func (o *Openings[T]) Remove(item T) bool {
	return o.queue.Remove(item)
}

// SetOpen records how many requests wait on open flows for a slot, by priority.
func (o *Openings[T]) SetOpen(waiting Counts) { o.open = waiting }

// Find returns the properties of a waiting opening.
func (o *Openings[T]) Find(item T) (Request, bool) { return o.queue.find(item) }

// Next returns the opening to pass on when there is room and why it was chosen, or None if
// none waits. The opening stays in the queue.
func (o *Openings[T]) Next(now time.Duration, p Pace) (T, Choice) { return o.queue.Next(now, p) }

// AttemptEnding returns the opening whose caller abandons its attempt first, if that is about
// to happen, or None if there is none: it has to be passed on without room.
func (o *Openings[T]) AttemptEnding(now time.Duration) (item T, why Choice) {
	item, found := o.earliest(now+attemptMargin, &o.nextEnd, func(r *Request) time.Duration { return r.attemptEnds })
	if !found {
		return item, None
	}
	return item, Overdue
}

// Abandoned returns an opening whose caller has abandoned its attempt.
func (o *Openings[T]) Abandoned(now time.Duration) (item T, found bool) {
	return o.earliest(now, &o.nextEnd, func(r *Request) time.Duration { return r.attemptEnds })
}

// Hopeless returns an opening whose caller gives up before the answer can arrive, even if it
// is passed on now.
func (o *Openings[T]) Hopeless(now time.Duration, p Pace) (item T, found bool) {
	return o.earliest(now+p.Answer+transitTime, &o.nextDeadline, (*Request).lastDeadline)
}

// earliest returns the opening with the earliest time if that is before the limit. least is
// a time before which there is none; it is updated.
func (o *Openings[T]) earliest(limit time.Duration, least *time.Duration, timeOf func(*Request) time.Duration) (item T, found bool) {
	if o.Len() == 0 || limit < *least {
		return item, false
	}
	*least = math.MaxInt64
	for i := range o.queue.waiting {
		w := &o.queue.waiting[i]
		if at := timeOf(&w.Request); at < *least {
			item, *least = w.item, at
		}
	}
	return item, *least <= limit
}

// Judge reports whether an opening that arrives now is refused. ahead is the number of
// requests that the upstream processes or that wait for its slots.
func (o *Openings[T]) Judge(now time.Duration, r Request, standing Standing, p Pace, ahead int) Refusal {
	wait := o.Wait(r.Priority, p, ahead)
	switch {
	case o.yields(standing):
		o.pressures[trackedPriority(r.Priority)].prolong()
		return Overloaded
	case standing < o.Bar(p, ahead):
		return Overloaded
	case r.hopeless(now+time.Duration(optimism*float64(wait)), p):
		return Hopeless
	}
	return NotRefused
}

// yields reports whether an opening is refused because its caller has had more than its
// share while the others of its priority have not enough. Were it refused only below the bar, the
// room that others need would go to that caller whenever the bar is low.
func (o *Openings[T]) yields(s Standing) bool {
	return s.rank() == heavyRank && !o.demand.Falling() && o.pressures[trackedPriority(s.Priority())].lasting()
}

// Wait returns how long an opening of the given priority that arrives now is expected to
// wait until the upstream begins on its request. Requests of more urgent routes that arrive
// meanwhile run before it. ahead are the requests that run before it whatever their
// priority.
func (o *Openings[T]) Wait(priority uint8, p Pace, ahead int) time.Duration {
	if p.Slots == 0 {
		return 0
	}
	ahead += o.open.upTo(priority) + o.queue.counts.upTo(priority)
	behind := max(ahead-p.Slots+1, 0)
	each := p.Answer.Seconds() / float64(p.Slots) / (1 - o.demand.UrgentShare(priority, p))
	return time.Duration(float64(behind) * each * float64(time.Second))
}

// LongestWait returns the expected wait of an opening of the least urgent route.
func (o *Openings[T]) LongestWait(p Pace, ahead int) time.Duration {
	var least uint8
	for i := range o.routes {
		least = max(least, o.routes[i].Priority)
	}
	return o.Wait(least, p, ahead)
}

// Observe records how long openings wait. It has to be called with every event.
func (o *Openings[T]) Observe(now time.Duration, p Pace, ahead int) {
	for i := range o.pressures {
		r := o.routes[i]
		limit := time.Duration(lowWait * float64(inTimeWait(r, p)))
		wait := o.Wait(uint8(i), p, ahead)
		o.pressures[i].observe(now, wait, r.TargetLatency > 0 && wait > limit, r)
	}
}

// Bar returns the standing below which openings are refused, 0 if none is: all of the less
// urgent routes are refused before any opening of a more urgent one. None is refused while
// the backlog falls.
func (o *Openings[T]) Bar(p Pace, ahead int) Standing {
	if o.demand.Falling() {
		return 0
	}
	for i := range o.pressures {
		r := o.routes[i]
		share := o.pressures[i].refusedShare(r, p)
		if share > 0 {
			return StandingOf(r.Priority, uint8(share*math.MaxUint8))
		}
	}
	return 0
}

// Holds reports whether openings have to wait while there is no room: more requests have
// arrived than could be answered for longer than in a burst, or some wait already. In a
// burst flows are opened at once, as callers that give up on an open flow close it.
func (o *Openings[T]) Holds() bool {
	return o.Len() > 0 || o.lasting() && !o.demand.Falling()
}

// lasting reports whether openings have had to wait for longer than in a burst.
func (o *Openings[T]) lasting() bool {
	for i := range o.pressures {
		if o.pressures[i].lasting() {
			return true
		}
	}
	return false
}
