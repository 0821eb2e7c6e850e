package gate

import (
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/admission"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/policy"
	"github.com/saltbend/saltbend/platform"
)

// While the upstream has no room, opening packets wait in the agent. A request on an open
// flow can be neither refused nor moved to another upstream; an opening packet that the
// upstream has not seen can. Package admission determines the order and who is refused.

const (
	// maxHeldOpenings bounds the opening packets that wait.
	maxHeldOpenings = 1024
	// requestTimeout is the time after the admission of a flow within which its request is
	// expected: some round trips to the caller.
	requestTimeout = 100 * time.Millisecond
	// attemptTimeout is the time after which a caller abandons an opening that has not been
	// accepted.
	attemptTimeout = 1400 * time.Millisecond
)

// heldOpening is an opening packet that waits for room.
type heldOpening struct {
	balancer    netip.AddrPort
	since       time.Duration
	age, offset time.Duration
	lastChoice  bool
	packet      []byte
}

// expectedRequest is a flow whose first request is expected until the given time.
type expectedRequest struct {
	flow  *flow
	until time.Duration
}

// handleOpening forwards an opening packet that is not refused to the upstream, or holds it
// until there is room.
func (g *Gate) handleOpening(now time.Duration, from netip.AddrPort, id platform.Flow, age time.Duration, head inner.Open, packet []byte) {
	if held := g.held[id]; held != nil {
		held.balancer, held.packet = from, slices.Clone(packet) // a copy of the packet that is held
		return
	}
	if g.flows[id] != nil || !g.mayHold(head) {
		g.admit(now, from, id, age, retryOffset(head.Flags), packet)
		return
	}
	g.epochs.Observe(now, head.Epoch)
	g.openings.Demand().Arrived(head.Terms.Priority)
	if g.openings.Len() == 0 && g.hasRoom(now) {
		g.shares.Add(now, id.Caller, g.epochs.At(now))
		g.admit(now, from, id, age, retryOffset(head.Flags), packet)
		return
	}
	if len(g.held) >= maxHeldOpenings {
		g.returnPacket(now, from, id, inner.ReasonOverloaded, packet)
		return
	}
	held := &heldOpening{
		balancer: from, since: now, age: age, offset: retryOffset(head.Flags),
		lastChoice: head.Flags&inner.FlagLastChoice != 0, packet: slices.Clone(packet),
	}
	g.held[id] = held
	g.openings.Add(held.request(now, head.Terms), g.standing(now, id, held, head.Terms), id)
}

// mayHold reports whether an opening packet may wait: the balancer has to send the terms of
// its route, and these have to state how long the caller waits.
func (g *Gate) mayHold(head inner.Open) bool {
	return head.Terms.TargetLatency > 0 && head.Terms.Timeout > 0 && g.settings.Policies.On(policy.HeldOpenings)
}

// request returns the properties of an opening that determine its order.
func (h *heldOpening) request(now time.Duration, terms inner.Terms) admission.Request {
	asked := now - h.age
	return admission.Request{
		Priority: terms.Priority, Arrived: now, Asked: asked, EarliestAttempt: asked - h.offset,
		TargetLatency: terms.TargetLatency, Timeout: terms.Timeout,
	}
}

// standing returns what decides whether an opening is refused. A caller that has had far
// more requests admitted than others goes first.
func (g *Gate) standing(now time.Duration, id platform.Flow, h *heldOpening, terms inner.Terms) admission.Candidate {
	epoch := g.epochs.At(now)
	rank := admission.Rank(id.Caller, epoch)
	if g.shares.Heavy(now, id.Caller, epoch) {
		rank = 0
	}
	return admission.Candidate{Standing: admission.StandingOf(terms.Priority, rank), AttemptEnds: now - h.age + attemptTimeout}
}

// hasRoom reports whether another flow may be opened: as many flows as the upstream has
// slots may be ahead of the slots, so that the next request is there when a slot becomes
// free.
func (g *Gate) hasRoom(now time.Duration) bool {
	return g.slots() == 0 || g.ahead(now) < 2*g.slots()
}

