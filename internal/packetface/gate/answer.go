package gate

import (
	"math"
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/outcome"
	"github.com/saltbend/saltbend/internal/packetface/policy"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

func (g *Gate) fromPoll(now time.Duration, from netip.AddrPort, b []byte) error {
	poll, err := inner.ParsePoll(b)
	if err != nil {
		return err
	}
	g.noteCapabilities(from, poll.Flags)
	g.updateVersions(from, poll.Versions)
	g.updateEvacuation(now, from, poll.Evacuation)
	g.updateCold(now, poll.Service, poll.Versions.Version, poll.Cold)
	otherService := poll.Service != 0 && poll.Service != g.service // the balancer's entry for this agent is outdated or was written by another process
	if (poll.Flags&inner.FlagUnlisted != 0 || otherService) && !g.unlisted {
		g.unlisted = true
		g.note(now, Note{Kind: KindUnlisted, Peer: from})
	}
	g.sendStatus(now, from)
	return nil
}

// updateVersions records the newest configuration version and store position that any
// balancer has reported, and which balancer reported them.
func (g *Gate) updateVersions(from netip.AddrPort, reported inner.Versions) {
	if reported.Max(g.versions) == reported && from.Addr().Is4() {
		g.source = from.Addr().As4()
	}
	g.versions = g.versions.Max(reported)
}

// TakeUnlisted reports whether a balancer has reported since the last call that the store
// does not list this agent.
func (g *Gate) TakeUnlisted() bool {
	reported := g.unlisted
	g.unlisted = false
	return reported
}

func (g *Gate) fromAsk(now time.Duration, from netip.AddrPort, b []byte) (err error) {
	var head inner.AskHead
	g.questions, head, err = inner.ParseAsk(g.questions[:0], b)
	if err != nil {
		return err
	}
	g.updateWarmup(now, head.Service, head.Cold.Warmup)
	start := len(g.buffer)
	g.buffer = inner.AppendAnswerHead(g.buffer, g.listing())
	for _, q := range g.questions {
		g.buffer = inner.AppendAnswer(g.buffer, inner.Answer{Flow: q.Flow, Verdict: g.verdict(q.Flow, q.Acknowledged)})
	}
	g.sendBuffer(ToBalancer, from, start)
	return nil
}

// Era returns the highest era of the store that the process has read itself or that
// balancers have reported. A new era begins when the store is restored from an older copy
// of its data.
func (g *Gate) Era() uint64 { return g.listing().Era() }

// SetOwnPosition records the store's position at which this process itself last read or
// wrote its entry. It sends the status to all balancers at once, because some may have
// removed the agent from their tables while it was silent.
func (g *Gate) SetOwnPosition(now time.Duration, at store.Position) *Result {
	g.resetResult()
	g.ownPosition = at
	g.announce(now)
	return &g.out
}

// listing returns the newest position of the store that the process has read itself or that
// balancers have reported. A balancer whose list of agents is older may lack the agent that
// holds a flow.
func (g *Gate) listing() store.Position { return max(g.versions.Listing, g.ownPosition) }

// listingKnown reports whether the process knows a store position that is recent enough for
// a balancer to detect by it that its own list lacks an agent. This is so once the process
// has read or written the store since its start: agents listed before are covered by that
// position, and for an agent listed later, balancers inform all agents of its service
// before they place the first flow there. While the store does not answer, the position
// reported by balancers is used once the process has run for settleTime.
//
// The process does not wait for a balancer whose list includes the entry written at this
// start. After a common power loss all entries are rewritten, and that wait delayed resets
// of dead flows by 2 to 20 s in a fleet of 60 balancers and 140 agents (from its logs).
func (g *Gate) listingKnown() bool {
	return g.ownPosition != 0 || g.pastSettleTime && g.versions.Listing != 0
}

// verdict returns whether the upstream holds a flow, for a caller that has acknowledged
// data up to the given sequence number.
func (g *Gate) verdict(id platform.Flow, acknowledged uint32) inner.Verdict {
	f := g.flows[id]
	switch {
	case g.upstream.down, f == nil && g.upstream.fullyObserved:
		return g.notHeldVerdict()
	case f == nil || f.probing:
		return inner.VerdictUnknown
	case g.owns(f, acknowledged):
		return inner.VerdictHeld
	}
	return g.notHeldVerdict()
}

// notHeldVerdict returns the verdict on a flow that the upstream does not hold: VerdictNone
// only if the answer carries a store position by which the balancer can detect that its
// list of agents is outdated, VerdictUnsure otherwise.
func (g *Gate) notHeldVerdict() inner.Verdict {
	if g.listingKnown() {
		return inner.VerdictNone
	}
	return inner.VerdictUnsure
}

// notHeldReason returns the reason, corresponding to notHeldVerdict, for returning a packet
// of a flow that the upstream does not hold.
func (g *Gate) notHeldReason() inner.Reason {
	if g.listingKnown() {
		return inner.ReasonUnknown
	}
	return inner.ReasonUnsure
}

// Status returns the status of the agent and its upstream that is sent to balancers.
func (g *Gate) Status(now time.Duration) inner.Status {
	u := &g.upstream
	return inner.Status{
		State: g.state(now), StateFor: now - g.stateSince, Incarnation: g.settings.Incarnation, Versions: g.newestVersions(), Source: g.source,
		Running: g.load(), Slots: uint16(u.slots), Flows: uint32(g.open),
		Balancers: uint16(min(len(g.balancers), 1<<16-1)), Cold: now < u.coldEnd, Evacuation: g.evacuation,
		ResponseTime: g.responseTime(now), Warmup: max(g.cold.reported, g.cold.estimate), KnowsAllFlows: u.fullyObserved,
		AcceptsTerms: g.settings.Policies.On(policy.HeldOpenings), Stopping: g.stopping,
	}
}

// newestVersions returns the newest configuration version and store position known to the
// process.
func (g *Gate) newestVersions() inner.Versions {
	return inner.Versions{Version: g.versions.Version, Listing: g.listing()}
}

// load returns the number of requests that the upstream is processing, that wait for a slot,
// or whose opening packets are held.
func (g *Gate) load() uint16 {
	return uint16(min(g.running+g.queue.Len()+len(g.held), math.MaxUint16))
}

// state returns the state of the upstream that is reported to balancers.
func (g *Gate) state(now time.Duration) inner.State {
	u := &g.upstream
	switch {
	case u.down || u.left:
		return inner.StateDown
	case u.silent || g.ownerUncertain(now):
		return inner.StateSilent
	case u.draining:
		return inner.StateDraining
	case g.stopping:
		return inner.StateStopping
	}
	switch g.upstreamVerdict(now) {
	case outcome.Shut:
		return inner.StateFailing
	case outcome.Probation:
		return inner.StateProbation
	case outcome.Unproven:
		return inner.StateUnproven
	}
	return inner.StateReady
}

func (g *Gate) sendStatus(now time.Duration, to netip.AddrPort) {
	status := g.Status(now)
	if _, ok := g.loadReceivers[to]; ok {
		status.Load, status.HasLoad = g.loadReport(now), true
	}
	start := len(g.buffer)
	g.buffer = inner.AppendStatus(g.buffer, status)
	g.sendBuffer(ToBalancer, to, start)
}
