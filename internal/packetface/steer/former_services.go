package steer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/routing"
	"github.com/saltbend/saltbend/platform"
)

// A flow is held by an agent of a service that its face routes to now, or routed to when
// the flow was opened. A balancer that has followed the configuration for longer than any
// flow lasts knows all these services. To find a flow's owner, the agent whose upstream
// holds it, the balancer asks only agents of these services, so the cost of that search
// does not grow with the fleet.

// formerRetentionFactor times the maximum lifetime of a flow is the retention time of
// former services. A balancer has to follow the configuration for that long before it
// relies on its record of former services, and keeps a former service for that long: other
// balancers may have placed flows by an older version of the configuration for a while.
const formerRetentionFactor = 3

// formerServices records the services that each face has stopped routing to, and when.
type formerServices struct {
	// since is when the first configuration was applied, 0 for not yet; retention is how
	// long a former service is kept, 0 if the record must not be relied on.
	since, retention time.Duration
	// lastRouted holds, by face and former service, when the face last routed to the
	// service.
	lastRouted map[netip.AddrPort]map[uint64]time.Duration
}

// update records the services that faces no longer route to.
func (f *formerServices) update(now time.Duration, before, after *routing.Table) {
	if f.since == 0 {
		f.since = now
	}
	if before == nil {
		return
	}
	for face, route := range before.All() {
		var current []uint64
		if next := after.At(face); next != nil {
			current = next.Services
		}
		for _, service := range route.Services {
			if !slices.Contains(current, service) {
				f.markFormer(face, service, now)
			}
		}
	}
}

func (f *formerServices) markFormer(face netip.AddrPort, service uint64, now time.Duration) {
	if f.lastRouted == nil {
		f.lastRouted = make(map[netip.AddrPort]map[uint64]time.Duration)
	}
	if f.lastRouted[face] == nil {
		f.lastRouted[face] = make(map[uint64]time.Duration)
	}
	f.lastRouted[face][service] = now
}

// sweep removes services of which no flow can be left.
func (f *formerServices) sweep(now time.Duration) {
	for face, services := range f.lastRouted {
		for service, at := range services {
			if now-at > f.retention {
				delete(services, service)
			}
		}
		if len(services) == 0 {
			delete(f.lastRouted, face)
		}
	}
}

// setRetention changes how long a former service is kept. A longer time restarts the
// record, as services that were removed after the shorter time are missing.
func (f *formerServices) setRetention(now, retention time.Duration) {
	if retention > f.retention && f.since > 0 {
		f.since = now
	}
	f.retention = retention
}

// isComplete reports whether the record has all services whose agents may hold a flow.
func (f *formerServices) isComplete(now time.Duration) bool {
	return f.retention > 0 && f.since > 0 && now-f.since > f.retention
}

// possibleHolders returns the agents whose upstreams may hold a flow.
func (c *Core) possibleHolders(now time.Duration, id platform.Flow) []*agent {
	if !c.former.isComplete(now) {
		return c.roster.list
	}
	var all []*agent
	services := make(map[uint64]bool)
	if route := c.route(id); route != nil {
		for _, service := range route.Services {
			services[service] = true
		}
	}
	for service := range c.former.lastRouted[id.FaceAddr()] {
		services[service] = true
	}
	for service := range services {
		all = append(all, c.roster.byService[service]...)
	}
	return all
}
