package watchshare

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
)

// Agents count the balancers that send them datagrams, and report the number. In a fleet
// without callers these datagrams are rare, so no agent counts all balancers, and a
// balancer without packets receives no report. Balancers that watch the store and do not
// know of a large fleet therefore ask the seeds for its size, and the seeds count those
// that ask. A balancer that knows of a large fleet asks no more but says so in its
// requests, so that seeds that have restarted learn it from their listeners.

const (
	// sizeRequestInterval is the mean time between two requests for the size of the fleet.
	// They cost each balancer three datagrams of 2 B and their answers.
	sizeRequestInterval = 5 * time.Second
	// sizeRequestTimeout is the time after a balancer's last request from which it no
	// longer counts. Two of its requests may be lost.
	sizeRequestTimeout = 3*sizeRequestInterval + time.Second
)

// sizeCount is how a process counts the balancers of the fleet.
type sizeCount struct {
	// requesters are the balancers that have sent watch requests, with the times of the
	// last ones. They are fewer than minFleetToShare: nobody counts a fleet that is known
	// to be large.
	requesters map[netip.Addr]time.Duration
	// nextRequest is when the seeds are asked next.
	nextRequest time.Duration
}

func newSizeCount() sizeCount {
	return sizeCount{requesters: make(map[netip.Addr]time.Duration)}
}

// countRequest counts the sender of a watch request, unless the fleet is known to be large.
func (s *State) countRequest(now time.Duration, from netip.Addr, r inner.WatchRequest) {
	if r.LargeFleet {
		s.fleetSize = max(s.fleetSize, minFleetToShare)
	}
	if s.fleetSize >= minFleetToShare {
		clear(s.size.requesters)
		return
	}
	s.size.requesters[from] = now
	for host, at := range s.size.requesters {
		if now-at > sizeRequestTimeout {
			delete(s.size.requesters, host)
		}
	}
	s.fleetSize = max(s.fleetSize, len(s.size.requesters)+1)
}

// tickSize asks all seeds for the size of the fleet if that is due.
func (s *State) tickSize(now time.Duration) (out []Send) {
	if now < s.size.nextRequest {
		return nil
	}
	s.size.nextRequest = now + sizeRequestInterval*3/4 + time.Duration(s.random.Int64N(int64(sizeRequestInterval/2)))
	for _, seed := range s.seeds {
		out = append(out, s.watchRequest(seed, inner.WatchRequest{SizeOnly: true}))
	}
	return out
}

// watchRequest returns a watch request to a balancer, with what this process knows of the
// size of the fleet.
func (s *State) watchRequest(to netip.Addr, r inner.WatchRequest) Send {
	r.LargeFleet = s.fleetSize >= minFleetToShare
	return Send{To: to, WatchRequest: r}
}
