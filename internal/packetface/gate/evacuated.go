package gate

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/evacuation"
	"github.com/saltbend/saltbend/platform"
)

// Operators can evacuate a data centre: no new flow may then be sent to it. Balancers stop
// placing flows there. The agent keeps the newest evacuation state received from any
// balancer and refuses the new flows of a balancer that does not know of the evacuation
// yet, because it has not received it, was refused by the store or was suspended. Open
// flows continue.

// updateEvacuation applies the evacuation state of the data centre as sent by a balancer,
// and notifies all balancers if it changes what the agent does.
func (g *Gate) updateEvacuation(now time.Duration, from netip.AddrPort, received evacuation.State) {
	before := g.evacuation
	g.evacuation = before.Newer(received)
	if g.evacuation.Evacuated == before.Evacuated {
		return
	}
	if from.Addr().Is4() {
		g.source = from.Addr().As4()
	}
	reason := "data-centre-taken-back"
	if g.evacuation.Evacuated {
		reason = "data-centre-evacuated"
	}
	g.note(now, Note{Kind: KindEvacuation, Peer: from, Reason: reason, Detail: "as of " + received.AsOf.String()})
	g.announce(now)
}

// blockedByEvacuation reports whether an opening packet is refused because the data centre
// is evacuated. A retransmission for a flow that the upstream has already accepted is not
// refused.
func (g *Gate) blockedByEvacuation(id platform.Flow) bool {
	f := g.flows[id]
	return g.evacuation.Evacuated && (f == nil || !f.answered)
}
