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

// hand places a new flow: at a ready sibling while the agent drains or has as
// many connections as the configuration allows, at the least loaded one while
// that is clearly better placed, else here.
func (a *agent) redirect(_ encap.Header, dcid []byte) (netip.AddrPort, bool) {
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

// admit refuses a new flow that a balancer with an older configuration placed
// here, through a face that the service no longer has: the caller means the
// service that has the face now.
func (a *agent) admit(h encap.Header) bool {
	c := a.node.Snapshot().Config
	return c == nil || admits(c.Revision, a.serviceIn(c), h)
}

// admits decides with the service as of a revision, nil where it has none.
func admits(revision uint64, service *config.Service, h encap.Header) bool {
	if h.Revision >= revision {
		return true
	}
	return service != nil && slices.Contains(service.Faces, h.Face)
}

// dataOf returns the data address of the ready sibling with the control
// address.
func dataAddrOf(snapshot *control.Snapshot, to netip.AddrPort) (netip.AddrPort, bool) {
	for _, m := range snapshot.Agents {
		if m.Control == to && m.State == member.StateReady {
			return m.Data, true
		}
	}
	return netip.AddrPort{}, false
}

// full reports whether the agent has as many connections as it may.
func (a *agent) atConnectionLimit(snapshot *control.Snapshot) bool {
	service := a.serviceIn(snapshot.Config)
	if service == nil || service.Limits.Connections == 0 {
		return false
	}
	return a.server.connections.Load() >= int64(service.Limits.Connections)
}

// sibling chooses among the agents of the service that are ready.
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
