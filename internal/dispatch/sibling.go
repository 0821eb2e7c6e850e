package dispatch

import (
	"slices"
	"time"
)

const (
	// claimLife bounds how long a sibling's word about idle slots is acted on.
	claimLife = 250 * time.Millisecond
	// maxAhead is the number of siblings' requests that wait here for the next
	// slot, so that a slot is in use while messages travel.
	maxAhead = 1
	// maxStrangers bounds what is kept of agents that aren't known yet.
	maxStrangers = 64
	// reservationLife is how long a slot is held for a sibling's request: some
	// round trips between data centres.
	reservationLife = 25 * time.Millisecond
)

// reservation is a slot that is held for a sibling's request.
type reservation struct {
	from  Sibling
	until time.Time
	// displaced reservations lost their slot to a request at hand; what comes
	// under them waits in the queue.
	displaced bool
}

// pushed is a request that runs, or is on its way, at a sibling.
type pushed struct {
	request Request
	to      Sibling
	// admit requests came while draining, or failed here: if the sibling
	// doesn't take them, a draining agent gives them up.
	admit bool
}

// view is what the agent knows of one sibling.
type view struct {
	addr    Sibling
	heard   Standing
	expires time.Time
	// told is what the sibling was last told.
	told Standing
	// spoken tells that heard is the sibling's own word.
	spoken bool
	// oldest is when the first of its waiting requests arrived.
	oldest time.Time
}

// group is the known siblings, in the order of their addresses so that equal
// inputs give equal actions.
type group struct {
	views []view
	// strangers have spoken before this agent learnt that they are siblings.
	strangers map[Sibling]Standing
}

func (g *group) find(addr Sibling) *view {
	i, ok := slices.BinarySearchFunc(g.views, addr, func(v view, a Sibling) int { return v.addr.Compare(a) })
	if !ok {
		return nil
	}
	return &g.views[i]
}

// join returns the view of a sibling: the one at hand, or a new one that is
// taken for willing until it says otherwise.
func (g *group) join(now time.Time, addr Sibling) view {
	if old := g.find(addr); old != nil {
		return *old
	}
	heard, ok := g.strangers[addr]
	if !ok {
		heard = Standing{Draws: true}
	}
	return view{addr: addr, heard: heard, spoken: ok, expires: now.Add(claimLife)}
}

func (g *group) keepStranger(addr Sibling, standing Standing) {
	if g.strangers == nil {
		g.strangers = map[Sibling]Standing{}
	}
	if _, known := g.strangers[addr]; known || len(g.strangers) < maxStrangers {
		g.strangers[addr] = standing
	}
}

// SetSiblings sets the other ready agents of the service.
func (s *Scheduler) SetSiblings(now time.Time, siblings []Sibling) []Action {
	s.begin()
	next := make([]view, 0, len(siblings))
	for _, addr := range siblings {
		next = append(next, s.group.join(now, addr))
	}
	s.group.strangers = nil
	slices.SortFunc(next, func(a, b view) int { return a.addr.Compare(b.addr) })
	s.group.views = next
	return s.finish(now)
}

// Heard takes a sibling's standing.
func (s *Scheduler) Heard(now time.Time, from Sibling, standing Standing) []Action {
	s.begin()
	s.hear(now, from, standing)
	return s.finish(now)
}

func (s *Scheduler) hear(now time.Time, from Sibling, standing Standing) {
	v := s.group.find(from)
	if v == nil {
		s.group.keepStranger(from, standing)
		return
	}
	if standing.Seq <= v.heard.Seq {
		return
	}
	v.heard = standing
	v.spoken = true
	v.expires = now.Add(claimLife)
	v.oldest = now.Add(-standing.Waited)
}

// ArriveMoved takes a request that a sibling owns. It starts, or waits where
// it came under a reservation or with admit, or is refused as busy.
func (s *Scheduler) ArriveMoved(now time.Time, r Request, under Reservation, admit bool) []Action {
	s.begin()
	r.Movable, r.moved = false, true
	_, invited := s.reserved[under]
	delete(s.reserved, under)
	switch {
	case s.draining && !invited:
		s.refuse(r.ID, r.Priority, ReasonDraining)
	case s.queue.position(&r) == 0 && s.takeSlot():
		s.start(r)
	case invited:
		s.queue.push(r)
	case admit:
		s.admit(now, r)
	default:
		s.refuse(r.ID, r.Priority, ReasonBusy)
	}
	return s.finish(now)
}

