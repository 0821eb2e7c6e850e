package balancer

import (
	"slices"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/placement"
)

// group holds the agents of one service from one snapshot to the next, so that
// a change costs no more than the services that it touches.
type group struct {
	set *placement.Set
	// threshold is the service's panic threshold that set was made with.
	threshold float64
	// members are those that set was made from; next are those of the snapshot
	// that is being taken over.
	members, next []member.Member
}

// place takes the agents from the snapshot.
func (s *services) place(c *control.Snapshot) {
	at := placement.NewLocality(c.Self.DataCentre, c.Balancers)
	moved := !at.Equal(s.at)
	s.at = at
	for i := range c.Agents {
		s.group(c.Agents[i].Service).add(&c.Agents[i])
	}
	thresholds := panicThresholds(c.Config)
	for name, g := range s.groups {
		if len(g.next) == 0 {
			delete(s.groups, name)
			continue
		}
		g.settle(at, moved, thresholds[name])
	}
}

func (s *services) group(name string) *group {
	g := s.groups[name]
	if g == nil {
		g = &group{}
		s.groups[name] = g
	}
	return g
}

func (g *group) add(m *member.Member) {
	g.next = append(g.next, *m)
}

// settle makes the next members the current ones.
func (g *group) settle(at placement.Locality, moved bool, threshold float64) {
	if moved || threshold != g.threshold || !slices.EqualFunc(g.members, g.next, samePlacement) {
		g.set = placement.NewSet(at, g.next, threshold)
		g.threshold = threshold
	}
	g.members, g.next = g.next, g.members[:0]
}

// panicThresholds returns the services' thresholds by name.
func panicThresholds(c *config.Config) map[string]float64 {
	out := make(map[string]float64, len(c.Services))
	for i := range c.Services {
		out[c.Services[i].Name] = c.Services[i].Health.PanicThreshold
	}
	return out
}

// samePlacement reports whether nothing that placement looks at differs.
func samePlacement(a, b member.Member) bool {
	return a.Control == b.Control && a.Data == b.Data && a.State == b.State &&
		a.Weight == b.Weight && a.DataCentre == b.DataCentre
}
