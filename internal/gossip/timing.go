package gossip

import "time"

// Timing holds the periods and limits of an engine.
type Timing struct {
	// Renew is the period of renewals at each witness; each is jittered by up
	// to a fifth.
	Renew time.Duration
	// Digest is the period of digest exchanges between balancers.
	Digest time.Duration
	// Avoid is the time for which a balancer that did not answer is passed over.
	Avoid time.Duration
	// Tombstone is the time for which a gone member is remembered.
	Tombstone time.Duration
	// BytesPerSecond and BurstBytes bound what pushes and exchanges send.
	BytesPerSecond int
	BurstBytes     int
}

// DefaultTiming returns the periods that docs/design/control.md works out.
func DefaultTiming() Timing {
	return Timing{
		Renew:          3 * time.Second,
		Digest:         10 * time.Second,
		Avoid:          10 * time.Second,
		Tombstone:      24 * time.Hour,
		BytesPerSecond: 6 * 1024,
		BurstBytes:     128 * 1024,
	}
}
