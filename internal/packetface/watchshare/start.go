package watchshare

import "time"

// A balancer has no listing when it starts. In a large fleet most balancers start together,
// at the first start or after a simultaneous loss of power. If each of them read all keys,
// the answers would fill the store's link: their total size grows with the number of
// balancers times the number of agents. So a balancer that is no seed requests the listing
// from the seeds first. The seeds, which start at the same time, record these requests and
// send their store updates once they have read the store.

// Intervals and time limits of a start.
const (
	// startRequestInterval is the time between two requests of a balancer that has no
	// listing.
	startRequestInterval = 15 * time.Millisecond
	// startSearchInterval is the time between two requests of a balancer that has just
	// read the store itself: other balancers that started at the same time may have become
	// sources meanwhile.
	startSearchInterval = 60 * time.Millisecond
	// seedReplyTimeout is how long a starting balancer waits for the first answer of a
	// seed before it reads the store.
	seedReplyTimeout = 25 * time.Millisecond
	// seedReadTimeout replaces seedReplyTimeout if the fleet is known to be large, so that
	// the seed has time to read the store itself: reading 1,000 agents takes some 100 ms
	// on a link of 20 Mbit/s.
	seedReadTimeout = 400 * time.Millisecond
	// firstStartTimeout replaces both of these timeouts if the whole system starts for the
	// first time: the seeds may start later than this balancer, and callers later than the
	// seeds.
	firstStartTimeout = 2 * time.Second
	// sizeKnownAfter is the time after the process's start from which the number of
	// balancers that have sent requests shows whether the fleet is small.
	sizeKnownAfter = 500 * time.Millisecond
)

// start is the state of a balancer that concerns its start.
type start struct {
	// seed is set if other balancers use this host as a seed. first is set if the whole
	// system starts for the first time.
	seed, first bool
	// smallFleet is set if, according to another balancer, the fleet is too small to
	// share watches.
	smallFleet bool
}

// SetStart sets whether other balancers use the process as a seed, and whether the whole
// system starts for the first time.
func (s *State) SetStart(seed, first bool) { s.start.seed, s.start.first = seed, first }

// lacksListing reports whether the process has neither read the store nor loaded a
// listing yet.
func (s *State) lacksListing() bool { return s.asOf == 0 }

// ShouldReadStore reports whether a process without a listing should read the store itself.
// A seed reads the store at once, another balancer when no source has answered in time.
func (s *State) ShouldReadStore(now time.Duration) bool {
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

// tickStarting requests a source while the process has no listing.
func (s *State) tickStarting(now time.Duration) []Send {
	if s.start.seed || now < s.nextAsk {
		return nil
	}
	s.nextAsk = now + startRequestInterval
	return s.askAny(now)
}
