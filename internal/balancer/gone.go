package balancer

import (
	"net/netip"
	"slices"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/datapath"
	"github.com/saltbend/saltbend/internal/token"
)

// goneAddresses holds the data addresses whose agents are gone. A map must not be
// changed after it was published.
type goneAddresses map[netip.AddrPort]*datapath.GoneAddress

// update returns the gone addresses of the snapshot. An address whose gone agents
// have not changed keeps its entry, and with it the count of unanswered probes. An
// address at which another agent is live is left out: that agent itself resets
// the flows of the agents that were there before.
func (g goneAddresses) update(s *control.Snapshot) goneAddresses {
	if len(s.Gone) == 0 {
		return nil
	}
	next := make(goneAddresses)
	for i := range s.Gone {
		m := &s.Gone[i]
		at := next[m.Data]
		if at == nil {
			at = &datapath.GoneAddress{Service: config.TagOf(m.Service)}
			next[m.Data] = at
		}
		tag := token.IncarnationTag(m.Incarnation)
		if !slices.Contains(at.Incarnations, tag) {
			at.Incarnations = append(at.Incarnations, tag)
		}
	}
	for i := range s.Agents {
		delete(next, s.Agents[i].Data)
	}
	for addr, at := range next {
		if before := g[addr]; before != nil && before.Service == at.Service && slices.Equal(before.Incarnations, at.Incarnations) {
			next[addr] = before
		}
	}
	return next
}
