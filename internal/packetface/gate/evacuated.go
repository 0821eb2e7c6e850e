package gate

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/evacuation"
	"github.com/saltbend/saltbend/platform"
)

// Operators may ask that nothing new be sent to a data centre. Balancers choose
// elsewhere; one that has not heard of it yet, or was turned away by the store, or has
// slept, is stopped here: the agent keeps the newest word of any balancer. Flows that
// are open go on.

// hearEvacuation takes a balancer's word on the data centre, and tells the others when
// it changes what the agent does.
func (g *Gate) hearEvacuation(now time.Duration, from netip.AddrPort, word evacuation.Word) {
	before := g.evacuation
	g.evacuation = before.Newer(word)
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
	g.note(now, Note{Kind: KindEvacuation, Peer: from, Reason: reason, Detail: "as of " + word.AsOf.String()})
	g.announce(now)
}

// keptOut reports whether the evacuation keeps an opening packet out. A copy for a flow
// that the upstream has taken already is none of its business.
func (g *Gate) keptOut(id platform.Flow) bool {
	f := g.flows[id]
	return g.evacuation.Evacuated && (f == nil || !f.answered)
}
