package gate

import (
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/admission"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

func (g *Gate) fromOpen(now time.Duration, from netip.AddrPort, b []byte) error {
	head, packet, err := inner.ParseOpen(b)
	if err != nil {
		return err
	}
	p, err := platform.ParsePacket(packet)
	if err != nil {
		return err
	}
	g.hearKnown(from, head.Known)
	g.hearEvacuation(now, from, head.Evacuation)
	g.hearCold(now, head.Service, head.Known.Version, head.Cold)
	g.listedSlots = max(int(head.Slots), g.listedSlots)
	id := p.FromCaller()
	reason := g.refusal(now, id, head)
	if reason == 0 {
		g.admit(now, from, id, p.CopyAge(), repeatedAfter(head.Flags), packet)
	}
	if head.Flags&inner.FlagStatus != 0 || reason == inner.ReasonEvacuated {
		g.sendStatus(now, from) // before the packet that it decides on comes back
	}
	if reason != 0 {
		g.giveBack(now, from, id, reason, packet)
	}
	return nil
}

// refusal returns why the upstream must not get an opening packet, 0 if it may.
func (g *Gate) refusal(now time.Duration, id platform.Flow, head inner.Open) inner.Reason {
	must := head.Flags&inner.FlagMust != 0
	switch {
	case head.Service != g.service:
		return inner.ReasonService
	case g.upstream.down || g.upstream.left || g.upstream.silent || g.contested:
		return inner.ReasonDown
	case g.keptOut(id):
		return inner.ReasonEvacuated
	case g.flows[id] != nil && !g.upstream.draining:
		return 0 // a copy of an opening packet that was let in
	case g.upstream.draining && (!must || now-g.upstream.drained > g.settings.DrainWithin-drainMargin):
		return inner.ReasonDraining
	case g.stopping && !must:
		return inner.ReasonDraining
	case !must && g.refusedByVerdict(now):
		return inner.ReasonFailing
	case !g.cold.window.Allows(now, g.coldBounds(now), must):
		return inner.ReasonCold
	case !must && head.Hops < inner.MaxBusyHops && g.full():
		return inner.ReasonBusy
	}
	return 0
}

// repeatedAfter returns how long before a flow its caller may have begun another one
// for the same request.
func repeatedAfter(flags inner.Flags) time.Duration {
	if flags&inner.FlagRepeated == 0 {
		return 0
	}
	return admission.RepeatTime
}

// giveBack returns a packet to the balancer that sent it.
func (g *Gate) giveBack(now time.Duration, to netip.AddrPort, id platform.Flow, reason inner.Reason, packet []byte) {
	g.note(now, Note{Kind: KindReturned, Flow: id, Peer: to, Reason: reason.String()})
	start := len(g.buffer)
	g.buffer = inner.AppendReturned(g.buffer, inner.Returned{Reason: reason, Listing: g.listing(), Running: g.load()}, packet)
	g.sendBuffer(ToBalancer, to, start)
}

// admit hands an opening packet to the upstream.
func (g *Gate) admit(now time.Duration, from netip.AddrPort, id platform.Flow, late, repeated time.Duration, packet []byte) {
	f := g.flows[id]
	if f == nil {
		f = g.remember(id, now, flowOpening)
		g.cold.window.Take(now, g.coldBounds(now))
		f.openedLate, f.repeatedAfter = late, repeated
		g.note(now, Note{Kind: KindOpened, Flow: id, Peer: from})
	}
	f.balancer, f.seen = from, now
	if !f.answered {
		f.opening = slices.Clone(packet)
		g.letIn(now, id.Caller)
	}
	g.send(ToUpstream, netip.AddrPort{}, packet)
}

func (g *Gate) fromForward(now time.Duration, from netip.AddrPort, b []byte) error {
	head, packet, err := inner.ParseForward(b)
	if err != nil {
		return err
	}
	p, err := platform.ParsePacket(packet)
	if err != nil {
		return err
	}
	g.carry(now, from, head, &p, packet)
	if head.Flags&inner.FlagStatus != 0 {
		g.sendStatus(now, from)
	}
	return nil
}

// carry hands a packet of a flow to the upstream if it may hold the flow.
func (g *Gate) carry(now time.Duration, from netip.AddrPort, head inner.Forward, p *platform.Packet, packet []byte) {
	id := p.FromCaller()
	f := g.flows[id]
	if g.upstream.down || (f == nil && g.upstream.whole) || (f != nil && !g.owns(f, p.Acknowledge)) {
		g.giveBack(now, from, id, g.unknown(), packet)
		return
	}
	if f == nil {
		f = g.remember(id, now, flowOpening)
		f.probing = true
		g.note(now, Note{Kind: KindProbed, Flow: id, Peer: from})
	}
	f.balancer, f.seen, f.acknowledged, f.terms = from, now, p.Acknowledge, head.Terms
	if !f.probing && f.state == flowOpening {
		g.setState(f, flowOpen)
	}
	if f.waiting != nil && (p.Flags.Has(platform.FlagFIN) || p.Flags.Has(platform.FlagRST)) {
		g.abandoned(now, id, f)
	}
	f.callerDone = f.callerDone || p.Flags.Has(platform.FlagFIN)
	if g.hold(now, id, f, p, packet) {
		return
	}
	g.countRequest(now, f, p)
	g.closeIfDone(f, p)
	g.send(ToUpstream, netip.AddrPort{}, packet)
}
