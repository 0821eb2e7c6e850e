package request

import (
	"time"

	"github.com/saltbend/saltbend/internal/dispatch"
)

// arrival submits a job of an own caller.
type arrival struct {
	job     *job
	request dispatch.Request
}

func (m arrival) apply(e *engine, now time.Time) []dispatch.Action {
	e.jobs[m.request.ID] = m.job
	return e.sched.Arrive(now, m.request)
}

// movedArrival submits a job that a sibling owns.
type movedArrival struct {
	job     *job
	request dispatch.Request
	push    pushArgs
}

// pushArgs is what a sibling's push says besides the request.
type pushArgs struct {
	from     dispatch.Sibling
	under    dispatch.Reservation
	admit    bool
	standing dispatch.Standing
}

func (m movedArrival) apply(e *engine, now time.Time) []dispatch.Action {
	e.jobs[m.request.ID] = m.job
	e.deliver(e.sched.Heard(now, m.push.from, m.push.standing))
	return e.sched.ArriveMoved(now, m.request, m.push.under, m.push.admit)
}

// ended frees the slot of a started job.
type ended struct {
	id      dispatch.ID
	service time.Duration
	whole   bool
}

func (m ended) apply(e *engine, now time.Time) []dispatch.Action {
	delete(e.jobs, m.id)
	return e.sched.Done(now, m.id, m.service, m.whole)
}

// returned takes back a pushed job that the sibling didn't run.
type returned struct{ id dispatch.ID }

func (m returned) apply(e *engine, now time.Time) []dispatch.Action {
	return e.sched.Returned(now, m.id)
}

// settled ends a pushed job.
type settled struct{ id dispatch.ID }

func (m settled) apply(e *engine, now time.Time) []dispatch.Action {
	delete(e.jobs, m.id)
	return e.sched.Settled(now, m.id)
}

// removal takes a job out of the queue; reply tells whether it was there.
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

// feedOpening asks for a connection for a feed.
type feedOpening struct{ job *job }

func (m feedOpening) apply(e *engine, now time.Time) []dispatch.Action {
	e.jobs[m.job.id] = m.job
	return e.sched.OpenFeed(now, m.job.id)
}

// feedClosing gives it back.
type feedClosing struct{ id dispatch.ID }

func (m feedClosing) apply(e *engine, _ time.Time) []dispatch.Action {
	delete(e.jobs, m.id)
	e.sched.CloseFeed(m.id)
	return nil
}

// serviceUpdate is a change of what the agent knows of its service.
type serviceUpdate struct {
	limits   dispatch.Limits
	siblings []dispatch.Sibling
}

func (m serviceUpdate) apply(e *engine, now time.Time) []dispatch.Action {
	e.deliver(e.sched.SetLimits(now, m.limits))
	return e.sched.SetSiblings(now, m.siblings)
}

// healthChanged tells what the upstream's health allows.
type healthChanged struct {
	slots int
	draws bool
}

func (m healthChanged) apply(e *engine, now time.Time) []dispatch.Action {
	return e.sched.SetHealth(now, m.slots, m.draws)
}

// connectionsChanged is the number of callers' connections.
type connectionsChanged struct{ connections int }

func (m connectionsChanged) apply(e *engine, now time.Time) []dispatch.Action {
	return e.sched.SetConnections(now, m.connections)
}

// draining ends the intake.
type draining struct{}

func (draining) apply(e *engine, now time.Time) []dispatch.Action {
	return e.sched.Drain(now)
}

// standingReceived is a sibling's standing.
type standingReceived struct {
	from     dispatch.Sibling
	standing dispatch.Standing
}

func (m standingReceived) apply(e *engine, now time.Time) []dispatch.Action {
	return e.sched.Heard(now, m.from, m.standing)
}

// offered is a sibling's reserved slot.
type offered struct {
	standingReceived
	held dispatch.Reservation
}

func (m offered) apply(e *engine, now time.Time) []dispatch.Action {
	e.deliver(m.standingReceived.apply(e, now))
	return e.sched.Offered(now, m.from, m.held)
}

// declined ends a reservation of this agent.
type declined struct {
	standingReceived
	held dispatch.Reservation
}

func (m declined) apply(e *engine, now time.Time) []dispatch.Action {
	actions := e.sched.Declined(now, m.from, m.held)
	if m.standing.Seq == 0 {
		return actions
	}
	e.deliver(actions)
	return m.standingReceived.apply(e, now)
}
