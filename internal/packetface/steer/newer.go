package steer

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
)

// What agents have heard that this balancer lacks.

// noteReported tells of newer beliefs than the balancer's own.
func (c *Core) noteReported(now time.Duration, a *agent, heard inner.Known, source [4]byte) {
	c.roster.newestReported = max(c.roster.newestReported, heard.Listing)
	newer := heard.Version > c.known().Version || heard.Listing > c.roster.age.AsOf
	if heard.Version > c.newer.version {
		c.newer = newerVersion{heard.Version, a.Addr, source}
	}
	if newer {
		c.noteNewer(now, a.Addr, heard.Version, source)
	}
}

// newerVersion is the newest version of the configuration that an agent has told of, and
// from whom it has it.
type newerVersion struct {
	version uint64
	agent   netip.AddrPort
	source  [4]byte
}

// tickNewer tells again of a version that is still missing. An idle agent tells of it
// once, and what was told may have come to nothing.
func (c *Core) tickNewer(now time.Duration) {
	if c.newer.version > c.known().Version && now-c.newerNotedAt >= newerRepeatInterval {
		c.noteNewer(now, c.newer.agent, c.newer.version, c.newer.source)
	}
}

// noteNewer tells that an agent has heard of what the balancer lacks, and from whom.
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