// Offered takes a sibling's reservation for one of the waiting requests. The
// actions hold a Push under it, or a Decline.
func (s *Scheduler) Offered(now time.Time, from Sibling, held Reservation) []Action {
	s.begin()
	s.expire(now)
	if i := s.queue.firstMovable(); i >= 0 {
		s.push(now, s.queue.removeAt(i), Push{To: from, Reservation: held})
	} else {
		s.emit(Decline{To: from, Reservation: held, Standing: s.standing(now, from)})
	}
	return s.finish(now)
}

// Declined ends a reservation that the sibling has no use for.
func (s *Scheduler) Declined(now time.Time, from Sibling, held Reservation) []Action {
	s.begin()
	delete(s.reserved, held)
	if v := s.group.find(from); v != nil {
		v.heard.Queued = 0
	}
	return s.finish(now)
}

// Settled ends a pushed request: the sibling has answered or can't.
func (s *Scheduler) Settled(now time.Time, id ID) []Action {
	s.begin()
	delete(s.pushed, id)
	return s.finish(now)
}

// Returned takes back a pushed request that the sibling surely didn't run. It
// keeps its place by its arrival.
func (s *Scheduler) Returned(now time.Time, id ID) []Action {
	s.begin()
	p, ok := s.pushed[id]
	if !ok {
		return s.finish(now)
	}
	delete(s.pushed, id)
	if v := s.group.find(p.to); v != nil {
		v.heard.Idle = 0
	}
	if p.admit && s.draining {
		s.refuse(id, p.request.Priority, ReasonDraining)
		return s.finish(now)
	}
	p.request.Elsewhere = false
	s.queue.push(p.request)
	return s.finish(now)
}

// pushIdle pushes r to a sibling that has an idle slot. With admit it stays
// there though the slot may be taken by then.
func (s *Scheduler) pushIdle(now time.Time, r Request, admit bool) bool {
	v := s.pickIdle(now)
	if v == nil {
		return false
	}
	v.heard.Idle--
	s.push(now, r, Push{To: v.addr, Admit: admit})
	return true
}

// pushAnywhere pushes r to an idle sibling, else to the one with the shortest
// queue.
func (s *Scheduler) pushAnywhere(now time.Time, r Request) bool {
	if s.pushIdle(now, r, true) {
		return true
	}
	var best *view
	for i := range s.group.views {
		v := &s.group.views[i]
		if v.heard.Draws && (best == nil || v.heard.Queued < best.heard.Queued) {
			best = v
		}
	}
	if best == nil || s.options.Alone {
		return false
	}
	best.heard.Queued++
	s.push(now, r, Push{To: best.addr, Admit: true})
	return true
}

func (s *Scheduler) push(now time.Time, r Request, p Push) {
	p.ID = r.ID
	p.Standing = s.standing(now, p.To)
	s.pushed[r.ID] = pushed{request: r, to: p.To, admit: p.Admit}
	s.emit(p)
}

// pickIdle draws one of the known idle slots of siblings at random: a fixed
// order would send all agents to the same sibling.
func (s *Scheduler) pickIdle(now time.Time) *view {
	total := 0
	for i := range s.group.views {
		total += s.group.views[i].idle(now)
	}
	if total == 0 || s.options.Alone {
		return nil
	}
	at := s.rng.IntN(total)
	for i := range s.group.views {
		v := &s.group.views[i]
		if at -= v.idle(now); at < 0 {
			return v
		}
	}
	return nil
}

func (v *view) idle(now time.Time) int {
	if !v.heard.Draws || !now.Before(v.expires) {
		return 0
	}
	return max(v.heard.Idle, 0)
}

// moveOut pushes waiting requests to siblings that are known to be idle.
func (s *Scheduler) moveOut(now time.Time) {
	for {
		i := s.queue.firstMovable()
		if i < 0 {
			return
		}
		v := s.pickIdle(now)
		if v == nil {
			return
		}
		v.heard.Idle--
		s.push(now, s.queue.removeAt(i), Push{To: v.addr})
	}
}

