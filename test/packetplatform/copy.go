package packetplatform

import (
	"maps"
	"slices"
	"time"
)

// Copy is a snapshot of the store, from which it can be restored.
type Copy struct {
	items          map[string]Item
	history        []Item
	compacted      uint64
	revision       uint64
	leases         map[uint64]time.Duration
	lastLease      uint64
	operatorWrites int // number of writes of operators when the copy was made
}

// Copy returns a snapshot of the store.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{
		items: maps.Clone(s.items), history: slices.Clone(s.history), compacted: s.compacted, revision: s.revision,
		leases: maps.Clone(s.leases), lastLease: s.lastLease, operatorWrites: len(s.operatorWrites),
	}
}

// Return restores the store from a copy and begins a new era. Later writes are lost, and
// revisions and lease ids issued since are issued again. Pending watches are aborted. It
// returns the last lost write of operators for each key, in the order of the writes, for
// the caller to repeat.
func (s *Store) Return(c *Copy) (lost []Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, item := range s.operatorWrites[min(c.operatorWrites, len(s.operatorWrites)):] {
		lost = slices.DeleteFunc(lost, func(before Item) bool { return before.Key == item.Key })
		lost = append(lost, item)
	}
	s.items, s.history, s.compacted, s.revision = maps.Clone(c.items), slices.Clone(c.history), c.compacted, c.revision
	s.leases, s.lastLease, s.operatorWrites = maps.Clone(c.leases), c.lastLease, s.operatorWrites[:min(c.operatorWrites, len(s.operatorWrites))]
	s.era++
	close(s.abortWatches)
	s.abortWatches = make(chan struct{})
	return lost
}

// RepeatWrite repeats a write of an operator that was lost when the store was restored from
// the copy, unless an operator has written the key since.
func (s *Store) RepeatWrite(c *Copy, item Item) {
	s.mu.Lock()
	since := s.operatorWrites[min(c.operatorWrites, len(s.operatorWrites)):]
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
