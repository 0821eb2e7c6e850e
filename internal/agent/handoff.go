package agent

import (
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/encap"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/placement"
)

// handOff selects the agent for a new flow. While this agent drains or is at
// its connection limit, it returns a ready sibling. Otherwise it returns the
// least loaded sibling if that one is clearly the better choice, and false if
// the flow stays at this agent.
func (a *agent) handOff(_ encap.Header, dcid []byte) (netip.AddrPort, bool) {
	snapshot := a.node.Snapshot()
	if snapshot.Self.State == member.StateDraining || a.atConnectionLimit(snapshot) {
		return chooseSibling(snapshot, dcid)
	}
	target := a.requests.FlowTarget()
	if !target.Better(int(a.server.connections.Load())) {
		return netip.AddrPort{}, false
	}
	return dataAddrOf(snapshot, target.To)
}

// admit reports whether a new flow with header h is accepted. A flow that a balancer
// with an older configuration routed here through a face that the service no longer
// has is rejected, because the caller means to reach the service that owns the face
// now.
func (a *agent) admit(h encap.Header) bool {
	c := a.node.Snapshot().Config
	return c == nil || admits(c.Revision, a.serviceIn(c), h)
}

// admits reports whether a new flow with header h is accepted under the
// configuration with the given revision. service is nil if that configuration
// does not have the agent's service.
func admits(revision uint64, service *config.Service, h encap.Header) bool {
	if h.Revision >= revision {
		return true
	}
	return service != nil && slices.Contains(service.Faces, h.Face)
}

// dataAddrOf returns the data address of the sibling with the control address
// to, or false if the sibling is not ready.
func dataAddrOf(snapshot *control.Snapshot, to netip.AddrPort) (netip.AddrPort, bool) {
	for _, m := range snapshot.Agents {
		if m.Control == to && m.State == member.StateReady {
			return m.Data, true
		}
	}
	return netip.AddrPort{}, false
}

// atConnectionLimit reports whether the agent has reached the service's limit of
// connections.
func (a *agent) atConnectionLimit(snapshot *control.Snapshot) bool {
	service := a.serviceIn(snapshot.Config)
	if service == nil || service.Limits.Connections == 0 {
		return false
	}
	return a.server.connections.Load() >= int64(service.Limits.Connections)
}

// chooseSibling selects a ready sibling, or a starting one if none is ready, by the
// hash of the connection ID.
func chooseSibling(snapshot *control.Snapshot, dcid []byte) (netip.AddrPort, bool) {
	others := make([]member.Member, 0, len(snapshot.Agents))
	for _, m := range snapshot.Agents {
		if m.Control != snapshot.Self.Control {
			others = append(others, m)
		}
	}
	set := placement.NewSet(placement.NewLocality(snapshot.Self.DataCentre, snapshot.Balancers), others, 0)
	return set.Choose(xxhash.Sum64(dcid))
}