// moveIn offers free slots to siblings that have told of a queue: the most
// urgent first, then the longest.
func (s *Scheduler) moveIn(now time.Time) {
	if s.draining || !s.draws || s.options.Alone {
		return
	}
	for s.free() > 0 {
		v := s.longest()
		if v == nil {
			return
		}
		s.pull(now, v, false)
	}
	if s.ahead() >= maxAhead {
		return
	}
	if v := s.longest(); v != nil && s.behind(v) {
		s.pull(now, v, true)
	}
}

// pull offers a slot to the sibling: one that is held for it, or the next to
// fall free.
func (s *Scheduler) pull(now time.Time, v *view, ahead bool) {
	v.heard.Queued--
	s.lastID++
	s.reserved[s.lastID] = reservation{from: v.addr, until: now.Add(reservationLife), displaced: ahead}
	s.emit(Pull{From: v.addr, Reservation: s.lastID, Standing: s.standing(now, v.addr)})
}

// ahead counts the requests of siblings that wait here or are to come without
// a slot that is held for them.
func (s *Scheduler) ahead() int {
	n := 0
	for _, r := range s.reserved {
		if r.displaced {
			n++
		}
	}
	for i := range s.queue.waiting {
		if s.queue.waiting[i].moved {
			n++
		}
	}
	return n
}

// behind reports whether the sibling's first waiting request should start
// before all that wait here.
func (s *Scheduler) behind(v *view) bool {
	if s.queue.len() == 0 {
		return true
	}
	first := &s.queue.waiting[0]
	if v.heard.Priority != first.Priority {
		return v.heard.Priority < first.Priority
	}
	return v.oldest.Before(first.Arrived)
}

func (s *Scheduler) longest() *view {
	var best *view
	for i := range s.group.views {
		v := &s.group.views[i]
		if v.heard.Queued > 0 && (best == nil || v.moreNeedy(best)) {
			best = v
		}
	}
	return best
}

func (v *view) moreNeedy(o *view) bool {
	if v.heard.Priority != o.heard.Priority {
		return v.heard.Priority < o.heard.Priority
	}
	return v.oldest.Before(o.oldest)
}

// held is the number of slots that wait for a sibling's request.
func (s *Scheduler) held() int {
	n := 0
	for _, r := range s.reserved {
		if !r.displaced {
			n++
		}
	}
	return n
}

// displaceReservation takes the slot of the newest reservation.
func (s *Scheduler) displaceReservation() {
	var newest Reservation
	for id, r := range s.reserved {
		if !r.displaced {
			newest = max(newest, id)
		}
	}
	if r, ok := s.reserved[newest]; ok {
		r.displaced = true
		s.reserved[newest] = r
	}
}

// announce tells each sibling what it needs to know and doesn't yet. Numbers in
// between aren't worth a message of their own.
func (s *Scheduler) announce(now time.Time) {
	if s.options.Alone {
		return
	}
	for i := range s.group.views {
		v := &s.group.views[i]
		if s.outOfDate(v) {
			s.emit(Announce{To: v.addr, Standing: s.standing(now, v.addr)})
		}
	}
}

// outOfDate reports whether the sibling would act otherwise if it knew how the
// agent stands. Idle slots matter while one of the two has some and the other
// none, or where the sibling may still believe in some.
func (s *Scheduler) outOfDate(v *view) bool {
	switch {
	case s.willing() != v.told.Draws, s.connectionsMoved(v):
		return true
	case s.queue.movable > 0 && v.told.Queued == 0:
		return true
	default:
		return edge(s.idle(), v.told.Idle) && (v.heard.Idle <= 0 || s.idle() == 0)
	}
}

func edge(a, b int) bool { return (a == 0) != (b == 0) }

// willing reports whether siblings may hand work to the agent.
func (s *Scheduler) willing() bool { return s.draws && !s.draining }

// idle is the number of slots that siblings may have.
func (s *Scheduler) idle() int {
	if !s.willing() {
		return 0
	}
	return max(s.free(), 0)
}

// standing returns how the agent stands now, under a number of its own, to be
// sent to the sibling.
func (s *Scheduler) standing(now time.Time, to Sibling) Standing {
	s.seq++
	st := Standing{Seq: s.seq, Idle: s.idle(), Queued: s.queue.movable, Connections: s.connections, Draws: s.willing()}
	if i := s.queue.firstMovable(); i >= 0 {
		st.Priority = s.queue.waiting[i].Priority
		st.Waited = now.Sub(s.queue.waiting[i].Arrived)
	}
	if v := s.group.find(to); v != nil {
		v.told = st
	}
	return st
}
