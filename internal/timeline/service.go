// Package timeline collects the event rings of all processes over net/rpc and
// merges them into one ordered list. Clocks differ: each process's offset is
// estimated from the times of requests and replies, and the rest of the doubt
// is shown with each event instead of being hidden.
package timeline

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/event"
	"github.com/saltbend/saltbend/internal/peer"
)

// ServiceName is the name under which the net/rpc methods are registered.
const ServiceName = "Timeline"

// methodSince is the method that collectors call.
const methodSince = ServiceName + ".Since"

// MaxEvents bounds the events of one reply; a collector asks again for more.
const MaxEvents = 1024

// maxDetail bounds the text of one event in a reply, in bytes.
const maxDetail = 512

// SinceArgs asks for the events from a sequence number on.
type SinceArgs struct {
	Seq uint64
	// Age leaves out events that are older by the process's own clock; 0 asks
	// for all that are kept. Without it the rings of a large fleet are millions of events.
	Age time.Duration
}

// SinceReply holds events of one process, oldest first.
type SinceReply struct {
	// Start is when the process started, by its own clock: another one means
	// that it is another process, which numbers its events from 0 again.
	Start time.Time
	// Now is the process's clock while it answered.
	Now time.Time
	// First is the sequence number that the first event should have: the one
	// that was asked for, or a later one where older events were left out. A
	// gap after it means that the ring has dropped events.
	First  uint64
	Events []event.Event
	// Next is the sequence number to ask for next; More says that there are
	// events already.
	Next uint64
	More bool
}

// Service answers for the event ring of a process.
type Service struct {
	process string
	ring    *event.Ring
	now     func() time.Time
	start   time.Time
}

// NewService returns the receiver to register as ServiceName. The process is
// named by its control address.
func NewService(process netip.AddrPort, ring *event.Ring, now func() time.Time) *Service {
	return &Service{process: process.String(), ring: ring, now: now, start: now()}
}

// Register lets collectors read the ring of the process that p serves.
func Register(p *peer.Peer, ring *event.Ring) error {
	return p.Register(ServiceName, NewService(p.Addr(), ring, time.Now))
}

// Since is called over net/rpc.
func (s *Service) Since(args SinceArgs, reply *SinceReply) error {
	now := s.now()
	events, first := recent(s.ring.Since(args.Seq), args, now)
	more := len(events) > MaxEvents
	if more {
		events = events[:MaxEvents]
	}
	next := first
	for i := range events {
		events[i].Process = s.process
		events[i].Detail = events[i].Detail[:min(len(events[i].Detail), maxDetail)]
		next = events[i].Seq + 1
	}
	*reply = SinceReply{Start: s.start, Now: s.now(), First: first, Events: events, Next: next, More: more}
	return nil
}

// recent leaves out the events before the first one that is young enough.
func recent(events []event.Event, args SinceArgs, now time.Time) (young []event.Event, first uint64) {
	if args.Age <= 0 {
		return events, args.Seq
	}
	oldest := now.Add(-args.Age)
	first = args.Seq
	for len(events) > 0 && events[0].Time.Before(oldest) {
		first = events[0].Seq + 1
		events = events[1:]
	}
	return events, first
}
