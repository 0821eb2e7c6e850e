package admission

import (
	"math"
	"slices"
	"time"
)

// Openings holds the opening packets that wait at an agent because its upstream has no room.
// The upstream has not seen them, so each can still be refused without harm: no request has
// run. The zero value is empty. Openings is not safe for concurrent use.
type Openings[T comparable] struct {
	queue      Queue[T]
	candidates map[T]Candidate
	demand     Demand
	// order is a buffer that is reused across calls.
	order []queued[T]
	// bar is the standing below which openings are refused, 0 for none; barAt is when it
	// was last raised or lowered. least is the lowest standing of the routes that had
	// openings.
	bar, least Standing
	barAt      time.Duration
}

// Candidate holds the properties of a waiting opening packet that decide whether it is
// refused.
type Candidate struct {
	// Standing orders the openings: the lowest is refused first.
	Standing Standing
	// AttemptEnds is when the caller abandons the attempt if it is not answered.
	AttemptEnds time.Duration
}

// queued is an opening with the time by which its request has to begin.
type queued[T comparable] struct {
	item     T
	request  *Request
	priority uint8
	due      time.Duration
}

// Refusal is the reason why a waiting opening packet is not passed on to the upstream.
type Refusal string

// The refusals, by their names in logs.
const (
	// NotRefused: no opening is to be refused.
	NotRefused Refusal = ""
	// Hopeless: the caller gives up before the answer can arrive.
	Hopeless Refusal = "hopeless"
	// Overloaded: more openings wait than can be answered within the target latency, and
	// this one has the lowest standing.
	Overloaded Refusal = "overloaded"
)

const (
	// targetSpare is the time reserved before a target latency, in mean answer times: one
	// for the answer itself and one for its variation.
	targetSpare = 2
	// lateWaitDivisor gives the share of the target latency for which an opening that is
	// late on its arrival may wait under lasting overload.
	lateWaitDivisor = 4
	// attemptMargin is the time before the end of an attempt at which an opening is passed
	// on although there is no room: the acceptance has to reach the caller.
	attemptMargin = 60 * time.Millisecond
	// optimism is the share of the expected wait that is assumed in a burst: upstreams
	// become faster as they warm up, and callers give up.
	optimism = 0.5
	// barInterval and barStep are how often and by how much the bar is lowered while
	// nothing is refused: from refusing a whole route to refusing none of it takes 4 s.
	barInterval = 125 * time.Millisecond
	barStep     = 8
)

// Len returns the number of waiting openings.
func (o *Openings[T]) Len() int { return o.queue.Len() }

// Lasting reports whether there has been more demand than room for some time.
func (o *Openings[T]) Lasting() bool { return o.demand.Lasting() }

// Demand returns the record of arrivals and answers.
func (o *Openings[T]) Demand() *Demand { return &o.demand }

// Add appends an opening.
func (o *Openings[T]) Add(r Request, c Candidate, item T) {
	if o.candidates == nil {
		o.candidates = make(map[T]Candidate)
	}
	r.Yields = c.Standing.rank() == heavyRank
	o.queue.Add(r, item)
	if floor := StandingOf(r.Priority, 0); o.least == 0 || floor < o.least {
		o.least = floor
	}
	o.candidates[item] = c
}

// Remove removes an opening and reports whether it was waiting.
func (o *Openings[T]) Remove(item T) bool {
	delete(o.candidates, item)
	return o.queue.Remove(item)
}

// Next returns the opening to pass on when there is room and why it was chosen, or None if
// none waits. The opening stays in the queue.
func (o *Openings[T]) Next(now time.Duration, p Pace) (T, Choice) {
	o.queue.LateLast, o.queue.HeavyLast = o.demand.Lasting(), o.demand.Lasting()
	return o.queue.Next(now, p)
}

// AttemptEnding returns an opening whose caller is about to abandon its attempt, and None if
// there is none: it has to be passed on without room.
func (o *Openings[T]) AttemptEnding(now time.Duration) (item T, why Choice) {
	for item, c := range o.candidates {
		if now >= c.AttemptEnds-attemptMargin {
			return item, Overdue
		}
	}
	return item, None
}

