package steer

import (
	"slices"
	"time"

	"github.com/saltbend/saltbend/platform"
)

// A balancer that has just started has neither routes nor agents for some 20 to 40
// ms. After a common loss of power callers' opening packets come from the first
// millisecond on; one that is dropped then is sent again after 0.2 or 0.4 s, and the
// last copy not at all. So they are kept until the first list is there.

const (
	// maxEarly bounds the opening packets that are kept: those of 100 ms at 5,000 a
	// second, with 31 bytes each.
	maxEarly = 512
	// earlyTime is the age at which one is given up: its caller has sent a copy.
	earlyTime = 200 * time.Millisecond
)

// early is an opening packet that came before the first list.
type early struct {
	id     platform.Flow
	at     time.Duration
	packet []byte
}

// keepEarly keeps an opening packet until routes and agents are known; it reports
// whether it did.
func (c *Core) keepEarly(now time.Duration, id platform.Flow, b []byte) bool {
	if c.table != nil || len(c.early) >= maxEarly {
		return false
	}
	c.early = append(c.early, early{id, now, slices.Clone(b)})
	return true
}

// openEarly places the opening packets that were kept.
func (c *Core) openEarly(now time.Duration) {
	if c.table == nil {
		return
	}
	for _, e := range c.early {
		if now-e.at > earlyTime {
			c.note(Note{Kind: KindDropped, Flow: e.id, Reason: "kept-too-long", Age: now - e.at})
			continue
		}
		c.open(now, e.id, e.packet)
	}
	c.early = nil
}
