package control

import "github.com/saltbend/saltbend/internal/member"

// Members returns the members known to the process, itself first: a balancer
// knows the whole fleet, an agent the balancers and the agents of its own
// service. It reads the published snapshot, so it also answers while the
// goroutine that owns the state is busy.
func (s *Service) Members(_ Empty, reply *[]member.Member) error {
	snapshot := s.node.Snapshot()
	out := []member.Member{snapshot.Self}
	for _, m := range append(append([]member.Member{}, snapshot.Balancers...), snapshot.Agents...) {
		if m.Control != snapshot.Self.Control {
			out = append(out, m)
		}
	}
	*reply = out
	return nil
}
