package steer

import (
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/admission"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/policy"
	"github.com/saltbend/saltbend/internal/packetface/routing"
	"github.com/saltbend/saltbend/platform"
)

// open places a flow, or forwards another copy of its opening packet.
func (c *Core) open(now time.Duration, id platform.Flow, b []byte) {
	route := c.route(id)
	if route == nil {
		if !c.settings.Policies.On(policy.EarlyOpenings) || !c.bufferEarly(now, id, b) {
			c.noRoute(id)
		}
		return
	}
	f := c.flows[id]
	if f == nil {
		f = c.addFlow(id, now)
		f.mayBeRetry = c.mayBeRetry(now, b)
		f.sawFirst = copyAge(b) == 0
	}
	f.copyAge = max(f.copyAge, copyAge(b))
	f.seen, f.terms = now, route.Terms
	if f.agent != nil && (f.open || !silentSincePlaced(f, now)) {
		c.sendOpen(now, f, f.agent, route, id, b, 0)
		return
	}
	if f.agent != nil {
		f.tried = append(f.tried, f.agent)
		f.sawFirst = false // the silent agent may have passed the first copy on
	}
	c.place(now, id, f, route, b)
}

// copyAge returns the time from the caller's first transmission of an opening packet to the
// transmission of this copy.
func copyAge(b []byte) time.Duration {
	p, err := platform.ParsePacket(b)
	if err != nil {
		return 0
	}
	return p.CopyAge()
}

// hops returns how many agents have received the opening packet and not taken the flow.
func (f *flow) hops() int { return len(f.tried) + len(f.busy) }

// excluded returns the agents to which a flow is not sent. Under overload all slots of
// all upstreams are taken: a flow that MaxBusyHops agents have returned as busy has to
// wait in a queue, preferably the shortest, which may be that of an agent that has
// returned the flow before. If those agents were excluded, the flow would go to the
// upstreams that look worst.
func (c *Core) excluded(f *flow) []*agent {
	if len(f.busy) >= inner.MaxBusyHops && c.settings.Policies.On(policy.ShortestQueue) {
		return f.tried
	}
	return slices.Concat(f.tried, f.busy)
}

// mayBeRetry reports whether an opening packet may be for a request that its caller has
// sent before.
func (c *Core) mayBeRetry(now time.Duration, b []byte) bool {
	p, err := platform.ParsePacket(b)
	return err == nil && c.settings.Policies.On(policy.Repetition) && admission.MayBeRetry(now-p.CopyAge())
}

// silentSincePlaced reports whether the flow's agent was removed, or has sent nothing
// since the opening packet was sent to it more than copyTimeout ago.
func silentSincePlaced(f *flow, now time.Duration) bool {
	if f.agent.removed {
		return true
	}
	return f.agent.lastReceived < f.placed && now-f.placed > copyTimeout
}

// place sends an opening packet to the best agent that has not returned it.
func (c *Core) place(now time.Duration, id platform.Flow, f *flow, route *routing.Route, b []byte) {
	service, ok := route.Choose(id)
	if !ok {
		c.reset(id, 0, "no-service")
		return
	}
	w := c.requirementsOf(route, service)
	f.service = service
	if f.hops() == 0 && c.refusedByLevel(now, id, route, w) {
		c.refuse(now, id, f, "service-overloaded")
		return
	}
	best := c.choose(now, f, route, w)
	if best == nil || f.hops() >= maxHops {
		c.placeLast(now, id, f, route, w, b)
		return
	}
	note := Note{Kind: KindPlaced, Flow: id, Agent: best.Addr, Age: now - best.lastReceived, Count: f.hops()}
	if f.hops() > 0 {
		note.Kind, note.Took = KindPlacedAgain, now-f.placed
	}
	c.note(note)
	f.agent, f.placed = best, now
	best.pending++
	flags := inner.Flags(0)
	if best.isFailing() {
		flags = inner.FlagLastChoice
	}
	c.sendOpen(now, f, best, route, id, b, flags)
}

// choose returns the agent to try next for a flow, nil if there is none. While the service is
// short of room, a flow goes to a short queue at once.
func (c *Core) choose(now time.Duration, f *flow, route *routing.Route, w requirements) *agent {
	f.toQueue = false
	if route.Terms.TargetLatency > 0 && c.settings.Policies.On(policy.ServiceLevel) && c.level(now, w).short() {
		if best := c.roster.chooseShort(now, w, c.settings, f.tried); best != nil {
			f.toQueue = true
			return best
		}
	}
	if w.byRoom {
		if best := c.chooseByRoom(now, w, c.excluded(f)); best != nil {
			return best
		}
	}
	return c.roster.choose(now, w, c.settings, c.excluded(f))
}

// placeLast sends an opening packet that every agent has returned to the agent of last
// resort, or rejects the flow if there is none.
func (c *Core) placeLast(now time.Duration, id platform.Flow, f *flow, route *routing.Route, w requirements, b []byte) {
	last := c.roster.lastResort(now, w, c.settings)
	if last == nil || f.agent == nil || f.lastTry {
		c.reject(now, id, c.rejectReason(w), b)
		return
	}
	c.note(Note{Kind: KindPlacedAgain, Flow: id, Agent: last.Addr, Age: now - last.lastReceived, Took: now - f.placed, Reason: "last", Count: f.hops()})
	f.agent, f.placed, f.lastTry = last, now, true
	c.sendOpen(now, f, last, route, id, b, inner.FlagLastChoice)
}

