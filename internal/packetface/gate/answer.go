package gate

import (
	"math"
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/outcome"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

func (g *Gate) fromPoll(now time.Duration, from netip.AddrPort, b []byte) error {
	poll, err := inner.ParsePoll(b)
	if err != nil {
		return err
	}
	g.hearKnown(from, poll.Known)
	g.hearEvacuation(now, from, poll.Evacuation)
	g.hearCold(now, poll.Service, poll.Known.Version, poll.Cold)
	otherService := poll.Service != 0 && poll.Service != g.service // the entry is old, or not the agent's
	if (poll.Flags&inner.FlagUnlisted != 0 || otherService) && !g.unlisted {
		g.unlisted = true
		g.note(now, Note{Kind: KindUnlisted, Peer: from})
	}
	g.sendStatus(now, from)
	return nil
}

// hearKnown notes how new a balancer's beliefs are.
func (g *Gate) hearKnown(from netip.AddrPort, known inner.Known) {
	if known.Max(g.known) == known && from.Addr().Is4() {
		g.source = from.Addr().As4()
	}
	g.known = g.known.Max(known)
}

// TakeUnlisted reports whether a balancer has told since the last call that
// the store does not list this agent.
func (g *Gate) TakeUnlisted() bool {
	told := g.unlisted
	g.unlisted = false
	return told
}

func (g *Gate) fromAsk(now time.Duration, from netip.AddrPort, b []byte) (err error) {
	var head inner.AskHead
	g.questions, head, err = inner.ParseAsk(g.questions[:0], b)
	if err != nil {
		return err
	}
	g.hearWarmup(now, head.Service, head.Cold.Warmup)
	start := len(g.buffer)
	g.buffer = inner.AppendAnswerHead(g.buffer, g.listing())
	for _, q := range g.questions {
		g.buffer = inner.AppendAnswer(g.buffer, inner.Answer{Flow: q.Flow, Verdict: g.verdict(q.Flow, q.Acknowledged)})
	}
	g.sendBuffer(ToBalancer, from, start)
	return nil
}

// Era returns the highest era of the store that the process has seen or has heard of.
func (g *Gate) Era() uint64 { return g.listing().Era() }

// SetSeen tells the store's position that this process has seen itself, when it read
// or wrote its entry. Balancers that have forgotten the agent while it was silent hear
// of it at once.
func (g *Gate) SetSeen(now time.Duration, at store.Position) *Result {
	g.begin()
	g.seen = at
	g.announce(now)
	return &g.out
}

// listing returns the newest position of the store that the process has seen or has
// heard of. A balancer whose list is older may lack the agent that holds a flow.
func (g *Gate) listing() store.Position { return max(g.known.Listing, g.seen) }

// settled reports whether the process can warn a balancer that lacks an agent. It
// can once it has seen the store since its start: of an agent that was listed before,
// the position tells; of one that is listed later, balancers tell all agents of its
// service before the first flow is placed there. While the store does not answer, a
// process goes by its age and by what balancers tell.
//
// Waiting instead for a balancer with a list as new as an entry of this start, as all
// entries were written anew after a common loss of power, kept dead flows from being
// reset for 2 to 20 s on a fleet of 60 balancers and 140 agents (from its logs).
func (g *Gate) settled() bool {
	return g.seen != 0 || g.aged && g.known.Listing != 0
}

// verdict says whether the upstream holds a flow.
func (g *Gate) verdict(id platform.Flow, acknowledged uint32) inner.Verdict {
	f := g.flows[id]
	switch {
	case g.upstream.down, f == nil && g.upstream.whole:
		return g.none()
	case f == nil || f.probing:
		return inner.VerdictMaybe
	case g.owns(f, acknowledged):
		return inner.VerdictHeld
	}
	return g.none()
}

// none returns the verdict on a flow that the upstream does not hold.
func (g *Gate) none() inner.Verdict {
	if g.settled() {
		return inner.VerdictNone
	}
	return inner.VerdictUnsure
}

// unknown is none as the reason for returning a packet.
func (g *Gate) unknown() inner.Reason {
	if g.settled() {
		return inner.ReasonUnknown
	}
	return inner.ReasonUnsure
}

// Status returns how the agent and its upstream are.
func (g *Gate) Status(now time.Duration) inner.Status {
	u := &g.upstream
	return inner.Status{
		State: g.state(now), StateFor: now - g.stateSince, Incarnation: g.settings.Incarnation, Known: g.told(), Source: g.source,
		Running: g.load(), Slots: uint16(u.slots), Flows: uint32(g.open),
		Balancers: uint16(min(len(g.balancers), 1<<16-1)), Cold: now < u.coldEnd, Evacuation: g.evacuation,
		Answer: g.answerTime(now), Warmup: max(g.cold.reported, g.cold.estimate), Whole: u.whole,
	}
}

// told returns how new the process's knowledge is, for balancers.
func (g *Gate) told() inner.Known {
	return inner.Known{Version: g.known.Version, Listing: g.listing()}
}

// load returns how many requests the upstream works on, with those that wait.
func (g *Gate) load() uint16 {
	return uint16(min(g.running+g.queue.Len(), math.MaxUint16))
}

// state returns whether the upstream takes flows.
func (g *Gate) state(now time.Duration) inner.State {
	u := &g.upstream
	switch {
	case u.down || u.left:
		return inner.StateDown
	case u.silent:
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
	start := len(g.buffer)
	g.buffer = inner.AppendStatus(g.buffer, g.Status(now))
	g.sendBuffer(ToBalancer, to, start)
}