// ahead returns the number of requests that the upstream processes, that wait for a slot, or
// whose flows have just been opened.
func (g *Gate) ahead(now time.Duration) int {
	g.dropExpected(now)
	return g.running + g.queue.Len() + g.expectedCount
}

// expectRequest records that the first request of a flow is expected soon.
func (g *Gate) expectRequest(now time.Duration, f *flow) {
	f.expected = true
	g.expectedCount++
	g.expected = append(g.expected, expectedRequest{f, now + requestTimeout})
}

// requestArrived records that the first request of a flow has arrived, or that it is no
// longer expected.
func (g *Gate) requestArrived(f *flow) {
	if f.expected {
		f.expected = false
		g.expectedCount--
	}
}

// dropExpected ends the wait for requests that have not arrived in time.
func (g *Gate) dropExpected(now time.Duration) {
	passed := 0
	for passed < len(g.expected) && (now >= g.expected[passed].until || !g.expected[passed].flow.expected) {
		g.requestArrived(g.expected[passed].flow)
		passed++
	}
	g.expected = slices.Delete(g.expected, 0, passed)
}

// releaseOpenings passes held openings on while there is room, and refuses those that cannot
// be answered in time.
func (g *Gate) releaseOpenings(now time.Duration) {
	g.openings.Observe(now, g.pace(), g.ahead(now))
	if len(g.held) == 0 {
		return
	}
	if reason := g.closedReason(now); reason != 0 {
		g.returnHeld(now, reason)
		return
	}
	for g.hasRoom(now) && g.passOn(now, g.openings.Next) {
	}
	for g.passOn(now, func(now time.Duration, _ admission.Pace) (platform.Flow, admission.Choice) {
		return g.openings.AttemptEnding(now)
	}) {
	}
	for {
		id, why := g.openings.Refuse(now, g.pace(), g.ahead(now))
		if why == admission.NotRefused {
			return
		}
		g.refuseHeld(now, id, inner.ReasonOverloaded, string(why))
	}
}

// closedReason returns why the upstream gets no new flows at present, 0 if it does.
func (g *Gate) closedReason(now time.Duration) inner.Reason {
	switch {
	case g.upstream.down || g.upstream.left || g.upstream.silent || g.contested:
		return inner.ReasonDown
	case g.evacuation.Evacuated:
		return inner.ReasonEvacuated
	case g.upstream.draining || g.stopping:
		return inner.ReasonDraining
	case g.refusedByVerdict(now):
		return inner.ReasonFailing
	}
	return 0
}

// passOn passes on the opening that choose returns and reports whether there was one that
// the upstream may get.
func (g *Gate) passOn(now time.Duration, choose func(time.Duration, admission.Pace) (platform.Flow, admission.Choice)) bool {
	id, why := choose(now, g.pace())
	if why == admission.None {
		return false
	}
	h := g.held[id]
	if !g.cold.window.Allows(now, g.coldBounds(now), h.lastChoice) {
		return false
	}
	g.forget(id)
	waited := now - h.since
	g.out.Waited = append(g.out.Waited, waited)
	if waited >= longWait {
		g.note(now, Note{Kind: KindWaited, Flow: id, Reason: "opening-" + string(why), Took: waited})
	}
	g.shares.Add(now, id.Caller, g.epochs.At(now))
	g.admit(now, h.balancer, id, h.age+waited, h.offset, h.packet)
	return true
}

// refuseHeld returns a held opening to the balancer that forwarded it.
func (g *Gate) refuseHeld(now time.Duration, id platform.Flow, reason inner.Reason, detail string) {
	h := g.held[id]
	g.forget(id)
	g.note(now, Note{Kind: KindRefused, Flow: id, Peer: h.balancer, Reason: detail, Took: now - h.since})
	g.returnPacket(now, h.balancer, id, reason, h.packet)
}

// returnHeld returns all held openings, as the upstream gets no new flows.
func (g *Gate) returnHeld(now time.Duration, reason inner.Reason) {
	for id := range g.held {
		g.refuseHeld(now, id, reason, reason.String())
	}
}

func (g *Gate) forget(id platform.Flow) {
	g.openings.Remove(id)
	delete(g.held, id)
}
