package steer

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
)

// An agent that no balancer calls asks one whether the store lists it: the poll that it
// gets in return tells. A balancer that has not heard the store lately stays silent, and
// the agent asks another one, or the store.

// answerCheck answers an agent that is known.
func (c *Core) answerCheck(now time.Duration, a *agent) {
	if c.tableFresh {
		c.poll(now, a)
	}
}

// pollUnknown answers an agent that neither the store lists nor this balancer knows.
func (c *Core) pollUnknown(from netip.AddrPort) {
	if !c.tableFresh {
		return
	}
	start := len(c.buffer)
	c.buffer = inner.AppendPoll(c.buffer, inner.Poll{Flags: inner.FlagStatus | inner.FlagUnlisted, Known: c.known()})
	c.send(from, start)
}
