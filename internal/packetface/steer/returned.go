package steer

import (
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

// probeReturn is the time within which a probe comes back.
const probeReturn = time.Second

// returned decides on a packet that an agent gave back.
func (c *Core) returned(now time.Duration, a *agent, b []byte) error {
	head, packet, err := inner.ParseReturned(b)
	if err != nil {
		return err
	}
	p, err := platform.ParsePacket(packet)
	if err != nil {
		return err
	}
	c.hearKnown(now, a, inner.Known{Listing: head.Listing}, [4]byte{})
	id := p.FromCaller()
	if p.IsOpening() {
		c.placeAgain(now, id, a, head, packet)
		return nil
	}
	if q := c.asks[id]; q != nil && q.search.WasAsked(a.id) {
		if head.Reason == inner.ReasonUnknown {
			c.take(now, id, q, a, inner.VerdictNone)
		}
		return nil // no word of the caller; without a proof it is probed again in the next round
	}
	if c.isDead(now, id) {
		return nil // the caller has been told
	}
	if f := c.flows[id]; f != nil && f.agent != nil {
		if f.agent != a && !f.agent.removed {
			c.returnedLate(now, f, packet)
			return nil
		}
		delete(c.flows, id)
	}
	c.ask(now, id, &p, packet)
	return nil
}

// returnedLate decides on a packet that comes back from an agent that is not the
// flow's owner: a probe that was on its way when the owner was found, which has the
// packet by then, or one that went to an earlier owner.
func (c *Core) returnedLate(now time.Duration, f *flow, packet []byte) {
	if now-f.placed >= probeReturn {
		c.forward(now, f.agent, packet, inner.Forward{Terms: f.terms})
	}
}
