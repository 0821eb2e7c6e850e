package agent

import (
	"context"
	"net/netip"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/health"
	"github.com/saltbend/saltbend/internal/member"
)

// appliedState is what applySnapshots has applied so far. Only the goroutine of
// applySnapshots uses it.
type appliedState struct {
	ready bool
	slots int
}

// applySnapshots updates the agent's components with each snapshot of the
// fleet's state until ctx ends.
func (a *agent) applySnapshots(ctx context.Context) {
	for {
		changed := a.node.Changed()
		a.apply(a.node.Snapshot())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (a *agent) apply(snapshot *control.Snapshot) {
	live := make([]netip.AddrPort, 0, len(snapshot.Balancers))
	for _, b := range snapshot.Balancers {
		live = append(live, b.Data)
	}
	a.flow.SetLive(live)
	if snapshot.Config == nil {
		return
	}
	a.flow.SetRevision(snapshot.Config.Revision)
	if service := a.serviceIn(snapshot.Config); service != nil {
		a.applyService(service)
	} else if a.appliedState.ready {
		a.drainRequest.trigger() // the service was removed from the configuration
	}
}

// applyVerdict announces the upstream's weight to the fleet, and starts a drain
// if the upstream reports that it drains.
func (a *agent) applyVerdict(v health.Verdict) {
	a.node.SetLoad(v.Weight)
	if v.Draining {
		a.drainRequest.trigger()
	}
}

// applyService applies the configuration of the agent's service, and makes the
// agent ready at the first call. Until then the agent receives no requests,
// because it doesn't know which of them may be repeated.
func (a *agent) applyService(service *config.Service) {
	if slots := service.Limits.Slots; slots > 0 && slots != a.appliedState.slots {
		a.appliedState.slots = slots
		a.node.SetSlots(slots)
	}
	if a.appliedState.ready {
		return
	}
	a.appliedState.ready = true
	a.node.SetState(member.StateReady)
	a.env.Events.Add(part, eventReady, a.settings.Service)
}

// service returns the agent's service in the configuration in force, or nil.
func (a *agent) service() *config.Service {
	return a.serviceIn(a.node.Snapshot().Config)
}

func (a *agent) serviceIn(c *config.Config) *config.Service {
	if c == nil {
		return nil
	}
	for i := range c.Services {
		if c.Services[i].Name == a.settings.Service {
			return &c.Services[i]
		}
	}
	return nil
}

// unreadyReasons returns the reasons why new flows should not be routed to this
// agent.
func (a *agent) unreadyReasons() []string {
	var reasons []string
	if a.service() == nil {
		reasons = append(reasons, "the service is not in the configuration, or there is no configuration yet")
	}
	if a.node.Snapshot().Self.State == member.StateDraining {
		reasons = append(reasons, "draining")
	}
	return reasons
}
