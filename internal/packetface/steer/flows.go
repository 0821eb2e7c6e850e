package steer

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

// flow is the balancer's state for a flow.
type flow struct {
	agent *agent
	// placed is when the flow's opening packet was sent to the agent or a search found
	// the agent; seen is when the flow's last packet arrived.
	placed, seen time.Duration
	// open is set once the caller has sent a packet that follows the opening.
	open bool
	// terms are the request terms of the route.
	terms inner.Terms
	// tried are agents that returned the opening packet or did not answer, busy those
	// that returned it because all their slots are taken; lastTry is set once all have
	// been tried and the best of them has been sent the packet again.
	tried, busy []*agent
	lastTry     bool
	service     uint64
	// copies is what is known of the copies of the opening packet. toQueue is set if the flow
	// is sent to an agent's queue because no agent has a free slot.
	copies  openingCopies
	toQueue bool
	// refusals is the number of agents that have returned the opening packet as
	// overloaded.
	refusals int
	// mayBeRetry is set if the caller may have sent the same request before, on another
	// flow.
	mayBeRetry bool
}

// forwardOrSearch sends a packet of an open flow to the flow's agent, or searches for the
// agent if it is not known.
func (c *Core) forwardOrSearch(now time.Duration, id platform.Flow, p *platform.Packet, b []byte) {
	if f := c.flows[id]; f != nil && f.agent != nil && !f.agent.removed && !c.maySkip(now, id, f.agent) {
		f.seen, f.open = now, true
		c.forward(now, f.agent, b, inner.Forward{Terms: f.terms})
		return
	}
	delete(c.flows, id)
	if c.isDead(now, id) {
		c.reset(id, p.Acknowledge, reasonHeldByNone)
		return
	}
	c.searchOwner(now, id, p, b)
}

// isDead reports whether a flow was recently reset because no upstream holds it.
func (c *Core) isDead(now time.Duration, id platform.Flow) bool {
	until, ok := c.dead[id]
	return ok && now < until
}

func (c *Core) forward(now time.Duration, a *agent, b []byte, head inner.Forward) {
	start := len(c.buffer)
	head.Flags |= c.flagsFor(a, now, maxStatusAgeForward)
	c.buffer = inner.AppendForward(c.buffer, head, b)
	c.send(a.Addr, start)
}

// flagsFor returns the flag that requests the agent's status if the last status is older
// than the given age.
func (c *Core) flagsFor(a *agent, now, age time.Duration) inner.Flags {
	if !a.needsStatus(now, age) {
		return inner.FlagLoad
	}
	a.noteRequest(now)
	return inner.FlagLoad | inner.FlagStatus
}

// reset sends a caller a reset of its flow. No request in the packet that caused the
// reset has run.
func (c *Core) reset(id platform.Flow, sequence uint32, reason string) {
	c.resetWithNote(id, sequence, Note{Reason: reason})
}

// reasonHeldByNone is the reason for the reset of a flow that no upstream holds.
const reasonHeldByNone = "held-by-none"

// resetWithNote does the same as reset, with more details of the decision in the note.
func (c *Core) resetWithNote(id platform.Flow, sequence uint32, n Note) {
	n.Kind, n.Flow = KindReset, id
	c.note(n)
	start := len(c.buffer)
	c.buffer = platform.AppendReset(c.buffer, id, sequence)
	c.out.Actions = append(c.out.Actions, Action{
		To:       netip.AddrPortFrom(netip.AddrFrom4(id.Caller), c.settings.CallerPort),
		Bytes:    c.buffer[start:],
		ToCaller: true,
	})
}

// addFlow adds a flow and returns its state; if there are too many flows, it removes
// another one.
func (c *Core) addFlow(id platform.Flow, now time.Duration) *flow {
	if len(c.flows) >= maxFlows {
		for old := range c.flows { // any flow: on its next packet a search finds its owner
			delete(c.flows, old)
			break
		}
	}
	f := c.spareFlow
	if f == nil {
		f = new(flow)
	}
	c.spareFlow = nil
	*f = flow{seen: now}
	c.flows[id] = f
	return f
}

// sweep removes flows that are idle or were never opened, and other expired state.
func (c *Core) sweep(now time.Duration) {
	c.lastSweep = now
	c.former.sweep(now)
	for id, f := range c.flows {
		limit := c.idleLimit
		if !f.open {
			limit = openingTimeout
		}
		if now-f.seen > limit {
			delete(c.flows, id)
		}
	}
	for addr, removed := range c.roster.removed {
		if now >= removed.until {
			delete(c.roster.removed, addr)
		}
	}
	for id, until := range c.dead {
		if now >= until {
			delete(c.dead, id)
		}
	}
}
