package dispatch

import (
	"time"
)

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
	case s.willing() != v.lastSent.Draws, s.connectionsChanged(v):
		return true
	case s.queue.movable > 0 && v.lastSent.Queued == 0:
		return true
	default:
		return exactlyOneZero(s.idle(), v.lastSent.Idle) && (v.standing.Idle <= 0 || s.idle() == 0)
	}
}

func exactlyOneZero(a, b int) bool { return (a == 0) != (b == 0) }

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
		v.lastSent = st
	}
	return st
}
