package steer

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/evacuation"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/store"
)

// View is a snapshot of a Core's state for operators.
type View struct {
	Counts Counts
	Routes int
	// List is how recent the list of agents is, NewestReported the highest position of an
	// entry that an agent has reported.
	List           ListAge
	NewestReported store.Position
	// Evacuations are the operators' requests to evacuate data centres.
	Evacuations []evacuation.Request
	Agents      []AgentView
	Services    []ServiceView
	DataCentres []DataCentreView
}

// AgentView is a snapshot of the state of one agent.
type AgentView struct {
	Addr netip.AddrPort
	// Service is the name of the agent's service, or the service's id if no route has the
	// service.
	Service    string
	DataCentre string
	// Status is the agent's last status; Status.State is 0 before the first status.
	Status inner.Status
	// LastReceived is when the last datagram arrived from the agent, 0 for never.
	LastReceived time.Duration
	// StatusAge is the age of Status, 0 before the first one.
	StatusAge           time.Duration
	Suspected, Unlisted bool
	// Evacuated is set if the agent gets no new flows because its data centre is
	// evacuated.
	Evacuated bool
}

// View returns a snapshot of the state.
func (c *Core) View(now time.Duration) View {
	v := View{Counts: c.Counts(now), List: c.roster.age, NewestReported: c.roster.newestReported, Evacuations: c.evacuations.Requests()}
	if c.table != nil {
		v.Routes = c.table.Len()
	}
	v.Services, v.DataCentres = c.serviceViews(now), c.dataCentreViews(now)
	for _, a := range c.roster.list {
		view := AgentView{
			Addr: a.Addr, Service: c.serviceName(a.Service), DataCentre: a.DataCentre, Status: a.status, LastReceived: a.lastReceived,
			Suspected: a.isSuspect(now), Unlisted: a.unlistedSince != 0, Evacuated: a.evacuation.Evacuated,
		}
		if a.statusAt != 0 {
			view.StatusAge = now - a.statusAt
		}
		v.Agents = append(v.Agents, view)
	}
	return v
}

func (c *Core) serviceName(id uint64) string {
	if c.table != nil {
		if name := c.table.ServiceName(id); name != "" {
			return name
		}
	}
	return fmt.Sprintf("id %016x", id)
}
