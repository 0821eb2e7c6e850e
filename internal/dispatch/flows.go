package dispatch

import "time"

const (
	// flowStep is the change of connections that siblings are told of, and the
	// least difference for which a new flow is handed on.
	flowStep = 16
	// flowMargin is the share of the lesser number of connections by which the
	// difference has to exceed it: what is known of siblings is never exact.
	flowMargin = 0.1
)

// FlowTarget is the sibling with the fewest connections; its zero value is
// none.
type FlowTarget struct {
	To          Sibling
	Connections int
}

// Better reports whether a new flow is clearly better placed at the target
// than at an agent with that many connections.
func (t FlowTarget) Better(own int) bool {
	if !t.To.IsValid() {
		return false
	}
	margin := max(flowStep, int(flowMargin*float64(t.Connections)))
	return own-t.Connections > margin
}

// FlowTarget returns where new flows would go if they didn't stay.
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

// SetConnections sets the number of callers' connections at this agent.
func (s *Scheduler) SetConnections(now time.Time, n int) []Action {
	s.begin()
	s.connections = n
	return s.finish(now)
}

// connectionsChanged reports whether the sibling's knowledge is out of date.
func (s *Scheduler) connectionsChanged(v *view) bool {
	change := s.connections - v.lastSent.Connections
	return change >= flowStep || change <= -flowStep
}
