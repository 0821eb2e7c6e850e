// Package event keeps the last events of a process in a ring, from which the
// CLI builds one time line over all processes.
package event

import (
	"sync"
	"time"
)

// Kind names what happened: a few words in lower case with hyphens between
// them. The values are listed in docs/operations/settings.md.
type Kind string

// Event is one thing that happened in a process.
type Event struct {
	// Seq rises by one with each event of a process; a gap means that the ring
	// has dropped events.
	Seq  uint64
	Time time.Time
	// Process is the control address of the process, Part its component.
	Process string
	Part    string
	Kind    Kind
	Detail  string
}

// DefaultRingSize is the number of events a process keeps.
const DefaultRingSize = 4096

// Ring keeps the newest events. It is safe for concurrent use.
type Ring struct {
	mu     sync.Mutex
	events []Event
	next   uint64
	now    func() time.Time
}

// NewRing returns a ring of size events that reads the time from now.
func NewRing(size int, now func() time.Time) *Ring {
	return &Ring{events: make([]Event, 0, size), now: now}
}

// Add records an event of the part.
func (r *Ring) Add(part string, kind Kind, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := Event{Seq: r.next, Time: r.now(), Part: part, Kind: kind, Detail: detail}
	r.next++
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[e.Seq%uint64(cap(r.events))] = e
}

// Since returns the kept events with a sequence number of at least seq, oldest
// first.
func (r *Ring) Since(seq uint64) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := uint64(len(r.events))
	first := max(seq, r.next-kept)
	out := make([]Event, 0, r.next-min(first, r.next))
	for s := first; s < r.next; s++ {
		out = append(out, r.events[s%uint64(cap(r.events))])
	}
	return out
}