// rejectReason returns why no agent of a service takes a flow.
func (c *Core) rejectReason(w requirements) string {
	open, home := c.roster.countAllowed(w)
	switch {
	case home == 0 && len(w.allowedRegions) > 0:
		return "no-upstream-at-home"
	case open == 0 && home > 0:
		return "service-evacuated"
	}
	return "no-upstream-takes-it"
}

// requirementsOf returns what a new flow of a route requires of its agent.
func (c *Core) requirementsOf(route *routing.Route, service uint64) requirements {
	return requirements{
		service: service, long: route.Idempotent, allowedRegions: route.AllowedRegions, regions: c.settings.Regions, terms: route.Terms,
		byRoom: c.settings.Policies.On(policy.RoomPlacement) && route.Terms.TargetLatency > 0 && route.Terms.Timeout > 0,
	}
}

// reject resets a flow that no agent takes, so that its caller knows at once; no request
// of the flow has run. While the list of agents may be incomplete, the packet is dropped
// instead unless it is the last copy: the caller's next copy is placed anew, and the
// caller does not use up one of its retries.
func (c *Core) reject(now time.Duration, id platform.Flow, reason string, b []byte) {
	delete(c.flows, id)
	p, err := platform.ParsePacket(b)
	if err == nil && !c.listComplete(now) && !p.IsLastCopy() {
		c.note(Note{Kind: KindDropped, Flow: id, Reason: "next-copy-tries-again", Age: now - c.roster.firstListAt})
		return
	}
	c.reset(id, 0, reason)
}

// listComplete reports whether the list has every agent that the store or other balancers
// know of.
func (c *Core) listComplete(now time.Duration) bool {
	if c.settings.AwaitPeers && !c.peerAgentsAdded {
		return false
	}
	wait := listSettleTime
	if c.roster.age.Relisting {
		wait = relistSettleTime
	}
	return c.roster.firstListAt != 0 && now-c.roster.firstListAt >= wait && !c.roster.outdated()
}

func (c *Core) sendOpen(now time.Duration, f *flow, a *agent, route *routing.Route, id platform.Flow, b []byte, flags inner.Flags) {
	service, _ := route.Choose(id)
	start := len(c.buffer)
	flags |= c.flagsFor(a, now, maxStatusAgeOpen)
	if a.status.AcceptsTerms {
		flags |= inner.FlagTerms
	}
	if f.mayBeRetry {
		flags |= inner.FlagMayBeRetry
	}
	c.buffer = inner.AppendOpen(c.buffer, inner.Open{
		Flags: flags, Hops: f.reportedHops(), Service: service, Slots: c.roster.slots(a), Versions: c.versions(),
		Evacuation: a.evacuation, Cold: c.coldOf(service), Terms: route.Terms, Epoch: c.epochs.At(now),
	}, b)
	c.send(a.Addr, start)
}

// reportedHops returns the number of hops that an agent is told. An agent does not return a
// flow that is sent to its queue as busy.
func (f *flow) reportedHops() uint8 {
	hops := min(f.hops(), maxHops)
	if f.toQueue {
		hops = max(hops, inner.MaxBusyHops)
	}
	return uint8(hops)
}

// noRoute handles an opening packet for a face without a route: it resets the flow if the
// configuration is known to be current, and drops the packet otherwise.
func (c *Core) noRoute(id platform.Flow) {
	if c.table != nil && c.tableFresh {
		c.reset(id, 0, "no-route")
		return
	}
	c.note(Note{Kind: KindDropped, Flow: id, Reason: "no-route-known"})
}

// placeAgain sends an opening packet that an agent has returned to another agent.
func (c *Core) placeAgain(now time.Duration, id platform.Flow, a *agent, head inner.Returned, packet []byte) {
	route := c.route(id)
	f := c.flows[id]
	if route == nil || f == nil || f.open || f.agent != a {
		return // a later copy has been placed elsewhere, or the route is gone
	}
	if head.Reason == inner.ReasonOverloaded && f.copyAge > copyAge(packet) {
		return // the agent has been sent a later copy, and decides on that one
	}
	if f.lastTry {
		c.reject(now, id, "all-returned-"+head.Reason.String(), packet)
		return
	}
	switch head.Reason {
	case inner.ReasonBusy:
		a.setRunning(now, head.Running)
		f.busy = append(f.busy, a)
	case inner.ReasonOverloaded:
		a.setRunning(now, head.Running)
		f.tried = append(f.tried, a)
		f.refusals++
		if f.refusals >= maxRefusals {
			c.refuse(now, id, f, "all-returned-"+head.Reason.String())
			return
		}
	default:
		f.tried = append(f.tried, a)
	}
	c.place(now, id, f, route, packet)
}
