// Package fleetsource provides a control.Source for tests, which replaces the control node:
// the test sets its snapshot.
package fleetsource

import (
	"sync"

	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/member"
)

// Source implements control.Source. It is safe for concurrent use.
type Source struct {
	mu       sync.Mutex
	snapshot *control.Snapshot
	changed  chan struct{}
}

// New returns a source with the snapshot.
func New(s *control.Snapshot) *Source {
	return &Source{snapshot: s, changed: make(chan struct{})}
}

// Snapshot implements control.Source.
func (s *Source) Snapshot() *control.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.snapshot
}

// Changed implements control.Source.
func (s *Source) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// SetAgents replaces the agents of the snapshot and signals the change.
func (s *Source) SetAgents(agents []member.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := *s.snapshot
	next.Agents = agents
	s.snapshot = &next
	close(s.changed)
	s.changed = make(chan struct{})
}
