package steer

import (
	"slices"
	"time"

	"github.com/saltbend/saltbend/platform"
)

// A balancer that has just started has neither routes nor agents for some 20 to 40 ms.
// After a simultaneous power loss opening packets from callers arrive from the first
// millisecond on. A caller repeats a dropped packet after 0.2 or 0.4 s, and does not
// repeat its last copy, so opening packets are buffered until the first list of agents is
// there.

const (
	// maxEarlyOpenings bounds the buffered opening packets: those of 100 ms at 5,000 a
	// second, with 31 bytes each.
	maxEarlyOpenings = 512
	// maxEarlyAge is the age at which a buffered packet is dropped: by then its caller
	// has sent another copy.
	maxEarlyAge = 200 * time.Millisecond
)

// earlyOpening is an opening packet that arrived before the first list of agents.
type earlyOpening struct {
	id     platform.Flow
	at     time.Duration
	packet []byte
}

// bufferEarly buffers an opening packet until routes and agents are known; it reports
// whether the packet was buffered.
func (c *Core) bufferEarly(now time.Duration, id platform.Flow, b []byte) bool {
	if c.table != nil || len(c.early) >= maxEarlyOpenings {
		return false
	}
	c.early = append(c.early, earlyOpening{id, now, slices.Clone(b)})
	return true
}

// placeEarly places the buffered opening packets.
func (c *Core) placeEarly(now time.Duration) {
	if c.table == nil {
		return
	}
	for _, e := range c.early {
		if now-e.at > maxEarlyAge {
			c.note(Note{Kind: KindDropped, Flow: e.id, Reason: "kept-too-long", Age: now - e.at})
			continue
		}
		c.open(now, e.at, e.id, e.packet)
	}
	c.early = nil
}
