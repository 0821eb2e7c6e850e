package control

import "github.com/saltbend/saltbend/internal/member"

// Members answers which members the process knows, itself first: a balancer
// knows the fleet, an agent the balancers and its own service. It reads the
// published snapshot, so it answers also when the state's goroutine is busy.
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
