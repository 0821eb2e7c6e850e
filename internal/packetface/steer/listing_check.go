package steer

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
)

// An agent that receives nothing from any balancer asks one whether the store lists the
// agent. The balancer answers with a poll, in which FlagUnlisted is set if the store does
// not list the agent. A balancer that has not reached the store lately does not answer,
// and the agent asks another balancer or the store.

// answerCheck polls a known agent that asks whether it is listed.
func (c *Core) answerCheck(now time.Duration, a *agent) {
	if c.tableFresh {
		c.poll(now, a)
	}
}

// pollUnknown polls an agent that neither the store lists nor this balancer knows.
func (c *Core) pollUnknown(from netip.AddrPort) {
	if !c.tableFresh {
		return
	}
	start := len(c.buffer)
	c.buffer = inner.AppendPoll(c.buffer, inner.Poll{Flags: inner.FlagStatus | inner.FlagUnlisted, Versions: c.versions()})
	c.send(from, start)
}
