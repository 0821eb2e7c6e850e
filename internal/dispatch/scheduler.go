package dispatch

import (
	"math/rand/v2"
	"time"
)

// probeOneIn sets how many movable requests still run on an unhealthy upstream to
// detect its recovery: one in probeOneIn.
const probeOneIn = 10

// Options disable parts of the scheduling. They exist for comparisons in simulations.
type Options struct {
	// IgnoreDeadlines admits requests by the length of the queue alone. It serves
	// to measure the benefit of load shedding by deadline.
	IgnoreDeadlines bool
	// LocalOnly runs all requests at this agent and exchanges nothing with siblings.
	// It serves to measure the benefit of siblings.
	LocalOnly bool
}

// Scheduler holds the scheduling state of one agent. The slice of actions that a method
// returns is valid until the next call.
type Scheduler struct {
	limits  Limits
	options Options
	rng     *rand.Rand

	queue   queue
	running map[ID]Request
	pushed  map[ID]pushed
	feeds   map[ID]struct{}
	est     estimate

	slots    int
	draws    bool
	draining bool

	connections int

	group    group
	reserved map[Reservation]reservation
	lastID   Reservation
	seq      uint64
	out      []Action
}

// New returns the scheduler of an agent with an idle upstream. The sequence numbers of
// the agent's standings start at the epoch. The epoch must increase with each start of the
// agent, because siblings ignore a standing whose number isn't above the last one.
func New(limits Limits, epoch uint64, rng *rand.Rand, options Options) *Scheduler {
	return &Scheduler{
		limits:   limits,
		options:  options,
		rng:      rng,
		running:  map[ID]Request{},
		pushed:   map[ID]pushed{},
		feeds:    map[ID]struct{}{},
		est:      newEstimate(),
		slots:    limits.Slots,
		draws:    true,
		seq:      epoch,
		reserved: map[Reservation]reservation{},
	}
}

// Arrive handles a new request from one of the agent's own callers.
func (s *Scheduler) Arrive(now time.Time, r Request) []Action {
	s.begin()
	if !s.placeNow(now, r) {
		s.admit(now, r)
	}
	return s.finish(now)
}

// Done frees the slot of a request. Only complete answers count as observed service
// times, because a fast error says nothing about them.
func (s *Scheduler) Done(now time.Time, id ID, service time.Duration, complete bool) []Action {
	s.begin()
	if _, ok := s.running[id]; ok {
		delete(s.running, id)
		if complete {
			s.est.observe(service)
		}
	}
	return s.finish(now)
}

// Remove removes a request from the queue. wasQueued is false if the request isn't
// queued: it has been started, pushed or refused, or is unknown.
func (s *Scheduler) Remove(now time.Time, id ID) (actions []Action, wasQueued bool) {
	s.begin()
	wasQueued = s.queue.remove(id)
	return s.finish(now), wasQueued
}

// Tick refuses queued requests whose deadline has passed and drops expired
// reservations. It has to be called at NextWake; further calls do no harm.
func (s *Scheduler) Tick(now time.Time) []Action {
	s.begin()
	return s.finish(now)
}

// NextWake returns when Tick has to be called next; ok is false if no call is needed.
func (s *Scheduler) NextWake() (at time.Time, ok bool) {
	at, ok = s.queue.nextDeadline()
	for _, r := range s.reserved {
		if !ok || r.until.Before(at) {
			at, ok = r.until, true
		}
	}
	return at, ok
}

// OpenFeed starts a feed or refuses it. A feed takes one of the limited feed
// connections and no slot.
func (s *Scheduler) OpenFeed(now time.Time, id ID) []Action {
	s.begin()
	switch {
	case s.draining:
		s.refuse(id, 0, ReasonDraining)
	case len(s.feeds) >= s.limits.Feeds:
		s.refuse(id, 0, ReasonFeeds)
	default:
		s.feeds[id] = struct{}{}
		s.emit(Start{ID: id})
	}
	return s.finish(now)
}

// CloseFeed releases the connection of a feed.
func (s *Scheduler) CloseFeed(id ID) { delete(s.feeds, id) }

// SetLimits applies new limits. Requests that are already running continue.
func (s *Scheduler) SetLimits(now time.Time, limits Limits) []Action {
	s.begin()
	if s.slots == s.limits.Slots {
		s.slots = limits.Slots
	}
	s.limits = limits
	s.slots = min(s.slots, limits.Slots)
	return s.finish(now)
}

// SetHealth sets the number of slots that the upstream's health allows, and whether
// siblings may send requests here. At least one slot stays in use, because an upstream
// without requests could not prove that it has recovered.
func (s *Scheduler) SetHealth(now time.Time, slots int, draws bool) []Action {
	s.begin()
	s.slots = min(max(slots, 1), s.limits.Slots)
	s.draws = draws
	return s.finish(now)
}

