package steer

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

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
	// levelAgentTime is added to levelInterval for each agent of the service: reading an
	// agent's figures takes less than a fiftieth of it.
	levelAgentTime = time.Microsecond
	// levelSample is the number of agents with recent figures from which on these stand for
	// the service. One balancer of hundreds hears from a few agents at a time.
	levelSample = 8
	// levelTime is the time over which bars are averaged: the agents' queues take up what
	// changes faster.
	levelTime = 250 * time.Millisecond
	// levelMargin lowers the level of the service below the mean bar of its agents, so that
	// their queues do not run empty.
	levelMargin = 0.8
	// levelProbes is the number of openings below the level of which one is tried, so that
	// new room is found.
	levelProbes = 16
	// maxLevels bounds the services and sets of regions with a level. Beyond it, all levels
	// are computed anew.
	maxLevels = 1024
	// shortCandidates is the number of agents from which the one with the shortest wait is
	// chosen while the service is short of room. Balancers that all chose the best of all
	// agents would choose the same one.
	shortCandidates = 6
	// freeMaxAge is the age up to which a report of a free slot counts as certain.
	freeMaxAge = 50 * time.Millisecond
	// scarceShare is the share of agents with a free slot below which flows go to the
	// shortest of a few queues: above it, a free slot is found by chance.
	scarceShare = 0.25
)

// Reasons for the refusal of a flow.
const (
	// reasonServiceOverloaded: no agent has been tried, as the service refuses such flows.
	reasonServiceOverloaded = "service-overloaded"
	// reasonAllOverloaded: the agents that were tried have refused the flow.
	reasonAllOverloaded = "all-returned-overloaded"
	// suffixCopy is appended if the flow is not reset, as an upstream may have accepted it.
	suffixCopy = "-copy"
)

// levelKey identifies the agents that a flow may use: those of a service in some regions.
type levelKey struct {
	service, regions uint64
}

func keyOf(w requirements) levelKey {
	k := levelKey{service: w.service}
	for _, region := range w.allowedRegions {
		k.regions = k.regions*31 + xxhash.Sum64String(region)
	}
	return k
}

// serviceLevel sums up what the agents that a flow may use report on their room.
type serviceLevel struct {
	// at is when the level was computed, until when it is used next.
	at, until time.Duration
	// known is the number of agents with recent figures, free how many of them certainly
	// have a free slot, drained how many may have emptied their queues since, and total the
	// number of agents that accept flows.
	known, free, drained, total int
	// oldest is when the oldest of the figures arrived.
	oldest time.Duration
	// bar is the standing below which the service refuses openings, 0 for none.
	bar admission.Standing
	// below counts the openings below the bar.
	below int
	bars  []admission.Standing
	// mean is the mean of the bars above the floor of their priority, averaged over
	// levelTime.
	mean float64
}

// sufficient reports whether the agents with recent figures stand for the service.
func (l *serviceLevel) sufficient() bool {
	return l.known > 0 && l.known >= min(l.total/2+1, levelSample)
}

// short reports whether no agent is known to have room for another request.
func (l *serviceLevel) short() bool { return l.free == 0 && l.sufficient() }

// scarce reports whether few agents are known to have room for another request.
func (l *serviceLevel) scarce() bool {
	return l.sufficient() && float64(l.free+l.drained) < scarceShare*float64(l.known)
}

// level returns the level of a service for flows with the given requirements.
func (c *Core) level(now time.Duration, w requirements) *serviceLevel {
	key := keyOf(w)
	l := c.levels[key]
	if l == nil {
		if len(c.levels) >= maxLevels {
			clear(c.levels)
		}
		l = &serviceLevel{}
		c.levels[key] = l
	}
	if now >= l.until {
		l.update(now, c.roster.byService[w.service], w)
	}
	return l
}

func (l *serviceLevel) update(now time.Duration, agents []*agent, w requirements) {
	passed := now - l.at
	l.at, l.until = now, now+levelInterval+time.Duration(len(agents))*levelAgentTime
	l.known, l.free, l.drained, l.total, l.oldest, l.bar, l.bars = 0, 0, 0, 0, now, 0, l.bars[:0]
	for _, a := range agents {
		if !w.allows(a) || !a.acceptsFlows() || a.isSuspect(now) {
			continue
		}
		l.total++
		if a.hasRecentFigures(now) {
			l.add(now, a)
		}
	}
	if !l.sufficient() {
		l.mean = 0
		return
	}
	bar := l.smoothed(passed)
	if l.short() {
		l.bar = bar
	}
}

// add adds the figures of an agent. An agent of an earlier build reports no bar and refuses
// nothing.
func (l *serviceLevel) add(now time.Duration, a *agent) {
	l.known++
	l.oldest = min(l.oldest, a.loadAt)
	bar := admission.Standing(0)
	switch {
	case a.hasFreeSlot() && now-a.loadAt <= freeMaxAge:
		l.free++
	case !a.status.HasLoad:
	case a.expectedWait(now) == 0:
		l.drained++
		return
	default:
		bar = a.status.Load.Bar
	}
	l.bars = append(l.bars, bar)
}

