package watchshare

import (
	"net/netip"
	"slices"
	"time"
)

// A balancer that starts knows nothing. In a large fleet most start together, at the
// first start or after a common loss of power: if each read the store, those readings
// would fill its link, and grow with the balancers times the agents. So a balancer that
// is no seed asks the seeds first and takes what one of them has read. The seeds, which
// start at the same moment, keep those that ask and tell them once they know.

// Times of a start.
const (
	// startRequestInterval is the time between two requests of a balancer that knows nothing.
	startRequestInterval = 15 * time.Millisecond
	// startSearchInterval is the time between two requests of one that has read the store itself:
	// others that start at the same moment have become sources meanwhile.
	startSearchInterval = 60 * time.Millisecond
	// seedReplyTimeout is how long it waits for a seed's first word, fleetPatience for
	// the seed's own reading where the fleet is known to be large: a reading of 1,000
	// agents takes some 100 ms on a link of 20 Mbit/s.
	seedReplyTimeout = 25 * time.Millisecond
	seedReadTimeout  = 400 * time.Millisecond
	// firstStartTimeout is the same when the whole system starts for the first time: the
	// seeds may come later, and callers later yet.
	firstStartTimeout = 2 * time.Second
	// sizeKnownAfter is the age from which on the number of balancers that have asked tells
	// whether the fleet is small.
	sizeKnownAfter = 500 * time.Millisecond
)

// start is what a balancer knows of its own start.
type start struct {
	// seed tells that others name this host as a seed, first that the whole system
	// starts for the first time.
	seed, first bool
	// smallFleet tells that by the word of another balancer the fleet shares no watches.
	smallFleet bool
}

// SetStart tells how the process starts: whether it is a seed of others, and whether
// the whole system starts for the first time.
func (s *State) SetStart(seed, first bool) { s.start.seed, s.start.first = seed, first }

// lacksListing reports whether the process knows nothing of the store yet.
func (s *State) lacksListing() bool { return s.asOf == 0 }

// awaitsSeed reports whether news of a host are wanted as the process knows nothing yet.
func (s *State) awaitsSeed(host netip.Addr) bool {
	return s.lacksListing() && !s.source.IsValid() && slices.Contains(s.seeds, host)
}

// ReadsStore reports whether a process that knows nothing yet is to read the store
// itself: a seed does at once, another one when nobody has told it anything in time.
func (s *State) ReadsStore(now time.Duration) bool {
	if s.start.seed || len(s.seeds) == 0 {
		return true
	}
	if s.source.IsValid() {
		return false
	}
	switch {
	case s.start.first:
		return now >= firstStartTimeout
	case s.fleetSize >= minFleetToShare:
		return now >= seedReadTimeout
	}
	return s.start.smallFleet || now >= seedReplyTimeout
}

// tickStarting asks for a source.
func (s *State) tickStarting(now time.Duration) []Send {
	if s.start.seed || now < s.nextAsk {
		return nil
	}
	s.nextAsk = now + startRequestInterval
	return s.askAny(now)
}
