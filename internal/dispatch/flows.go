package dispatch

import (
	"slices"
	"time"
)

const (
	// minFlowStep is the least change of connections that siblings are told of,
	// and the largest difference that new flows leave as it is in a small
	// service.
	minFlowStep = 2
	// flowSteps is the inverse of the step in shares of the connections: with n
	// of them, a change by n/flowSteps is told, so that the number of messages
	// grows with the logarithm of n.
	flowSteps = 16
	// flowMargin is the share of the lesser number of connections by which the
	// difference has to exceed it: what is known of siblings is never exact.
	flowMargin = 0.1
)

// FlowTarget is a sibling that takes new flows, as it was last heard.
type FlowTarget struct {
	To          Sibling
	Connections int
}

// better reports whether a new flow is clearly better placed at an agent with
// that many connections than at one with own.
func better(connections, own int) bool {
	return own-connections > max(minFlowStep, int(flowMargin*float64(connections)))
}

// FlowTargets returns where new flows may go if they don't stay, in the order
// of addresses. The result is never changed: it may be passed on.
func (s *Scheduler) FlowTargets() []FlowTarget {
	if s.targetsKnown {
		return s.targets
	}
	var targets []FlowTarget
	for i := range s.group.views {
		v := &s.group.views[i]
		if v.spoken && v.heard.Draws {
			targets = append(targets, FlowTarget{To: v.addr, Connections: v.heard.Connections})
		}
	}
	s.targets, s.targetsKnown = targets, true
	return targets
}

// SetConnections sets the number of callers' connections at this agent.
func (s *Scheduler) SetConnections(now time.Time, n int) []Action {
	s.begin()
	s.connections = n
	return s.finish(now)
}

// connectionsMoved reports whether the sibling's knowledge is out of date.
func (s *Scheduler) connectionsMoved(v *view) bool {
	step := max(minFlowStep, v.told.Connections/flowSteps)
	moved := s.connections - v.told.Connections
	return moved >= step || moved <= -step
}

// Placer places new flows. It counts those that it has placed and that no
// number of connections shows yet, so that a burst of flows doesn't go to one
// agent. One goroutine owns it; its zero value is ready.
type Placer struct {
	own   openings
	there map[Sibling]*openings
}

// Place returns the sibling that is to take a new flow, if it isn't to stay at
// this agent, which has that many connections.
func (p *Placer) Place(now time.Time, targets []FlowTarget, own int) (Sibling, bool) {
	opening := p.own.count(now, own, 1)
	if opening >= maxOpening {
		p.own.flows[0]++
		return Sibling{}, false
	}
	here := own + opening
	var best *openings
	var fewest int
	var to Sibling
	for _, t := range targets {
		o := p.at(t.To)
		if n := t.Connections + o.count(now, t.Connections, len(targets)+1); best == nil || n < fewest {
			best, fewest, to = o, n, t.To
		}
	}
	if best == nil || !better(fewest, here) {
		p.own.flows[0]++
		return Sibling{}, false
	}
	best.flows[0]++
	p.forget(targets)
	return to, true
}

func (p *Placer) at(sibling Sibling) *openings {
	if p.there == nil {
		p.there = map[Sibling]*openings{}
	}
	o := p.there[sibling]
	if o == nil {
		o = &openings{}
		p.there[sibling] = o
	}
	return o
}

// forget drops siblings that are gone.
func (p *Placer) forget(targets []FlowTarget) {
	if len(p.there) <= len(targets) {
		return
	}
	for sibling := range p.there {
		if !slices.ContainsFunc(targets, func(t FlowTarget) bool { return t.To == sibling }) {
			delete(p.there, sibling)
		}
	}
}

// maxOpening is the number of flows on their way to this agent from which on
// new ones stay: so many are even by their hash, and a flood of forged ones must
// not cost a hop each.
const maxOpening = 256

// openingPeriod is the least time that a flow counts as opening: a handshake
// across the sea. After two, it is taken for failed.
const openingPeriod = 500 * time.Millisecond

// openings is the number of flows on their way to one agent, for the present
// period and the one before.
type openings struct {
	flows [2]int
	since time.Time
	// connections is what the agent had when it was last counted.
	connections int
	// rest is what is left of a rise that was shared out.
	rest int
}

// count returns the number that is still on its way when the agent has that
// many connections: a rise is of flows that have arrived, the oldest first. One
// in so many as share is taken for one of these, the others came another way.
func (o *openings) count(now time.Time, connections, share int) int {
	switch age := now.Sub(o.since); {
	case age >= 2*openingPeriod:
		o.flows, o.since = [2]int{}, now
	case age >= openingPeriod:
		o.flows, o.since = [2]int{0, o.flows[0]}, now
	}
	risen := o.rest + max(connections-o.connections, 0)
	o.connections = connections
	arrived := risen / share
	o.rest = risen % share
	for i := len(o.flows) - 1; i >= 0; i-- {
		n := min(arrived, o.flows[i])
		o.flows[i] -= n
		arrived -= n
	}
	return o.flows[0] + o.flows[1]
}
