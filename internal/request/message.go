package request

import (
	"time"

	"github.com/saltbend/saltbend/internal/dispatch"
)

// arrival is the message that submits a job from one of the agent's own callers.
type arrival struct {
	job     *job
	request dispatch.Request
}

func (m arrival) apply(e *engine, now time.Time) []dispatch.Action {
	e.jobs[m.request.ID] = m.job
	return e.sched.Arrive(now, m.request)
}

// movedArrival is the message that submits a job that a sibling owns.
type movedArrival struct {
	job     *job
	request dispatch.Request
	push    pushArgs
}

// pushArgs are the parameters of a sibling's push besides the request.
type pushArgs struct {
	from     dispatch.Sibling
	under    dispatch.Reservation
	admit    bool
	standing dispatch.Standing
}

func (m movedArrival) apply(e *engine, now time.Time) []dispatch.Action {
	e.jobs[m.request.ID] = m.job
	e.deliver(e.sched.ReceiveStanding(now, m.push.from, m.push.standing))
	return e.sched.ArriveMoved(now, m.request, m.push.under, m.push.admit)
}

// ended is the message that frees the slot of a job whose run has ended.
type ended struct {
	id       dispatch.ID
	service  time.Duration
	complete bool
}

func (m ended) apply(e *engine, now time.Time) []dispatch.Action {
	delete(e.jobs, m.id)
	return e.sched.Done(now, m.id, m.service, m.complete)
}

// returned is the message that gives a pushed job back to the scheduler, because the
// sibling refused to run it.
type returned struct{ id dispatch.ID }

func (m returned) apply(e *engine, now time.Time) []dispatch.Action {
	return e.sched.Returned(now, m.id)
}

// settled is the message that ends a pushed job.
type settled struct{ id dispatch.ID }

func (m settled) apply(e *engine, now time.Time) []dispatch.Action {
	delete(e.jobs, m.id)
	return e.sched.Settled(now, m.id)
}

// removal is the message that removes a job from the queue. The reply reports whether
// the job was queued.
type removal struct {
	id    dispatch.ID
	reply chan<- bool
}

func (m removal) apply(e *engine, now time.Time) []dispatch.Action {
	actions, wasQueued := e.sched.Remove(now, m.id)
	if wasQueued {
		delete(e.jobs, m.id)
	}
	m.reply <- wasQueued
	return actions
}

// feedOpening is the message that requests a connection for a feed.
type feedOpening struct{ job *job }

func (m feedOpening) apply(e *engine, now time.Time) []dispatch.Action {
	e.jobs[m.job.id] = m.job
	return e.sched.OpenFeed(now, m.job.id)
}

// feedClosing is the message that releases the connection of a feed.
type feedClosing struct{ id dispatch.ID }

func (m feedClosing) apply(e *engine, _ time.Time) []dispatch.Action {
	delete(e.jobs, m.id)
	e.sched.CloseFeed(m.id)
	return nil
}

// serviceUpdate is the message with the present limits and siblings of the service.
type serviceUpdate struct {
	limits   dispatch.Limits
	siblings []dispatch.Sibling
}

func (m serviceUpdate) apply(e *engine, now time.Time) []dispatch.Action {
	e.deliver(e.sched.SetLimits(now, m.limits))
	return e.sched.SetSiblings(now, m.siblings)
}

// healthChanged is the message with the number of slots, and the willingness to take
// siblings' requests, that result from the upstream's health.
type healthChanged struct {
	slots int
	draws bool
}

func (m healthChanged) apply(e *engine, now time.Time) []dispatch.Action {
	return e.sched.SetHealth(now, m.slots, m.draws)
}

// connectionsChanged is the message with the number of connections from callers.
type connectionsChanged struct{ connections int }

func (m connectionsChanged) apply(e *engine, now time.Time) []dispatch.Action {
	return e.sched.SetConnections(now, m.connections)
}

// draining is the message that stops the admission of requests.
type draining struct{}

func (draining) apply(e *engine, now time.Time) []dispatch.Action {
	return e.sched.Drain(now)
}

// standingReceived is the message with a standing received from a sibling.
type standingReceived struct {
	from     dispatch.Sibling
	standing dispatch.Standing
}

func (m standingReceived) apply(e *engine, now time.Time) []dispatch.Action {
	return e.sched.ReceiveStanding(now, m.from, m.standing)
}

// offered is the message with a sibling's offer of a reserved slot.
type offered struct {
	standingReceived
	held dispatch.Reservation
}

func (m offered) apply(e *engine, now time.Time) []dispatch.Action {
	e.deliver(m.standingReceived.apply(e, now))
	return e.sched.SlotOffered(now, m.from, m.held)
}

// declined is the message that ends a reservation of this agent, because the sibling
// declined it or could not be reached. If the sibling could not be reached, the message
// has no standing: Seq is 0.
type declined struct {
	standingReceived
	held dispatch.Reservation
}

func (m declined) apply(e *engine, now time.Time) []dispatch.Action {
	actions := e.sched.ReservationDeclined(now, m.from, m.held)
	if m.standing.Seq == 0 {
		return actions
	}
	e.deliver(actions)
	return m.standingReceived.apply(e, now)
}
