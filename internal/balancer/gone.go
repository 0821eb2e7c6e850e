package balancer

import (
	"net/netip"
	"slices"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/datapath"
	"github.com/saltbend/saltbend/internal/token"
)

// gone holds the data addresses whose agents are gone. A published one is not
// changed.
type gone map[netip.AddrPort]*datapath.GoneAddress

// update returns what the snapshot says. An address of which it says the same
// as before keeps what is known of its silence. One at which an agent lives is
// left out: that agent tells the callers of the former ones itself.
func (g gone) update(s *control.Snapshot) gone {
	if len(s.Gone) == 0 {
		return nil
	}
	next := make(gone)
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
