// Package timeline collects the recent events of all processes over net/rpc and merges
// them into one list ordered by time. Each process holds its last events in a ring (see
// package event). Since clocks differ, the offset of each process's clock is estimated
// from the times of requests and replies, and each event is returned with the remaining
// error of its time.
package timeline

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/event"
	"github.com/saltbend/saltbend/internal/peer"
)

// ServiceName is the net/rpc name of the service.
const ServiceName = "Timeline"

// methodSince is the net/rpc name of Service.Since.
const methodSince = ServiceName + ".Since"

// MaxEvents is the maximum number of events in one reply. A collector repeats its request
// if there are more.
const MaxEvents = 1024

// maxDetail is the maximum length of an event's detail in a reply, in bytes.
const maxDetail = 512

// SinceArgs requests the events with a sequence number of at least Seq.
type SinceArgs struct {
	Seq uint64
	// Age is the maximum age of the events by the process's own clock; 0 means no limit.
	// Without a limit the rings of a large fleet hold millions of events.
	Age time.Duration
}

// SinceReply holds events of one process, oldest first.
type SinceReply struct {
	// Start is when the process started, by its own clock. If it differs from that of an
	// earlier reply, another process has taken the address, and its events are numbered
	// from 0 again.
	Start time.Time
	// Now is the process's time when it answered.
	Now time.Time
	// First is the sequence number that the first event has if none was dropped: the one
	// that was requested, or a higher one if events were left out because of their age.
	// If the first event has a higher sequence number, the ring has dropped the events
	// between.
	First  uint64
	Events []event.Event
	// Next is the sequence number to request next.
	Next uint64
	// More is set if the process already holds further events.
	More bool
}

// Service serves the event ring of a process over net/rpc.
type Service struct {
	process string
	ring    *event.Ring
	now     func() time.Time
	start   time.Time
}

// NewService returns the receiver to register under ServiceName. The events are returned
// with the given control address as the name of their process.
func NewService(process netip.AddrPort, ring *event.Ring, now func() time.Time) *Service {
	return &Service{process: process.String(), ring: ring, now: now, start: now()}
}

// Register registers the service on p, so that collectors can read the ring.
func Register(p *peer.Peer, ring *event.Ring) error {
	return p.Register(ServiceName, NewService(p.Addr(), ring, time.Now))
}

// Since returns events from the ring. It is called over net/rpc.
func (s *Service) Since(args SinceArgs, reply *SinceReply) error {
	now := s.now()
	events, first := withinAge(s.ring.Since(args.Seq), args, now)
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

// withinAge drops the events before the first one that is not older than args.Age. It
// returns the remaining events and the value for SinceReply.First.
func withinAge(events []event.Event, args SinceArgs, now time.Time) (kept []event.Event, first uint64) {
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
