package dispatch

import (
	"time"
)

// pushIdle pushes r to a sibling with an idle slot and reports whether there was one.
// With admit, the sibling queues the request if the slot is taken when it arrives.
func (s *Scheduler) pushIdle(now time.Time, r Request, admit bool) bool {
	v := s.pickIdle(now)
	if v == nil {
		return false
	}
	v.standing.Idle--
	s.push(now, r, Push{To: v.addr, Admit: admit})
	return true
}

// pushAnywhere pushes r to a sibling with an idle slot or, if there is none, to the
// sibling with the shortest queue.
func (s *Scheduler) pushAnywhere(now time.Time, r Request) bool {
	if s.pushIdle(now, r, true) {
		return true
	}
	var best *view
	for i := range s.group.views {
		v := &s.group.views[i]
		if v.standing.Draws && (best == nil || v.standing.Queued < best.standing.Queued) {
			best = v
		}
	}
	if best == nil || s.options.LocalOnly {
		return false
	}
	best.standing.Queued++
	s.push(now, r, Push{To: best.addr, Admit: true})
	return true
}

func (s *Scheduler) push(now time.Time, r Request, p Push) {
	p.ID = r.ID
	p.Standing = s.standing(now, p.To)
	s.pushed[r.ID] = pushed{request: r, to: p.To, admit: p.Admit}
	s.emit(p)
}

// pickIdle picks one of the known idle slots of all siblings at random and returns its
// sibling. In a fixed order all agents would push to the same sibling.
func (s *Scheduler) pickIdle(now time.Time) *view {
	total := 0
	for i := range s.group.views {
		total += s.group.views[i].idle(now)
	}
	if total == 0 || s.options.LocalOnly {
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
	if !v.standing.Draws || !now.Before(v.expires) {
		return 0
	}
	return max(v.standing.Idle, 0)
}

// pushQueued pushes waiting requests to siblings that are known to have idle slots.
func (s *Scheduler) pushQueued(now time.Time) {
	for {
		i := s.queue.firstMovable()
		if i < 0 {
			return
		}
		v := s.pickIdle(now)
		if v == nil {
			return
		}
		v.standing.Idle--
		s.push(now, s.queue.removeAt(i), Push{To: v.addr})
	}
}
