// Package storefake simulates the platform's key-value service: values of up to 1 MiB with
// compare-and-swap on revisions, leases that expire, and long-poll watches. It can be
// unavailable or slow, or apply a write without answering it, and it counts calls.
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

// Faults are the faults that the store applies to calls.
type Faults struct {
	// Down answers every call with status 503.
	Down bool
	// Slow delays every call.
	Slow time.Duration
	// LoseAnswer is the fraction of writes (0 to 1) that are applied but not answered: the
	// store closes the connection.
	LoseAnswer float64
	// LosePrefix restricts LoseAnswer to keys with this prefix.
	LosePrefix string
}

// Write is a write that was applied.
type Write struct {
	Key      string
	Revision uint64
	Time     time.Time
}

// Calls counts calls by kind. A long-poll watch counts as one call.
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
	changed  chan struct{} // closed and replaced with each change
	faults   Faults
	calls    Calls
	writes   []Write // the last maxWrites
	now      func() time.Time
}

// New returns an empty store.
func New() *Store {
	return &Store{values: make(map[string]value), changed: make(chan struct{}), now: time.Now}
}

// SetFaults replaces the faults. They apply at once to pending watches, too.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Calls returns the number of calls so far.
func (s *Store) Calls() Calls {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// begin counts a call and returns the faults that apply to it.
func (s *Store) begin(count func(*Calls)) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	count(&s.calls)
	return s.faults
}

// wake wakes pending watches; mu must be held.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns the value of a key if its lease has not expired; mu must be held.
func (s *Store) read(key string) (value, bool) {
	v, ok := s.values[key]
	if ok && !v.expires.IsZero() && !s.now().Before(v.expires) {
		delete(s.values, key)
		return value{}, false
	}
	return v, ok
}

// get returns the value of a key, a channel that is closed at the next change, and the
// faults.
func (s *Store) get(key string) (value, bool, <-chan struct{}, Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.read(key)
	return v, ok, s.changed, s.faults
}

// swap writes data if the key has the revision expected, where 0 means that the key does
// not exist. It returns the new revision and whether the value was written.
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
	s.recordWrite(Write{Key: key, Revision: s.revision, Time: s.now()})
	s.wake()
	return s.revision, true
}

// recordWrite records a write for Writes and drops the oldest of more than maxWrites; mu must
// be held.
func (s *Store) recordWrite(w Write) {
	if len(s.writes) == maxWrites {
		s.writes = s.writes[1:]
	}
	s.writes = append(s.writes, w)
}

// Writes returns the last maxWrites writes of values, oldest first.
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

// SweepExpired deletes values whose leases have expired, and wakes pending watches.
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
