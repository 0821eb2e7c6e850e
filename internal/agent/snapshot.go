package agent

import (
	"context"
	"net/netip"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/health"
	"github.com/saltbend/saltbend/internal/member"
)

// fleet is what follow has made of the last snapshot; it belongs to follow.
type appliedState struct {
	ready bool
	slots int
}

// follow keeps the agent's parts at what the fleet knows, until ctx ends.
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
		a.drainRequest.trigger() // the configuration no longer has the service
	}
}

// judged takes up what the upstream has earned.
func (a *agent) applyVerdict(v health.Verdict) {
	a.node.SetLoad(v.Weight)
	if v.Draining {
		a.drainRequest.trigger()
	}
}

// applyService takes up the configuration of the agent's service. Until there
// is one, the agent can't tell which requests may repeat, and asks for none.
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

// unready returns the reasons why new flows should not come here.
func (a *agent) unreadyReasons() []string {
	var reasons []string
	if a.service() == nil {
		reasons = append(reasons, "no configuration names the service")
	}
	if a.node.Snapshot().Self.State == member.StateDraining {
		reasons = append(reasons, "draining")
	}
	return reasons
}
