// Package event holds the last events of a process in a ring buffer. The command-line tool
// collects the rings of all processes and merges them into one timeline.
package event

import (
	"sync"
	"time"
)

// Kind is the kind of an event: a few lower-case words joined by hyphens. The values are
// listed in docs/operations/settings.md.
type Kind string

// Event is one event of a process.
type Event struct {
	// Seq increases by one with each event of a process. A gap means that the ring has
	// dropped events.
	Seq  uint64
	Time time.Time
	// Process is the control address of the process. A Ring leaves it empty; package
	// timeline sets it.
	Process string
	// Part is the component of the process that recorded the event.
	Part   string
	Kind   Kind
	Detail string
}

// DefaultRingSize is the number of events that a process holds.
const DefaultRingSize = 4096

// Ring is a ring buffer of the newest events. It is safe for concurrent use.
type Ring struct {
	mu     sync.Mutex
	events []Event
	next   uint64
	now    func() time.Time
}

// NewRing returns a ring that holds size events and takes their times from now.
func NewRing(size int, now func() time.Time) *Ring {
	return &Ring{events: make([]Event, 0, size), now: now}
}

// Add records an event of the part. If the ring is full, it replaces the oldest event.
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

// Since returns the events in the ring with a sequence number of at least seq, oldest
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
