package balancer

import (
	"slices"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/placement"
)

// group keeps the agents of one service from one snapshot to the next, so that a
// change of the fleet requires rebuilding only the sets of the affected services.
type group struct {
	set *placement.Set
	// threshold is the service's panic threshold that set was built with.
	threshold float64
	// members are the agents that set was built from; next collects the agents of
	// the snapshot that is being processed.
	members, next []member.Member
}

// updateGroups rebuilds the agent sets of the services that the snapshot affects.
func (s *services) updateGroups(c *control.Snapshot) {
	locality := placement.NewLocality(c.Self.DataCentre, c.Balancers)
	localityChanged := !locality.Equal(s.locality)
	s.locality = locality
	for i := range c.Agents {
		s.group(c.Agents[i].Service).add(&c.Agents[i])
	}
	thresholds := panicThresholds(c.Config)
	for name, g := range s.groups {
		if len(g.next) == 0 {
			delete(s.groups, name)
			continue
		}
		g.apply(locality, localityChanged, thresholds[name])
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

// apply makes the collected members the current ones. It rebuilds the set only if
// an input of placement differs.
func (g *group) apply(locality placement.Locality, localityChanged bool, threshold float64) {
	if localityChanged || threshold != g.threshold || !slices.EqualFunc(g.members, g.next, samePlacement) {
		g.set = placement.NewSet(locality, g.next, threshold)
		g.threshold = threshold
	}
	g.members, g.next = g.next, g.members[:0]
}

// panicThresholds returns the panic threshold of each service, by service name.
func panicThresholds(c *config.Config) map[string]float64 {
	out := make(map[string]float64, len(c.Services))
	for i := range c.Services {
		out[c.Services[i].Name] = c.Services[i].Health.PanicThreshold
	}
	return out
}

// samePlacement reports whether all fields that placement uses are equal.
func samePlacement(a, b member.Member) bool {
	return a.Control == b.Control && a.Data == b.Data && a.State == b.State &&
		a.Weight == b.Weight && a.DataCentre == b.DataCentre
}
