package steer

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
)

// This file detects, by what agents report, that this balancer lacks a newer
// configuration, list of agents or evacuation.

// noteReported compares the configuration version and the list of agents that an agent
// has reported with the balancer's own, and adds a note if the reported ones are newer.
func (c *Core) noteReported(now time.Duration, a *agent, reported inner.Versions, source [4]byte) {
	c.roster.newestReported = max(c.roster.newestReported, reported.Listing)
	newer := reported.Version > c.versions().Version || reported.Listing > c.roster.age.AsOf
	if reported.Version > c.newer.version {
		c.newer = newerVersion{reported.Version, a.Addr, source}
	}
	if newer {
		c.noteNewer(now, a.Addr, reported.Version, source)
	}
}

// newerVersion is the newest version of the configuration that an agent has reported,
// with the agent and the host of the balancer from which the agent received it.
type newerVersion struct {
	version uint64
	agent   netip.AddrPort
	source  [4]byte
}

// tickNewer repeats the note of a version that is still missing. An idle agent reports a
// version once, and the attempt to fetch it after the first note may have failed.
func (c *Core) tickNewer(now time.Duration) {
	if c.newer.version > c.versions().Version && now-c.newerNotedAt >= newerRepeatInterval {
		c.noteNewer(now, c.newer.agent, c.newer.version, c.newer.source)
	}
}

// noteNewer adds a note that an agent has reported something newer than this balancer has,
// with the host of the balancer from which the agent received it. It adds none within
// newerNoteInterval of the last one.
func (c *Core) noteNewer(now time.Duration, agent netip.AddrPort, version uint64, source [4]byte) {
	if c.newerNotedAt != 0 && now-c.newerNotedAt < newerNoteInterval {
		return
	}
	c.newerNotedAt = now
	n := Note{Kind: KindNewer, Agent: agent, Count: int(version)}
	if source != ([4]byte{}) {
		n.Source = netip.AddrFrom4(source)
	}
	c.note(n)
}
