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

// While all slots of the upstream are in use, requests wait in the agent rather than in the
// upstream's own queue, which is short, has no priorities and refuses requests beyond its
// length. Package admission determines the order.

const (
	// maxHeldPackets bounds the packets held for one flow: a caller has at most 16 in
	// flight.
	maxHeldPackets = 16
	// maxHeldFlows bounds the flows whose requests wait.
	maxHeldFlows = 1024
	// callerClosed is the reason for forwarding a request from the queue without a free
	// slot because its caller has closed the flow.
	callerClosed admission.Choice = "caller-closed"
)

// waiting is a request that waits for a slot, with the packets held for it.
type waiting struct {
	id      platform.Flow
	flow    *flow
	since   time.Duration
	packets [][]byte
}

// request returns the properties of the request that determine its order. The first request
// of a flow is at least openingAge old when it arrives, because the caller opened the flow
// to send it.
func (w *waiting) request() admission.Request {
	f := w.flow
	r := admission.Request{
		Priority: f.terms.Priority, Arrived: w.since, Asked: w.since, EarliestAttempt: w.since,
		TargetLatency: f.terms.TargetLatency, Timeout: f.terms.Timeout, FirstTry: f.served,
	}
	if !f.served {
		r.Asked -= f.openingAge
		r.EarliestAttempt = r.Asked - f.retryOffset
	}
	return r
}

// slots returns the number of slots of the upstream, 0 if unknown. Before the first
// heartbeat the number reported by balancers is used: after a common power loss a burst of
// requests arrives before the heartbeats, and an upstream refuses requests beyond its
// queue.
func (g *Gate) slots() int {
	if g.upstream.slots > 0 || !g.settings.Policies.On(policy.ListedSlots) {
		return g.upstream.slots
	}
	return g.listedSlots
}

// noteAbandoned records that a caller gave up while its request waited. The request has not
// run.
func (g *Gate) noteAbandoned(now time.Duration, id platform.Flow, f *flow) {
	reason := "first-try"
	if f.retryOffset > 0 {
		reason = "may-be-repetition"
	}
	g.note(now, Note{Kind: KindAbandoned, Flow: id, Reason: reason, Took: now - f.waiting.since})
}

// full reports whether all slots of the upstream are in use.
func (g *Gate) full() bool {
	return g.slots() > 0 && g.running >= g.slots()
}

// hold queues a packet if its request has to wait for a slot, and reports whether the
// packet was queued.
func (g *Gate) hold(now time.Duration, id platform.Flow, f *flow, p *platform.Packet, packet []byte) bool {
	if f.waiting == nil {
		begins := f.isNew(p) && f.state == flowOpen && !f.running
		if !begins || !g.full() || g.queue.Len() >= maxHeldFlows {
			return false
		}
		g.noteRequest(now, f)
		f.waiting = &waiting{id: id, flow: f, since: now}
		g.queue.Add(f.waiting.request(), f.waiting)
	}
	if p.Length == 0 && !p.Flags.Has(platform.FlagFIN) {
		return false // a pure acknowledgement needs no slot
	}
	f.waiting.addPacket(p, packet)
	if f.callerDone {
		g.sendWaiting(now, f.waiting, callerClosed) // the upstream closes its side, too
	}
	return true
}

// addPacket holds a packet, unless it is a retransmission of one that is already held: a
// caller retransmits data until it is acknowledged.
func (w *waiting) addPacket(p *platform.Packet, packet []byte) {
	same := func(stored []byte) bool {
		return binary.BigEndian.Uint32(stored) == p.Sequence && len(stored) == len(packet)
	}
	if len(w.packets) < maxHeldPackets && !slices.ContainsFunc(w.packets, same) {
		w.packets = append(w.packets, slices.Clone(packet))
	}
}

// release forwards waiting requests and held openings to the upstream while it has room. It
// ends every call that begins or ends requests, so the use of the slots is observed here.
func (g *Gate) release(now time.Duration) {
	g.releaseRequests(now)
	g.releaseOpenings(now)
	g.use.Observe(now, g.running, g.slots())
}

// releaseRequests forwards waiting requests to the upstream while it has free slots.
// Requests whose maximum wait is over are forwarded without a free slot, too, or dropped if
// their callers have given up.
func (g *Gate) releaseRequests(now time.Duration) {
	for g.queue.Len() > 0 {
		w, why := g.next(now)
		switch why {
		case admission.None:
			return
		case admission.Expired:
			g.dropWaiting(now, w, why)
		default:
			g.sendWaiting(now, w, why)
		}
	}
}

// dropWaiting drops a request whose caller has given up. The flow stays open.
func (g *Gate) dropWaiting(now time.Duration, w *waiting, why admission.Choice) {
	g.dequeue(w.flow)
	g.note(now, Note{Kind: KindAbandoned, Flow: w.id, Reason: string(why), Took: now - w.since})
}

// next returns the request to forward or to drop now and why it was chosen, admission.None
// if there is none.
func (g *Gate) next(now time.Duration) (w *waiting, why admission.Choice) {
	if w, why = g.queue.Overdue(now); why != admission.None || g.full() {
		return w, why
	}
	return g.queue.Next(now, g.pace())
}

func (g *Gate) pace() admission.Pace {
	return admission.Pace{Slots: g.slots(), Answer: g.latency}
}

// sendWaiting forwards a request from the queue to the upstream.
func (g *Gate) sendWaiting(now time.Duration, w *waiting, why admission.Choice) {
	g.dequeue(w.flow)
	w.flow.requestedAt = now
	g.out.Waited = append(g.out.Waited, now-w.since)
	if now-w.since >= longWait {
		g.note(now, Note{Kind: KindWaited, Flow: w.id, Reason: string(why), Took: now - w.since})
	}
	g.setRunning(w.flow, !w.flow.callerDone)
	w.flow.timed = g.hasTime(w.flow)
	for _, packet := range w.packets {
		g.sendHeld(w.flow, packet)
	}
}

// sendHeld forwards a held packet to the upstream.
func (g *Gate) sendHeld(f *flow, packet []byte) {
	if p, err := platform.ParsePacket(packet); err == nil && f.isNew(&p) { // a held packet was parsed on its arrival, so err is nil
		f.sent, f.sentKnown = p.Sequence+uint32(p.Length), true
	}
	g.send(ToUpstream, netip.AddrPort{}, packet)
}

// dequeue removes the request of a flow that is closed or removed, or that is being
// forwarded, from the queue.
func (g *Gate) dequeue(f *flow) {
	if f.waiting == nil {
		return
	}
	g.queue.Remove(f.waiting)
	f.waiting = nil
}
