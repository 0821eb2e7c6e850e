package balancer

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/event"
	"github.com/saltbend/saltbend/internal/placement"
)

// serviceState is the kind of event that reports which agents get the new flows
// of a service.
type serviceState = event.Kind

// States of a service.
const (
	// serviceServed means that ready agents get the new flows.
	serviceServed event.Kind = "service-served"
	// servicePanics means that unhealthy or starting agents also get new flows,
	// because too few agents are healthy or none is ready.
	servicePanics event.Kind = "service-panics"
	// serviceUnserved means that no agent can get new flows.
	serviceUnserved event.Kind = "service-unserved"
)

var serviceStates = []serviceState{serviceServed, servicePanics, serviceUnserved}

// services holds the agents and the state of each service. Only the publisher's
// goroutine may use it.
type services struct {
	groups   map[string]*group
	locality placement.Locality
	states   map[string]serviceState
	notify   func(service string, state serviceState)
	counts   map[serviceState]*metrics.Gauge
}

func newServices(notify func(string, serviceState)) *services {
	s := &services{
		groups: make(map[string]*group),
		states: make(map[string]serviceState),
		notify: notify,
		counts: make(map[serviceState]*metrics.Gauge),
	}
	for _, state := range serviceStates {
		name := fmt.Sprintf("saltbend_balancer_services{state=%q}", state)
		s.counts[state] = metrics.GetOrCreateGauge(name, nil)
	}
	return s
}

// update takes the agents from the snapshot and calls notify for each service
// whose state has changed. A new service is reported only if its state is not
// serviceServed.
func (s *services) update(c *control.Snapshot) {
	s.updateGroups(c)
	states := make(map[string]serviceState, len(c.Config.Services))
	counts := make(map[serviceState]int)
	for i := range c.Config.Services {
		name := c.Config.Services[i].Name
		state := stateOf(s.set(name))
		states[name] = state
		counts[state]++
		if before, known := s.states[name]; before != state && (known || state != serviceServed) {
			s.notify(name, state)
		}
	}
	s.states = states
	for _, state := range serviceStates {
		s.counts[state].Set(float64(counts[state]))
	}
}

// set returns the agents for new flows of a service; the set may be empty.
func (s *services) set(name string) *placement.Set {
	if g := s.groups[name]; g != nil {
		return g.set
	}
	return &placement.Set{}
}

func stateOf(set *placement.Set) serviceState {
	switch {
	case set.Len() == 0:
		return serviceUnserved
	case set.Panics():
		return servicePanics
	}
	return serviceServed
}
