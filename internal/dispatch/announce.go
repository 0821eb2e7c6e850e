package dispatch

import (
	"time"
)

// announce emits an Announce to each sibling whose view of this agent is outdated in a
// way that would change what the sibling does. Other changes don't cost a message: the
// sibling receives them with the next message that is sent anyway.
func (s *Scheduler) announce(now time.Time) {
	if s.options.LocalOnly {
		return
	}
	for i := range s.group.views {
		v := &s.group.views[i]
		if s.outOfDate(v) {
			s.emit(Announce{To: v.addr, Standing: s.standing(now, v.addr)})
		}
	}
}

// outOfDate reports whether the sibling would act differently if it received the
// agent's present standing. The number of idle slots matters only when it changes
// between zero and more than zero, and only if the sibling has no idle slots itself, or
// may still assume idle slots here that are taken by now.
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

// idle returns the number of free slots that are offered to siblings.
func (s *Scheduler) idle() int {
	if !s.willing() {
		return 0
	}
	return max(s.free(), 0)
}

// standing returns the agent's present standing with the next sequence number and
// records it as the last one sent to the sibling.
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