// smoothed returns the mean of the bars, averaged over levelTime and lowered by
// levelMargin. A few agents with a wrong bar do not move it much: bars of less urgent
// priorities than that of the median count as 0, and those above the upper quartile as
// the quartile.
func (l *serviceLevel) smoothed(passed time.Duration) admission.Standing {
	slices.Sort(l.bars)
	first, _ := slices.BinarySearch(l.bars, 1)
	raised := l.bars[first:]
	floor, sum := admission.Standing(0), 0.0
	if len(raised) > 0 {
		floor = raised[(len(raised)-1)/2] &^ math.MaxUint8
		highest := l.bars[(len(l.bars)-1)*3/4]
		for _, bar := range raised {
			sum += float64(max(min(bar, highest), floor) - floor)
		}
	}
	weight := min(passed.Seconds()/levelTime.Seconds(), 1)
	l.mean += weight * (sum/float64(max(len(l.bars), 1)) - l.mean)
	if floor == 0 {
		return 0
	}
	return floor + admission.Standing(levelMargin*l.mean)
}

// hasRecentFigures reports whether the level may rely on the agent's last status: it is
// recent, it states the number of slots, and it is not the first of its process, which may
// also be a delayed one of a former process.
func (a *agent) hasRecentFigures(now time.Duration) bool {
	return a.loadAt != 0 && now-a.loadAt <= levelMaxAge && a.status.Slots > 0 && !a.newProcess
}

// hasFreeSlot reports whether the agent has a slot for another request, as far as is known.
func (a *agent) hasFreeSlot() bool {
	return int(a.status.Running)+a.pending < int(a.status.Slots)
}

// refusedByLevel reports whether an opening packet is refused without being tried.
func (c *Core) refusedByLevel(now time.Duration, id platform.Flow, route *routing.Route, w requirements) bool {
	if !c.usesLevel(route) {
		return false
	}
	l := c.level(now, w)
	if l.bar == 0 || c.standingOf(now, id, route.Terms) > l.bar {
		return false
	}
	l.below++
	return l.below%levelProbes != 0
}

// usesLevel reports whether the flows of a route are placed and refused by the level of
// their service.
func (c *Core) usesLevel(route *routing.Route) bool {
	return route.Terms.TargetLatency > 0 && route.Terms.Timeout > 0 && c.settings.Policies.On(policy.ServiceLevel)
}

func (c *Core) standingOf(now time.Duration, id platform.Flow, terms inner.Terms) admission.Standing {
	return admission.StandingOf(terms.Priority, admission.Rank(id.Caller, c.epochs.At(now)))
}

// refusedEverywhere reports whether a flow that agents have refused is not tried at another
// one. While some agents have room, more are tried.
func (c *Core) refusedEverywhere(now time.Duration, f *flow, w requirements) bool {
	if c.level(now, w).scarce() {
		return f.refusals >= maxRefusals
	}
	return f.refusals >= maxRefusalsWithRoom
}

// refuse resets a flow for which its service has no room. If an upstream may have received a
// copy of the opening packet, the flow is left alone instead.
func (c *Core) refuse(now time.Duration, id platform.Flow, f *flow, w requirements, reason string) {
	delete(c.flows, id)
	c.services.countRefused(f.service)
	c.spareFlow = f
	l := c.level(now, w)
	note := Note{
		Kind: KindReset, Flow: id, Reason: reason, Age: now - l.oldest, Count: f.hops(),
		Bar: l.bar, Standing: c.standingOf(now, id, f.terms), Agents: l.known,
	}
	if !f.copies.mayRefuse(now) {
		note.Kind, note.Reason = KindDropped, reason+suffixCopy
		c.note(note)
		return
	}
	c.resetWithNote(id, 0, note)
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
		if wait := a.waitFor(now, s); best == nil || wait < least {
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

// waitFor returns the expected wait at an agent, with the loads that stand for distance and
// for the risk of an upstream that has not proved itself.
func (a *agent) waitFor(now time.Duration, s Settings) time.Duration {
	load := 0.0
	if a.DataCentre != s.DataCentre {
		load += weightFar
	}
	if a.status.State == inner.StateProbation || a.status.State == inner.StateUnproven {
		load += weightProbation
	}
	return a.expectedWait(now) + time.Duration(load*float64(a.status.ResponseTime))
}

// expectedWait returns how long a flow that is placed now is expected to wait at an agent. An
// agent that nothing is heard of is assumed to work off its queue: otherwise it would never
// be tried again.
func (a *agent) expectedWait(now time.Duration) time.Duration {
	slots := max(int(a.status.Slots), a.Slots, 1)
	placed := time.Duration(a.pending) * a.status.ResponseTime / time.Duration(slots)
	return max(a.status.Load.Wait+placed-(now-a.statusAt), 0)
}
