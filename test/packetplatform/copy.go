package packetplatform

import (
	"maps"
	"slices"
	"time"
)

// The store comes back from a copy.

// Copy is the store as it was at a moment.
type Copy struct {
	items     map[string]Item
	history   []Item
	compact   uint64
	revision  uint64
	leases    map[uint64]time.Duration
	last      uint64
	operators int
}

// Copy returns the store as it is now.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{
		items: maps.Clone(s.items), history: slices.Clone(s.history), compact: s.compact, revision: s.revision,
		leases: maps.Clone(s.leases), last: s.last, operators: len(s.operators),
	}
}

// Return lets the store come back from a copy, in another era: what was written since
// is gone, and revisions and numbers of leases are given out again. Watches that wait
// are cut. It returns what operators wrote last to each key that is lost, in the order
// of the writes; whoever calls it writes it again.
func (s *Store) Return(c *Copy) (lost []Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, item := range s.operators[min(c.operators, len(s.operators)):] {
		lost = slices.DeleteFunc(lost, func(before Item) bool { return before.Key == item.Key })
		lost = append(lost, item)
	}
	s.items, s.history, s.compact, s.revision = maps.Clone(c.items), slices.Clone(c.history), c.compact, c.revision
	s.leases, s.last, s.operators = maps.Clone(c.leases), c.last, s.operators[:min(c.operators, len(s.operators))]
	s.era++
	close(s.cut)
	s.cut = make(chan struct{})
	return lost
}

// Again does a write of an operator once more, after it was lost in a return from the
// copy, unless they have written to the key since.
func (s *Store) Again(c *Copy, item Item) {
	s.mu.Lock()
	since := s.operators[min(c.operators, len(s.operators)):]
	written := slices.ContainsFunc(since, func(later Item) bool { return later.Key == item.Key })
	s.mu.Unlock()
	switch {
	case written:
	case item.Removed:
		s.Remove(item.Key)
	default:
		s.Put(item.Key, item.Value)
	}
}
