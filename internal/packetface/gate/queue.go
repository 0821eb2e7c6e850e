package gate

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/admission"
	"github.com/saltbend/saltbend/internal/packetface/policy"
	"github.com/saltbend/saltbend/platform"
)

// While all slots of the upstream are taken, requests wait here and not in the
// upstream's queue, which is short, knows no order and refuses what is over.
// Package admission has the order.

const (
	// maxHeldPackets bounds the packets that wait for one flow: a caller has at
	// most 16 on their way.
	maxHeldPackets = 16
	// maxHeldFlows bounds the flows that wait.
	maxHeldFlows = 1024
	// callerClosed is why the end of a flow is handed on whose request has not run.
	callerClosed admission.Choice = "caller-closed"
)

// waiting is a request that waits for a slot.
type waiting struct {
	id      platform.Flow
	flow    *flow
	since   time.Duration
	packets [][]byte
}

// request returns what the order goes by. The first request of a flow is at least
// as old as the copy of the opening packet that was let in.
func (w *waiting) request() admission.Request {
	f := w.flow
	r := admission.Request{
		Rank: f.terms.Rank, Arrived: w.since, Asked: w.since, Suspected: w.since,
		Aim: f.terms.Aim, Timeout: f.terms.Timeout, FirstTry: f.served,
	}
	if !f.served {
		r.Asked -= f.openedLate
		r.Suspected = r.Asked - f.repeatedAfter
	}
	return r
}

// slots returns how many slots the upstream has, 0 where that is not known. Before its
// first heartbeat the balancers' word is taken: after a common loss of power a rush
// comes before the heartbeats, and an upstream refuses what goes beyond its queue.
func (g *Gate) slots() int {
	if g.upstream.slots > 0 || !g.settings.Policies.On(policy.ListedSlots) {
		return g.upstream.slots
	}
	return g.listedSlots
}

// abandoned notes that a caller gave up while its request waited. What it asked has
// not run.
func (g *Gate) abandoned(now time.Duration, id platform.Flow, f *flow) {
	reason := "first-try"
	if f.repeatedAfter > 0 {
		reason = "may-be-repetition"
	}
	g.note(now, Note{Kind: KindAbandoned, Flow: id, Reason: reason, Took: now - f.waiting.since})
}

// full reports whether all slots of the upstream are taken.
func (g *Gate) full() bool {
	return g.slots() > 0 && g.running >= g.slots()
}

// hold keeps a packet back if its request has to wait; it reports whether it
// did.
func (g *Gate) hold(now time.Duration, id platform.Flow, f *flow, p *platform.Packet, packet []byte) bool {
	if f.waiting == nil {
		begins := f.isNew(p) && f.state == flowOpen && !f.running
		if !begins || !g.full() || g.queue.Len() >= maxHeldFlows {
			return false
		}
		f.waiting = &waiting{id: id, flow: f, since: now}
		g.queue.Add(f.waiting.request(), f.waiting)
	}
	if p.Length == 0 && !p.Flags.Has(platform.FlagFIN) {
		return false // an acknowledgement carries no work
	}
	f.waiting.keep(p, packet)
	if f.callerDone {
		g.handOn(now, f.waiting, callerClosed) // the upstream ends such a flow
	}
	return true
}

// keep stores a packet once; a caller repeats what is not acknowledged.
func (w *waiting) keep(p *platform.Packet, packet []byte) {
	same := func(kept []byte) bool {
		return binary.BigEndian.Uint32(kept) == p.Sequence && len(kept) == len(packet)
	}
	if len(w.packets) < maxHeldPackets && !slices.ContainsFunc(w.packets, same) {
		w.packets = append(w.packets, slices.Clone(packet))
	}
}

// release hands waiting requests to the upstream while it has free slots, and
// those that have waited for too long.
func (g *Gate) release(now time.Duration) {
	for g.queue.Len() > 0 {
		w, why := g.next(now)
		if why == admission.None {
			return
		}
		g.handOn(now, w, why)
	}
}

// next returns the request that is to run now, and why.
func (g *Gate) next(now time.Duration) (w *waiting, why admission.Choice) {
	if w, why = g.queue.Overdue(now); why != admission.None || g.full() {
		return w, why
	}
	return g.queue.Next(now, g.pace())
}

func (g *Gate) pace() admission.Pace {
	return admission.Pace{Slots: g.slots(), Answer: g.latency}
}

// handOn hands a request that has waited to the upstream.
func (g *Gate) handOn(now time.Duration, w *waiting, why admission.Choice) {
	g.drop(w.flow)
	w.flow.asked = now
	g.out.Waited = append(g.out.Waited, now-w.since)
	if now-w.since >= longWait {
		g.note(now, Note{Kind: KindWaited, Flow: w.id, Reason: string(why), Took: now - w.since})
	}
	g.setRunning(w.flow, !w.flow.callerDone)
	for _, packet := range w.packets {
		g.sendHeld(w.flow, packet)
	}
}

// sendHeld hands on a packet that has waited.
func (g *Gate) sendHeld(f *flow, packet []byte) {
	if p, err := platform.ParsePacket(packet); err == nil && f.isNew(&p) { // it was read before
		f.sent, f.sentKnown = p.Sequence+uint32(p.Length), true
	}
	g.send(ToUpstream, netip.AddrPort{}, packet)
}

// drop takes a flow that is closed or forgotten out of the queue.
func (g *Gate) drop(f *flow) {
	if f.waiting == nil {
		return
	}
	g.queue.Remove(f.waiting)
	f.waiting = nil
}
