// Package control keeps what a process knows of the fleet: the configuration
// in force and the members. One goroutine owns that state and publishes
// immutable snapshots; traffic reads them and never waits.
package control

import (
	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/member"
)

// Snapshot is what a process acts on at one moment. It is immutable.
type Snapshot struct {
	// Config is nil until the process has a configuration that it can vouch
	// for.
	Config *config.Config
	Self   member.Member
	// Balancers are the live balancers, Agents the agents that are not gone;
	// at an agent, Agents holds its own service only.
	Balancers []member.Member
	Agents    []member.Member
	// Gone are the last records of agents that left or were declared gone within
	// GoneFor, the newest first; empty at an agent. Who is not known at all is
	// not gone: a new process's table is incomplete.
	Gone []member.Member
}

// Source gives the current snapshot and says when it changes.
type Source interface {
	// Snapshot returns the current snapshot; it never blocks.
	Snapshot() *Snapshot
	// Changed returns a channel that is closed at the next change.
	Changed() <-chan struct{}
}
