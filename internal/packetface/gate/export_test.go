package gate

import (
	"fmt"

	"github.com/saltbend/saltbend/platform"
)

// Holds reports whether the opening packet of a flow is held.
func (g *Gate) Holds(id platform.Flow) bool { return g.held[id] != nil }

// CheckOpenings returns an error if the counts of flows and openings disagree with what they
// count.
func (g *Gate) CheckOpenings() error {
	expected, running, open := 0, 0, 0
	for _, f := range g.flows {
		if f.expected {
			expected++
		}
		if f.running {
			running++
		}
		if f.state == flowOpen {
			open++
		}
	}
	waiting := map[*flow]bool{}
	for _, e := range g.expected {
		waiting[e.flow] = e.flow.expected
	}
	for id, f := range g.flows {
		if f.expected && !waiting[f] {
			return fmt.Errorf("the request of %v is expected for ever", id)
		}
	}
	switch {
	case expected != g.expectedCount:
		return fmt.Errorf("%d flows are expected, %d counted", expected, g.expectedCount)
	case running != g.running || open != g.open:
		return fmt.Errorf("%d run and %d are open, %d and %d counted", running, open, g.running, g.open)
	case len(g.held) != g.openings.Len():
		return fmt.Errorf("%d are held, %d wait", len(g.held), g.openings.Len())
	}
	return nil
}
