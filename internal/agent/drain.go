package agent

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/encap"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/placement"
)

// drain stops new work, lets running work and feeds end, and returns when none
// is left or the drain's timeout is over.
func (a *agent) drain() {
	a.env.Events.Add(part, eventDraining, "")
	a.log.Info("Draining.", slog.Int("requests", a.server.running.number()))
	a.node.SetState(member.StateDraining)
	ctx, cancel := context.WithTimeout(context.Background(), a.drainTimeout())
	defer cancel()
	wait(ctx, announceGrace)
	a.requests.Drain()
	a.server.shutdown(ctx)
	left := a.server.running.number()
	a.env.Events.Add(part, eventDrained, "")
	a.log.Info("Drained.", slog.Int("cut", left))
}

// drainTimeout returns the end of a drain whose feeds don't end by themselves.
func (a *agent) drainTimeout() time.Duration {
	if s := a.service(); s != nil && s.Drain.Timeout > 0 {
		return s.Drain.Timeout
	}
	return a.settings.DrainTimeout
}

// hand places a new flow: while the agent drains, at a sibling that is ready.
func (a *agent) hand(_ encap.Header, dcid []byte) (netip.AddrPort, bool) {
	snapshot := a.node.Snapshot()
	if snapshot.Self.State != member.StateDraining {
		return netip.AddrPort{}, false
	}
	return sibling(snapshot, dcid)
}

// sibling chooses among the agents of the service that are ready.
func sibling(snapshot *control.Snapshot, dcid []byte) (netip.AddrPort, bool) {
	others := make([]member.Member, 0, len(snapshot.Agents))
	for _, m := range snapshot.Agents {
		if m.Control != snapshot.Self.Control {
			others = append(others, m)
		}
	}
	set := placement.NewSet(placement.NewLocality(snapshot.Self.DataCentre, snapshot.Balancers), others, 0)
	return set.Choose(xxhash.Sum64(dcid))
}
