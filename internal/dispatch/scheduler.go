package dispatch

import (
	"math/rand/v2"
	"time"
)

// probeOneIn is the share of movable requests that an unhealthy upstream keeps:
// one in so many.
const probeOneIn = 10

// Options choose between policies.
type Options struct {
	// IgnoreDeadlines admits by the length of the queue alone. It exists to
	// measure what shedding by deadline is worth.
	IgnoreDeadlines bool
	// Alone keeps all requests at this agent. It exists to measure what
	// siblings are worth.
	Alone bool
}

// Scheduler is the state of one agent. The actions that a method returns are
// valid until the next call.
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

// New returns the scheduler of an agent whose upstream is idle. The epoch
// must rise with each start of the agent: siblings take the standing with the
// highest number, and numbers start at the epoch.
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

// Arrive takes a request of the agent's own callers.
func (s *Scheduler) Arrive(now time.Time, r Request) []Action {
	s.begin()
	if !s.placeNow(now, r) {
		s.admit(now, r)
	}
	return s.finish(now)
}

// Done frees the slot of a request. Only whole answers count as observed
// service times: a fast error tells nothing of them.
func (s *Scheduler) Done(now time.Time, id ID, service time.Duration, whole bool) []Action {
	s.begin()
	if _, ok := s.running[id]; ok {
		delete(s.running, id)
		if whole {
			s.est.observe(service)
		}
	}
	return s.finish(now)
}

// Remove takes a request out of the queue. It reports false when the request
// wasn't waiting (any more): it was started, pushed, refused or never there.
func (s *Scheduler) Remove(now time.Time, id ID) (actions []Action, wasQueued bool) {
	s.begin()
	wasQueued = s.queue.remove(id)
	return s.finish(now), wasQueued
}

// Tick refuses requests whose deadline passed and drops reservations that
// expired. It is due at NextWake, and harmless at any time.
func (s *Scheduler) Tick(now time.Time) []Action {
	s.begin()
	return s.finish(now)
}

// NextWake returns when Tick is due next, if ever.
func (s *Scheduler) NextWake() (at time.Time, ok bool) {
	at, ok = s.queue.nextDeadline()
	for _, r := range s.reserved {
		if !ok || r.until.Before(at) {
			at, ok = r.until, true
		}
	}
	return at, ok
}

// OpenFeed takes a connection for a feed, or refuses it.
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

// CloseFeed gives the connection of a feed back.
func (s *Scheduler) CloseFeed(id ID) { delete(s.feeds, id) }

// SetLimits takes new limits into force; what is running goes on.
func (s *Scheduler) SetLimits(now time.Time, limits Limits) []Action {
	s.begin()
	if s.slots == s.limits.Slots {
		s.slots = limits.Slots
	}
	s.limits = limits
	s.slots = min(s.slots, limits.Slots)
	return s.finish(now)
}

// SetHealth sets the slots that the upstream has earned (at least one, so that
// it can show itself healthy again) and whether it may draw work of siblings.
func (s *Scheduler) SetHealth(now time.Time, slots int, draws bool) []Action {
	s.begin()
	s.slots = min(max(slots, 1), s.limits.Slots)
	s.draws = draws
	return s.finish(now)
}

// Drain ends the intake: what was admitted still runs.
func (s *Scheduler) Drain(now time.Time) []Action {
	s.begin()
	s.draining = true
	return s.finish(now)
}

// Load is what the agent has in hand.
type Load struct{ Running, Queued, Feeds, Slots int }

// Load returns the present load.
func (s *Scheduler) Load() Load {
	return Load{Running: len(s.running), Queued: s.queue.len(), Feeds: len(s.feeds), Slots: s.slots}
}

func (s *Scheduler) begin() { s.out = s.out[:0] }

// finish brings the state to rest: nothing waits that could start, and the
// siblings know of the change.
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

// placeNow starts or pushes a request that needn't wait.
func (s *Scheduler) placeNow(now time.Time, r Request) bool {
	preferSibling := r.Movable && (r.Elsewhere || s.draining || s.avoidsUpstream())
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

// avoidsUpstream reports whether a request should rather not run here: the upstream's
// outcomes are bad. Some still do, or the upstream could not show itself
// healthy again.
func (s *Scheduler) avoidsUpstream() bool {
	return !s.draws && s.rng.IntN(probeOneIn) != 0
}

// admit queues a request that can still make its deadline, or refuses it.
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

// tooLate reports whether a request that starts after so many others is
// expected to miss its deadline.
func (s *Scheduler) tooLate(now time.Time, r *Request, ahead int) bool {
	need := s.est.wait(ahead, s.slots, r.Priority) + s.est.service
	return now.Add(need).After(r.Deadline)
}

// displace makes room for r by refusing the last request in the queue, if that
// one is less urgent.
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

// takeSlot reports whether a slot is free for a request that is at hand. Such
// a request goes before one that a sibling may send: a slot that waits for a
// message does no work.
func (s *Scheduler) takeSlot() bool {
	if len(s.running) >= s.slots {
		return false
	}
	if s.free() <= 0 {
		s.displaceReservation()
	}
	return true
}

// free is the number of slots that are neither taken nor held.
func (s *Scheduler) free() int {
	return s.slots - len(s.running) - s.heldSlots()
}
