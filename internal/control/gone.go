package control

import "time"

const (
	// GoneFor is how long snapshots name an agent that is gone. It is twice the
	// time after which an agent's callers give a silent connection up.
	GoneFor = 2 * time.Minute
	// goneExpiryInterval is how often agents that have been gone for longer are dropped
	// from the snapshot while nothing else changes it.
	goneExpiryInterval = 10 * time.Second
)

// hasExpiredGone reports whether the published snapshot names agents that have been
// gone for too long.
func (n *Node) hasExpiredGone(now time.Time) bool {
	before := n.Snapshot().Gone
	if len(before) == 0 || now.Sub(n.publishedAt) < goneExpiryInterval {
		return false
	}
	return len(n.engine.Table().GoneAgents(now.Add(-GoneFor))) != len(before)
}
