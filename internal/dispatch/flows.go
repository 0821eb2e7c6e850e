package dispatch

import "time"

const (
	// flowStep is the change of the number of connections that is worth an announcement
	// to siblings. It is also the least difference between the numbers of connections
	// of this agent and a sibling at which a new flow goes to the sibling.
	flowStep = 16
	// flowMargin is that least difference as a fraction of the sibling's connections;
	// the larger of flowStep and this share applies. The margin is needed because
	// the known connection counts of siblings are always somewhat outdated.
	flowMargin = 0.1
)

// FlowTarget is the sibling with the fewest connections and their number. The zero
// value means that there is none. A flow is one connection of a caller.
type FlowTarget struct {
	To          Sibling
	Connections int
}

// Better reports whether a new flow should go to the target rather than to an agent
// with the given number of connections.
func (t FlowTarget) Better(own int) bool {
	if !t.To.IsValid() {
		return false
	}
	margin := max(flowStep, int(flowMargin*float64(t.Connections)))
	return own-t.Connections > margin
}

// FlowTarget returns the sibling with the fewest connections among those that accept
// work and have sent a standing.
func (s *Scheduler) FlowTarget() FlowTarget {
	var best FlowTarget
	for i := range s.group.views {
		v := &s.group.views[i]
		if !v.received || !v.standing.Draws {
			continue
		}
		if !best.To.IsValid() || v.standing.Connections < best.Connections {
			best = FlowTarget{To: v.addr, Connections: v.standing.Connections}
		}
	}
	return best
}

// SetConnections sets the number of connections from callers to this agent.
func (s *Scheduler) SetConnections(now time.Time, n int) []Action {
	s.begin()
	s.connections = n
	return s.finish(now)
}

// connectionsChanged reports whether the number of connections has changed by flowStep
// or more since the last standing that was sent to the sibling.
func (s *Scheduler) connectionsChanged(v *view) bool {
	change := s.connections - v.lastSent.Connections
	return change >= flowStep || change <= -flowStep
}
