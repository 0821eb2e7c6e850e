// Package storefake stands in for the platform's key-value service: values up
// to a megabyte with compare-and-swap on revisions, leases that expire and
// long-poll watches. It can be down, slow, or lose the answer to a write that
// took effect, and it counts each call.
package storefake

import (
	"strings"
	"sync"
	"time"
)

const (
	maxValueBytes = 1 << 20
	maxWait       = time.Minute
	maxWrites     = 10_000
)

// Faults are what the store does to calls.
type Faults struct {
	// Down refuses every call with 503.
	Down bool
	// Slow holds every call back first.
	Slow time.Duration
	// LoseAnswer is the share of writes (0 to 1) that take effect and whose
	// connection is then closed without an answer.
	LoseAnswer float64
	// LosePrefix limits LoseAnswer to keys that start with it.
	LosePrefix string
}

// Write is one write that took effect.
type Write struct {
	Key      string
	Revision uint64
	Time     time.Time
}

// Calls counts calls by kind; a waiting watch counts as one.
type Calls struct {
	Get, List, Put, Delete, Watch uint64
}

type value struct {
	data     []byte
	revision uint64
	expires  time.Time // zero: never
}

// Store keeps values in memory. It is safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	values   map[string]value
	revision uint64
	changed  chan struct{} // closed and replaced at each change
	faults   Faults
	calls    Calls
	writes   []Write // the last maxWrites
	now      func() time.Time
}

// New returns an empty store.
func New() *Store {
	return &Store{values: make(map[string]value), changed: make(chan struct{}), now: time.Now}
}

// SetFaults replaces the faults. Waiting watches notice at once.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Calls returns the calls so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// begin counts a call and returns the faults that it meets.
func (s *Store) begin(count func(*Calls)) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	count(&s.calls)
	return s.faults
}

// wake must be called with mu held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns the live value of a key; mu must be held.
func (s *Store) read(key string) (value, bool) {
	v, ok := s.values[key]
	if ok && !v.expires.IsZero() && !s.now().Before(v.expires) {
		delete(s.values, key)
		return value{}, false
	}
	return v, ok
}

// get returns a value with the channel that closes at the next change.
func (s *Store) get(key string) (value, bool, <-chan struct{}, Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.read(key)
	return v, ok, s.changed, s.faults
}

// swap writes data when the key's revision is expected (0: no such key).
func (s *Store) swap(key string, data []byte, expected uint64, lease time.Duration) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, _ := s.read(key); v.revision != expected {
		return 0, false
	}
	s.revision++
	next := value{data: data, revision: s.revision}
	if lease > 0 {
		next.expires = s.now().Add(lease)
		time.AfterFunc(lease, s.SweepExpired)
	}
	s.values[key] = next
	s.remember(Write{Key: key, Revision: s.revision, Time: s.now()})
	s.wake()
	return s.revision, true
}

// remember keeps a write for Writes; mu must be held.
func (s *Store) remember(w Write) {
	if len(s.writes) == maxWrites {
		s.writes = s.writes[1:]
	}
	s.writes = append(s.writes, w)
}

// Writes returns the last writes of values, oldest first.
func (s *Store) Writes() []Write {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Write(nil), s.writes...)
}

func (s *Store) remove(key string, expected uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.read(key)
	if !ok || v.revision != expected {
		return false
	}
	s.revision++
	delete(s.values, key)
	s.wake()
	return true
}

// SweepExpired drops values whose lease has run out and wakes watches.
func (s *Store) SweepExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.values {
		s.read(key)
	}
	s.wake()
}

func (s *Store) list(prefix string) map[string]value {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := make(map[string]value)
	for key := range s.values {
		if v, ok := s.read(key); ok && strings.HasPrefix(key, prefix) {
			found[key] = v
		}
	}
	return found
}