// Refuse returns an opening that has to be refused now and why. It stays in the queue. To
// refuse all, call it until it returns NotRefused. ahead is the number of requests that the
// upstream processes or that wait for its slots already.
func (o *Openings[T]) Refuse(now time.Duration, p Pace, ahead int) (item T, why Refusal) {
	if p.Slots == 0 || p.Answer == 0 || o.Len() == 0 {
		return item, NotRefused
	}
	o.collect(now, p)
	for i, q := range o.order {
		if now+o.assumed(o.wait(p, ahead+i, q.priority)) <= q.due {
			continue
		}
		victim := o.lowest(o.order[:i+1], q.priority)
		if !o.demand.Lasting() {
			return victim, Hopeless
		}
		o.raiseBar(now, o.candidates[victim].Standing)
		return victim, Overloaded
	}
	return item, NotRefused
}

// assumed returns the wait that is assumed when an opening is judged.
func (o *Openings[T]) assumed(expected time.Duration) time.Duration {
	if o.demand.Lasting() {
		return expected
	}
	return time.Duration(optimism * float64(expected))
}

// wait returns how long a request of the given priority waits behind the given number of
// requests. Requests of more urgent routes that arrive meanwhile run before it.
func (o *Openings[T]) wait(p Pace, ahead int, priority uint8) time.Duration {
	behind := max(ahead-p.Slots+1, 0)
	each := p.Answer.Seconds() / float64(p.Slots) / (1 - o.demand.UrgentShare(priority, p))
	return time.Duration(float64(behind) * each * float64(time.Second))
}

// Wait returns how long an opening of the least urgent priority that arrives now is expected
// to wait until the upstream begins on its request.
func (o *Openings[T]) Wait(p Pace, ahead int) time.Duration {
	if p.Slots == 0 {
		return 0
	}
	return o.wait(p, ahead+o.Len(), trackedPriorities)
}

// collect brings the openings into the order in which they are served.
func (o *Openings[T]) collect(now time.Duration, p Pace) {
	o.order = o.order[:0]
	for i := range o.queue.waiting {
		w := &o.queue.waiting[i]
		o.order = append(o.order, queued[T]{item: w.item, request: &w.Request, priority: w.Priority, due: o.due(&w.Request, now, p)})
	}
	slices.SortStableFunc(o.order, func(a, b queued[T]) int {
		if a.priority != b.priority {
			return int(a.priority) - int(b.priority)
		}
		return int(a.due - b.due)
	})
}

// due returns the time by which the request of an opening has to begin.
func (o *Openings[T]) due(r *Request, now time.Duration, p Pace) time.Duration {
	last := r.deadline(now) - p.Answer - transitTime
	if !o.demand.Lasting() {
		return last
	}
	inTime := r.Asked + r.TargetLatency - targetSpare*p.Answer - transitTime
	return min(last, max(inTime, r.Arrived+r.TargetLatency/lateWaitDivisor))
}

// lowest returns the opening of a priority with the lowest standing, the latest of several.
func (o *Openings[T]) lowest(among []queued[T], priority uint8) (lowest T) {
	least := Standing(math.MaxUint16)
	for _, q := range among {
		if s := o.candidates[q.item].Standing; q.priority == priority && s <= least {
			lowest, least = q.item, s
		}
	}
	return lowest
}

// raiseBar records that an opening of the given standing is refused for lack of room.
func (o *Openings[T]) raiseBar(now time.Duration, refused Standing) {
	o.bar, o.barAt = max(o.bar, refused), now
}

// Observe updates the record of demand and lowers the bar while nothing is refused. It has
// to be called with every event.
func (o *Openings[T]) Observe(now time.Duration, p Pace, ahead int) {
	o.demand.Observe(now, o.waits(p, ahead))
	for o.bar != 0 && now-o.barAt >= barInterval {
		o.barAt += barInterval
		o.bar -= min(o.bar, barStep)
		if o.bar < o.least {
			o.bar = 0
		}
	}
}

// waits reports whether the openings wait for a large part of the target latency of one of
// them.
func (o *Openings[T]) waits(p Pace, ahead int) bool {
	expected := o.Wait(p, ahead)
	for i := range o.queue.waiting {
		if expected > o.queue.waiting[i].TargetLatency/2 {
			return true
		}
	}
	return false
}

// Bar returns the standing below which openings are refused, 0 if none is.
func (o *Openings[T]) Bar() Standing {
	if !o.demand.Lasting() {
		return 0
	}
	return o.bar
}