// Drain stops the admission of requests. Requests that are already admitted still run.
func (s *Scheduler) Drain(now time.Time) []Action {
	s.begin()
	s.draining = true
	return s.finish(now)
}

// Load is the number of running and queued requests, open feeds and usable slots of the
// agent.
type Load struct{ Running, Queued, Feeds, Slots int }

// Load returns the present load of the agent.
func (s *Scheduler) Load() Load {
	return Load{Running: len(s.running), Queued: s.queue.len(), Feeds: len(s.feeds), Slots: s.slots}
}

func (s *Scheduler) begin() { s.out = s.out[:0] }

// finish starts, pushes and pulls requests until nothing more can start, then announces
// the changes to the siblings. Every exported method that changes the state ends with
// it, except CloseFeed.
func (s *Scheduler) finish(now time.Time) []Action {
	s.expire(now)
	s.fill(now)
	s.pushQueued(now)
	s.pullQueued(now)
	s.announce(now)
	return s.out
}

func (s *Scheduler) emit(a Action) { s.out = append(s.out, a) }

func (s *Scheduler) refuse(id ID, priority int, reason Reason) {
	after := s.est.retryAfter(s.queue.len(), s.slots, priority)
	s.emit(Refuse{ID: id, Reason: reason, RetryAfter: after})
}

// placeNow starts, pushes or refuses a request that doesn't have to wait. It returns
// false if the request has to be queued.
func (s *Scheduler) placeNow(now time.Time, r Request) bool {
	preferSibling := r.Movable && (r.PreferSibling || s.draining || s.avoidsUpstream())
	if preferSibling && s.pushAnywhere(now, r) {
		return true
	}
	if s.draining {
		s.refuse(r.ID, r.Priority, ReasonDraining)
		return true
	}
	if s.queue.position(&r) > 0 {
		return false
	}
	if s.takeSlot() {
		s.start(r)
		return true
	}
	return r.Movable && s.pushIdle(now, r, false)
}

// avoidsUpstream reports whether a movable request should go to a sibling because the
// local upstream is unhealthy. One in probeOneIn requests still runs here; otherwise a
// recovery of the upstream would not be detected.
func (s *Scheduler) avoidsUpstream() bool {
	return !s.draws && s.rng.IntN(probeOneIn) != 0
}

// admit queues a request, or refuses it if it is expected to miss its deadline or the
// queue is full.
func (s *Scheduler) admit(now time.Time, r Request) {
	ahead := s.queue.position(&r)
	if !s.options.IgnoreDeadlines && s.tooLate(now, &r, ahead) {
		s.refuse(r.ID, r.Priority, ReasonTooLate)
		return
	}
	if s.queue.len() >= s.limits.Queue && !s.displace(&r) {
		s.refuse(r.ID, r.Priority, ReasonQueueFull)
		return
	}
	s.queue.push(r)
}

// tooLate reports whether a request with the given number of requests ahead of it is
// expected to miss its deadline.
func (s *Scheduler) tooLate(now time.Time, r *Request, ahead int) bool {
	need := s.est.wait(ahead, s.slots, r.Priority) + s.est.service
	return now.Add(need).After(r.Deadline)
}

// displace makes room for r by refusing the last request in the queue. It returns false
// if that request isn't less urgent than r.
func (s *Scheduler) displace(r *Request) bool {
	last := s.queue.len() - 1
	if last < 0 || s.queue.waiting[last].Priority <= r.Priority {
		return false
	}
	displaced := s.queue.removeAt(last)
	s.refuse(displaced.ID, displaced.Priority, ReasonDisplaced)
	return true
}

func (s *Scheduler) expire(now time.Time) {
	for _, r := range s.queue.expired(now) {
		s.refuse(r.ID, r.Priority, ReasonExpired)
	}
	for id, r := range s.reserved {
		if !r.until.After(now) {
			delete(s.reserved, id)
		}
	}
}

// fill starts waiting requests while slots are free.
func (s *Scheduler) fill(now time.Time) {
	for s.queue.len() > 0 && s.takeSlot() {
		s.start(s.queue.removeAt(0))
	}
}

func (s *Scheduler) start(r Request) {
	s.running[r.ID] = r
	s.est.started(r.Priority)
	s.emit(Start{ID: r.ID})
}

// takeSlot reports whether a slot is available for a request that is already here. If
// all idle slots are reserved for siblings' requests, it takes one away from the newest
// reservation, because a reserved slot is idle until the sibling's request arrives.
func (s *Scheduler) takeSlot() bool {
	if len(s.running) >= s.slots {
		return false
	}
	if s.free() <= 0 {
		s.displaceReservation()
	}
	return true
}

// free returns the number of slots that are neither occupied nor reserved.
func (s *Scheduler) free() int {
	return s.slots - len(s.running) - s.heldSlots()
}
