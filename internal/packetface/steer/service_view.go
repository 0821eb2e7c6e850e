package steer

import (
	"cmp"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/admission"
	"github.com/saltbend/saltbend/internal/packetface/inner"
)

// ServiceView is a snapshot of the room of a service for operators.
type ServiceView struct {
	// Service is the name of the service, or its id if no route has it.
	Service string
	// Agents is the number of agents that accept flows, Recent how many of them have
	// reported recently enough for decisions.
	Agents, Recent int
	// Slots are the slots of the upstreams, FreeSlots those without a request, as far as is
	// known.
	Slots, FreeSlots int
	// Short is set if the service is short of room, ShortFor for how long it has been.
	Short    bool
	ShortFor time.Duration
	// Bar is the bar below which openings are refused, 0 for none.
	Bar admission.Standing
	// RefusedShare is the share of the openings of the last seconds that were refused.
	RefusedShare float64
	// ShortestWait and LongestWait are expected waits of openings at the agents that report
	// one.
	ShortestWait, LongestWait time.Duration
	// NewestAge and OldestAge are the ages of the agents' figures, 0 if there are none.
	NewestAge, OldestAge time.Duration
}

// DataCentreView is a snapshot of the room in a data centre for operators.
type DataCentreView struct {
	DataCentre string
	// Agents is the number of agents that accept flows.
	Agents, Slots, FreeSlots int
	// Utilization is the share of the slots in use over some seconds, where agents report
	// it.
	Utilization float64
}

// room sums up the figures of agents.
type room struct {
	agents, slots, freeSlots int
	shortest, longest        time.Duration
	newest, oldest           time.Duration
	figures, waits           int
	// utilized is the mean number of slots in use, reporting the number of slots of the
	// agents that report it.
	utilized, reporting float64
}

// add adds the figures of an agent that accepts flows.
func (r *room) add(now time.Duration, a *agent) {
	r.agents++
	slots := max(int(a.status.Slots), a.Slots)
	r.slots += slots
	if a.loadAt == 0 {
		return
	}
	r.freeSlots += max(slots-int(a.status.Running)-a.pending, 0)
	age := now - a.loadAt
	if r.figures == 0 {
		r.newest = age
	}
	r.newest, r.oldest = min(r.newest, age), max(r.oldest, age)
	r.figures++
	if a.status.HasLoad {
		r.addLoad(a.status.Load, float64(slots))
	}
}

func (r *room) addLoad(load inner.Load, slots float64) {
	if r.waits == 0 {
		r.shortest = load.Wait
	}
	r.shortest, r.longest = min(r.shortest, load.Wait), max(r.longest, load.Wait)
	r.waits++
	r.utilized += load.Utilization * slots
	r.reporting += slots
}

// utilization returns the mean share of the slots in use.
func (r *room) utilization() float64 {
	if r.reporting == 0 {
		return 0
	}
	return r.utilized / r.reporting
}

// barInUse returns the highest bar by which flows of the service are refused at present.
// Routes that are bound to regions have bars of their own.
func (c *Core) barInUse(now time.Duration, service uint64) (bar admission.Standing) {
	for key, l := range c.levels {
		if key.service == service && now-l.at <= levelMaxAge {
			bar = max(bar, l.bar)
		}
	}
	return bar
}

// accepts reports whether an agent gets new flows.
func (c *Core) accepts(now time.Duration, a *agent) bool {
	return !a.evacuation.Evacuated && a.acceptsFlows() && !a.isSuspect(now)
}

// serviceViews returns the views of all services with agents, by name.
func (c *Core) serviceViews(now time.Duration) (out []ServiceView) {
	for service, agents := range c.roster.byService {
		if len(agents) > 0 {
			out = append(out, c.serviceView(now, service, agents))
		}
	}
	slices.SortFunc(out, func(a, b ServiceView) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

func (c *Core) serviceView(now time.Duration, service uint64, agents []*agent) ServiceView {
	sum := room{}
	for _, a := range agents {
		if c.accepts(now, a) {
			sum.add(now, a)
		}
	}
	level := c.currentLevel(now, service)
	v := ServiceView{
		Service: c.serviceName(service), Agents: sum.agents, Recent: level.known, Slots: sum.slots, FreeSlots: sum.freeSlots,
		Bar: c.barInUse(now, service), ShortestWait: sum.shortest, LongestWait: sum.longest, NewestAge: sum.newest, OldestAge: sum.oldest,
	}
	if r := c.services.records[service]; r != nil {
		v.RefusedShare = r.refusedShare()
		if v.Short = r.noted; v.Short {
			v.ShortFor = now - r.shortSince
		}
	}
	return v
}

// dataCentreViews returns the views of all data centres with agents, by name.
func (c *Core) dataCentreViews(now time.Duration) (out []DataCentreView) {
	sums := make(map[string]*room)
	for _, a := range c.roster.list {
		sum := sums[a.DataCentre]
		if sum == nil {
			sum = &room{}
			sums[a.DataCentre] = sum
		}
		if c.accepts(now, a) {
			sum.add(now, a)
		}
	}
	for name, sum := range sums {
		out = append(out, DataCentreView{DataCentre: name, Agents: sum.agents, Slots: sum.slots, FreeSlots: sum.freeSlots, Utilization: sum.utilization()})
	}
	slices.SortFunc(out, func(a, b DataCentreView) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return out
}

// ShortServices returns the number of services that are short of room.
func (c *Core) ShortServices() (n int) {
	for _, r := range c.services.records {
		if r.noted {
			n++
		}
	}
	return n
}
