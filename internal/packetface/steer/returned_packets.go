package steer

import (
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

// probeReturnTime is the time within which a probe, a packet sent to an agent to find out
// whether its upstream holds the flow, is returned.
const probeReturnTime = time.Second

// handleReturned processes a packet that an agent has returned.
func (c *Core) handleReturned(now time.Duration, a *agent, b []byte) error {
	head, packet, err := inner.ParseReturned(b)
	if err != nil {
		return err
	}
	p, err := platform.ParsePacket(packet)
	if err != nil {
		return err
	}
	c.noteReported(now, a, inner.Versions{Listing: head.Listing}, [4]byte{})
	id := p.FromCaller()
	if p.IsOpening() {
		c.placeAgain(now, id, a, head, packet)
		return nil
	}
	if q := c.searches[id]; q != nil && q.search.WasAsked(a.id) {
		if head.Reason == inner.ReasonUnknown {
			c.handleVerdict(now, id, q, a, inner.VerdictNone)
		}
		return nil // not a new packet of the caller; an agent that has proved nothing is probed again in the next round
	}
	if c.isDead(now, id) {
		return nil // the caller has been sent a reset
	}
	if f := c.flows[id]; f != nil && f.agent != nil {
		if f.agent != a && !f.agent.removed {
			c.handleLateReturn(now, f, packet)
			return nil
		}
		delete(c.flows, id)
	}
	c.searchOwner(now, id, &p, packet)
	return nil
}

// handleLateReturn processes a packet returned by an agent that is not the flow's owner. A
// packet that returns within probeReturnTime after the owner was found counts as a probe
// that was in flight then, and the owner has been sent that packet already. Any other
// packet was sent to an earlier owner, and is forwarded to the present one.
func (c *Core) handleLateReturn(now time.Duration, f *flow, packet []byte) {
	if now-f.placed >= probeReturnTime {
		c.forward(now, f.agent, packet, inner.Forward{Terms: f.terms})
	}
}
