package gossip

import "time"

// Timing holds the periods and limits of an engine.
type Timing struct {
	// Renew is the period of renewals at each witness. Each period is jittered by
	// up to a fifth.
	Renew time.Duration
	// Digest is the period of digest exchanges between balancers.
	Digest time.Duration
	// Backoff is the time for which a balancer is skipped after it did not
	// answer. It doubles with each further failure.
	Backoff time.Duration
	// Tombstone is the time for which the record of a gone member is retained.
	Tombstone time.Duration
	// BytesPerSecond and BurstBytes limit the bytes of pushes and exchanges.
	BytesPerSecond int
	BurstBytes     int
}

// DefaultTiming returns the periods derived in docs/design/control.md.
func DefaultTiming() Timing {
	return Timing{
		Renew:          3 * time.Second,
		Digest:         10 * time.Second,
		Backoff:        10 * time.Second,
		Tombstone:      24 * time.Hour,
		BytesPerSecond: 6 * 1024,
		BurstBytes:     128 * 1024,
	}
}
