package steer

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

// flow is what the balancer remembers of a flow.
type flow struct {
	agent *agent
	// placed is when its opening packet was sent to agent, seen when its last
	// packet came.
	placed, seen time.Duration
	// open tells that the caller has gone on from the opening.
	open bool
	// terms are those of the route.
	terms inner.Terms
	// tried are agents that have returned the opening packet or were silent, busy
	// those that returned it as all their slots are taken; lastTry tells that all
	// were tried, and the best once more.
	tried, busy []*agent
	lastTry     bool
	// mayRepeat tells that its caller may have asked before, on another flow.
	mayRepeat bool
}

// forwardOrSearch sends a packet of a flow that was opened before.
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

// isDead reports whether a flow was lately reset as nobody holds it.
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

// flagsFor asks for the agent's status if what is known is older than age.
func (c *Core) flagsFor(a *agent, now, age time.Duration) inner.Flags {
	if !a.needsStatus(now, age) {
		return 0
	}
	a.noteRequest(now)
	return inner.FlagStatus
}

// reset tells a caller that its flow is not held. No request in the packet
// that asked has run.
func (c *Core) reset(id platform.Flow, sequence uint32, reason string) {
	c.resetWithNote(id, sequence, Note{Reason: reason})
}

// reasonHeldByNone is why a flow is reset that no upstream holds.
const reasonHeldByNone = "held-by-none"

// resetWithNote is reset with a note that tells more of the decision.
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

// addFlow makes room for a flow and returns its memory.
func (c *Core) addFlow(id platform.Flow, now time.Duration) *flow {
	if len(c.flows) >= maxFlows {
		for old := range c.flows { // any: its owner is found again by asking
			delete(c.flows, old)
			break
		}
	}
	f := &flow{seen: now}
	c.flows[id] = f
	return f
}

// sweep forgets flows that are idle or never opened.
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
	for addr, gone := range c.roster.removed {
		if now >= gone.until {
			delete(c.roster.removed, addr)
		}
	}
	for id, until := range c.dead {
		if now >= until {
			delete(c.dead, id)
		}
	}
}
