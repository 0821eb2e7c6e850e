package steer

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/evacuation"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/store"
)

// View is what a Core believes, for operators.
type View struct {
	Counts Counts
	Routes int
	// List is how new the list of agents is, Heard the highest position of an
	// entry that an agent has told of.
	List  ListAge
	Heard store.Position
	// Evacuations are the operators' requests to empty data centres.
	Evacuations []evacuation.Request
	Agents      []AgentView
}

// AgentView is what a Core believes of one agent.
type AgentView struct {
	Addr netip.AddrPort
	// Service is its name, or its id where no route names it.
	Service    string
	DataCentre string
	// Status is the agent's last; its state is 0 before the first.
	Status inner.Status
	// Heard is when the last datagram came, 0 for never.
	Heard               time.Duration
	Suspected, Unlisted bool
	// Evacuated tells that it gets no new flows.
	Evacuated bool
}

// View returns a copy of what is believed.
func (c *Core) View(now time.Duration) View {
	v := View{Counts: c.Counts(now), List: c.roster.age, Heard: c.roster.newestReported, Evacuations: c.evacuations.Requests()}
	if c.table != nil {
		v.Routes = c.table.Len()
	}
	for _, a := range c.roster.list {
		v.Agents = append(v.Agents, AgentView{
			Addr: a.Addr, Service: c.serviceName(a.Service), DataCentre: a.DataCentre, Status: a.status, Heard: a.lastReceived,
			Suspected: a.isSuspect(now), Unlisted: a.unlistedSince != 0, Evacuated: a.evacuation.Evacuated,
		})
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
