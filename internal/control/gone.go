package control

import "time"

const (
	// GoneFor is how long a gone agent stays in the snapshots. It is twice the
	// time after which the callers of an agent close a connection on which the agent
	// is silent.
	GoneFor = 2 * time.Minute
	// goneExpiryInterval is the interval at which agents that have been gone for
	// longer than GoneFor are removed if nothing else changes the snapshot.
	goneExpiryInterval = 10 * time.Second
)

// hasExpiredGone reports whether the published snapshot contains agents that have
// been gone for longer than GoneFor.
func (n *Node) hasExpiredGone(now time.Time) bool {
	before := n.Snapshot().Gone
	if len(before) == 0 || now.Sub(n.publishedAt) < goneExpiryInterval {
		return false
	}
	return len(n.engine.Table().GoneAgents(now.Add(-GoneFor))) != len(before)
}
