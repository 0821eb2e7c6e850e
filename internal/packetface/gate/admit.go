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
	g.noteCapabilities(from, head.Flags)
	g.updateVersions(from, head.Versions)
	g.updateEvacuation(now, from, head.Evacuation)
	g.updateCold(now, head.Service, head.Versions.Version, head.Cold)
	g.listedSlots = max(int(head.Slots), g.listedSlots)
	id := p.FromCaller()
	reason := g.refusal(now, id, head)
	if reason == 0 {
		g.handleOpening(now, from, id, p.CopyAge(), head, packet)
	}
	if head.Flags&inner.FlagStatus != 0 || reason == inner.ReasonEvacuated {
		g.sendStatus(now, from) // sent before the returned packet, which the balancer places by this status
	}
	if reason != 0 {
		g.returnPacket(now, from, id, reason, packet)
	}
	return nil
}

// refusal returns why an opening packet must not be forwarded to the upstream, 0 if it may
// be forwarded.
func (g *Gate) refusal(now time.Duration, id platform.Flow, head inner.Open) inner.Reason {
	lastChoice := head.Flags&inner.FlagLastChoice != 0
	switch {
	case head.Service != g.service:
		return inner.ReasonService
	case g.upstream.down || g.upstream.left || g.upstream.silent || g.ownerUncertain(now):
		return inner.ReasonDown
	case g.blockedByEvacuation(id):
		return inner.ReasonEvacuated
	case (g.flows[id] != nil || g.held[id] != nil) && !g.upstream.draining:
		return 0 // retransmission of an admitted opening packet
	case g.upstream.draining && (!lastChoice || now-g.upstream.drainingSince > g.settings.DrainTimeout-drainMargin):
		return inner.ReasonDraining
	case g.stopping && !lastChoice:
		return inner.ReasonDraining
	case !lastChoice && g.refusedByVerdict(now):
		return inner.ReasonFailing
	case !g.cold.window.Allows(now, g.coldBounds(now), lastChoice):
		return inner.ReasonCold
	case !lastChoice && head.Hops < inner.MaxBusyHops && g.full():
		return inner.ReasonBusy
	}
	return 0
}

// retryOffset returns how long before this flow its caller may have opened an earlier one
// for the same request, 0 unless the balancer flagged the flow as a possible retry.
func retryOffset(flags inner.Flags) time.Duration {
	if flags&inner.FlagMayBeRetry == 0 {
		return 0
	}
	return admission.RetryInterval
}

// returnPacket sends a packet back to the balancer that forwarded it, with the reason.
func (g *Gate) returnPacket(now time.Duration, to netip.AddrPort, id platform.Flow, reason inner.Reason, packet []byte) {
	g.note(now, Note{Kind: KindReturned, Flow: id, Peer: to, Reason: reason.String()})
	start := len(g.buffer)
	g.buffer = inner.AppendReturned(g.buffer, inner.Returned{Reason: reason, Listing: g.listing(), Running: g.load()}, packet)
	g.sendBuffer(ToBalancer, to, start)
}

// admit forwards an opening packet to the upstream. It counts a new flow against the bounds
// of a cold upstream; a retransmission is not counted again.
func (g *Gate) admit(now time.Duration, from netip.AddrPort, id platform.Flow, age, offset time.Duration, packet []byte) {
	f := g.flows[id]
	if f == nil {
		f = g.addFlow(id, now, flowOpening)
		g.cold.window.Add(now, g.coldBounds(now))
		f.openingAge, f.retryOffset = age, offset
		g.expectRequest(now, f)
		g.note(now, Note{Kind: KindOpened, Flow: id, Peer: from})
	}
	f.balancer, f.lastPacket = from, now
	if !f.answered {
		f.opening = slices.Clone(packet)
		g.noteAdmitted(now, id.Caller)
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
	g.forwardPacket(now, from, head, &p, packet)
	g.noteCapabilities(from, head.Flags)
	if head.Flags&inner.FlagStatus != 0 {
		g.sendStatus(now, from)
	}
	return nil
}

// noteCapabilities records whether a balancer accepts the load at the end of a status.
func (g *Gate) noteCapabilities(from netip.AddrPort, flags inner.Flags) {
	if flags&inner.FlagLoad != 0 {
		g.loadReceivers[from] = struct{}{}
	} else {
		delete(g.loadReceivers, from) // an earlier build now runs at the address
	}
}

// forwardPacket forwards a packet of a flow to the upstream if the upstream may hold the
// flow, and returns it to the balancer otherwise. A packet of a flow that the agent does
// not know is forwarded as a probe: the upstream's reply shows whether it holds the flow.
func (g *Gate) forwardPacket(now time.Duration, from netip.AddrPort, head inner.Forward, p *platform.Packet, packet []byte) {
	id := p.FromCaller()
	if g.held[id] != nil { // the caller has reset the flow, or another upstream has accepted it
		g.dropHeld(now, id, "caller-moved-on")
	}
	f := g.flows[id]
	if g.upstream.down || (f == nil && g.upstream.fullyObserved) || (f != nil && !g.owns(f, p.Acknowledge)) {
		g.returnPacket(now, from, id, g.notHeldReason(), packet)
		return
	}
	if f == nil {
		f = g.addFlow(id, now, flowOpening)
		f.probing = true
		g.note(now, Note{Kind: KindProbed, Flow: id, Peer: from})
	}
	f.balancer, f.lastPacket, f.acknowledged, f.terms = from, now, p.Acknowledge, head.Terms
	if !f.probing && f.state == flowOpening {
		g.setState(f, flowOpen)
	}
	if f.waiting != nil && (p.Flags.Has(platform.FlagFIN) || p.Flags.Has(platform.FlagRST)) {
		g.noteAbandoned(now, id, f)
	}
	f.callerDone = f.callerDone || p.Flags.Has(platform.FlagFIN)
	if g.hold(now, id, f, p, packet) {
		return
	}
	g.countRequest(now, f, p)
	g.closeIfDone(f, p)
	g.send(ToUpstream, netip.AddrPort{}, packet)
}
