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

// While a service has less room than its callers ask for, the attempts that its agents
// refuse cost more datagrams than the requests that are served: each is tried at several
// agents, and each caller returns twice. This file decides what is refused at the balancer
// without being tried, and where the rest is sent.

const (
	// levelMaxAge is the age from which on an agent's figures count for nothing.
	levelMaxAge = 300 * time.Millisecond
	// levelInterval is the time for which a computed level is used.
	levelInterval = 5 * time.Millisecond
	// levelProbes is the number of openings below the level of which one is tried, so that
	// new room is found.
	levelProbes = 16
	// shortCandidates is the number of agents from which the one with the shortest wait is
	// chosen while the service is short of room. Balancers that all chose the best of all
	// agents would choose the same one.
	shortCandidates = 4
)

// serviceLevel sums up what the agents that a flow may use report on their room.
type serviceLevel struct {
	at time.Duration
	// known is the number of agents with recent figures, free how many of them have a free
	// slot, and total the number of agents that accept flows.
	known, free, total int
	// bar is the standing below which the service refuses openings, 0 for none.
	bar admission.Standing
	// refused counts the openings below the bar.
	refused int
	bars    []admission.Standing
}

// short reports whether no agent is known to have room for another request.
func (l *serviceLevel) short() bool { return l.free == 0 && 2*l.known > l.total }

// level returns the level of a service for flows with the given requirements.
func (c *Core) level(now time.Duration, w requirements) *serviceLevel {
	l := c.levels[w.service]
	if l == nil {
		l = &serviceLevel{at: -levelInterval}
		c.levels[w.service] = l
	}
	if now-l.at >= levelInterval {
		l.update(now, c.roster.byService[w.service], w)
	}
	return l
}

func (l *serviceLevel) update(now time.Duration, agents []*agent, w requirements) {
	l.at, l.known, l.free, l.total, l.bar, l.bars = now, 0, 0, 0, 0, l.bars[:0]
	for _, a := range agents {
		if !w.allows(a) || !a.acceptsFlows() || a.isSuspect(now) {
			continue
		}
		l.total++
		if !a.status.HasLoad || now-a.statusAt > levelMaxAge {
			continue
		}
		l.known++
		l.bars = append(l.bars, a.status.Load.Bar)
		if a.hasFreeSlot() {
			l.free++
		}
	}
	if !l.short() {
		return
	}
	slices.Sort(l.bars)
	l.bar = l.bars[len(l.bars)/4]
}

// hasFreeSlot reports whether the agent has a slot for another request, as far as is known.
func (a *agent) hasFreeSlot() bool {
	return int(a.status.Running)+a.pending < int(a.status.Slots)
}

// refusedByLevel reports whether an opening packet is refused without being tried.
func (c *Core) refusedByLevel(now time.Duration, id platform.Flow, route *routing.Route, w requirements) bool {
	if !c.settings.Policies.On(policy.ServiceLevel) || route.Terms.TargetLatency == 0 {
		return false
	}
	l := c.level(now, w)
	standing := admission.StandingOf(route.Terms.Priority, admission.Rank(id.Caller, c.epochs.At(now)))
	if standing > l.bar || l.bar == 0 {
		return false
	}
	l.refused++
	return l.refused%levelProbes != 0
}

// refuse resets a flow for which its service has no room. A copy of an opening packet whose
// first transmission another balancer received is dropped instead: an upstream may have
// accepted the flow by then.
func (c *Core) refuse(now time.Duration, id platform.Flow, f *flow, reason string) {
	delete(c.flows, id)
	c.services.countRefused(f.service)
	if !f.sawFirst {
		c.note(Note{Kind: KindDropped, Flow: id, Reason: reason + "-copy"})
		return
	}
	c.resetWithNote(id, 0, Note{Reason: reason, Age: now - c.level(now, requirements{service: f.service}).at, Count: f.hops()})
}

// chooseShort returns the agent with the shortest expected wait among a few.
func (r *roster) chooseShort(now time.Duration, w requirements, s Settings, tried []*agent) *agent {
	agents := r.byService[w.service]
	var best *agent
	var least time.Duration
	found := 0
	for offset, i := s.Random.IntN(max(len(agents), 1)), 0; i < len(agents) && found < shortCandidates; i++ {
		a := agents[(offset+i*shortStride(len(agents)))%len(agents)]
		if !w.allows(a) || !a.acceptsFlows() || a.isSuspect(now) || slices.Contains(tried, a) {
			continue
		}
		found++
		if wait := a.expectedWait(s); best == nil || wait < least {
			best, least = a, wait
		}
	}
	return best
}

// shortStride returns a step that visits all of n agents, far from each other in the list.
func shortStride(n int) int {
	step := n*5/13 + 1
	for gcd(step, n) != 1 {
		step++
	}
	return step
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// expectedWait returns how long a flow that is placed now is expected to wait at an agent,
// with the load that stands for distance.
func (a *agent) expectedWait(s Settings) time.Duration {
	slots := float64(max(int(a.status.Slots), a.Slots, 1))
	load := float64(a.pending) / slots
	if a.DataCentre != s.DataCentre {
		load += weightFar
	}
	if a.status.State == inner.StateProbation || a.status.State == inner.StateUnproven {
		load += weightProbation
	}
	return a.status.Load.Wait + time.Duration(load*float64(a.status.ResponseTime))
}
