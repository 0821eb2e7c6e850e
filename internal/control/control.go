// Package control maintains what a process knows of the fleet: the configuration in
// force and the members. One goroutine owns this state and publishes immutable
// snapshots of it, so that the code that handles traffic never waits for it.
//
// A few balancers of each data centre, the seeds, hold a lease in the store and
// watch the configuration there. All other processes get it from their peers.
package control

import (
	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/member"
)

// Snapshot is the published state of a process at one moment. It is immutable.
type Snapshot struct {
	// Config is nil until the adoption rules allow the process to serve a
	// configuration.
	Config *config.Config
	Self   member.Member
	// Balancers are the live balancers. Agents are the live agents; in the
	// snapshot of an agent, only those of its own service.
	Balancers []member.Member
	Agents    []member.Member
	// Gone are the last records of agents that left or were declared gone within
	// GoneFor, newest first; empty in the snapshot of an agent. An agent that is
	// not in any of the lists must not be taken for gone, because the table of a
	// new process is incomplete.
	Gone []member.Member
}

// Source provides the current snapshot and signals changes.
type Source interface {
	// Snapshot returns the current snapshot. It never blocks.
	Snapshot() *Snapshot
	// Changed returns a channel that is closed when the next snapshot is
	// published.
	Changed() <-chan struct{}
}
