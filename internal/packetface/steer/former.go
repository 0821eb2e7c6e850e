package steer

import (
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/routing"
	"github.com/saltbend/saltbend/platform"
)

// A flow lives at an agent of a service that its face leads to, or led to when the
// flow was opened. A balancer that has followed the configuration for longer than
// any flow lives knows all of these, and asks no others: what a search costs then
// does not grow with the fleet.

// formerRetentionFactor is the number of the longest lives of a flow for which a balancer
// follows the configuration before it trusts its memory, and remembers a former
// service: others may have placed flows by an older version for a while.
const formerRetentionFactor = 3

// formerServices remembers to which services faces led.
type formerServices struct {
	// since is when the first configuration came, 0 for not yet; retention is how long
	// a former service is remembered, 0 for never to trust it.
	since, retention time.Duration
	// former holds when a service was last one of a face's.
	former map[netip.AddrPort]map[uint64]time.Duration
}

// update notes which services faces no longer lead to.
func (f *formerServices) update(now time.Duration, before, after *routing.Table) {
	if f.since == 0 {
		f.since = now
	}
	if before == nil {
		return
	}
	for face, route := range before.All() {
		var kept []uint64
		if next := after.At(face); next != nil {
			kept = next.Services
		}
		for _, service := range route.Services {
			if !slices.Contains(kept, service) {
				f.markFormer(face, service, now)
			}
		}
	}
}

func (f *formerServices) markFormer(face netip.AddrPort, service uint64, now time.Duration) {
	if f.former == nil {
		f.former = make(map[netip.AddrPort]map[uint64]time.Duration)
	}
	if f.former[face] == nil {
		f.former[face] = make(map[uint64]time.Duration)
	}
	f.former[face][service] = now
}

// sweep forgets services that no flow can be of any more.
func (f *formerServices) sweep(now time.Duration) {
	for face, services := range f.former {
		for service, at := range services {
			if now-at > f.retention {
				delete(services, service)
			}
		}
		if len(services) == 0 {
			delete(f.former, face)
		}
	}
}

// setRetention takes over how long a former service is remembered. What a shorter time has
// forgotten is missing for a longer one, so the memory begins anew.
func (f *formerServices) setRetention(now, keep time.Duration) {
	if keep > f.retention && f.since > 0 {
		f.since = now
	}
	f.retention = keep
}

// isComplete reports whether all services are isComplete that a flow may be of.
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
	for service := range c.former.former[id.FaceAddr()] {
		services[service] = true
	}
	for service := range services {
		all = append(all, c.roster.byService[service]...)
	}
	return all
}
