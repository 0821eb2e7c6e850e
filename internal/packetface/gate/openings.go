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
	// minRequestTimeout and maxRequestTimeout bound the time after the admission of a flow
	// within which its request is expected. In between it is requestDelays times the mean
	// time that requests take to arrive.
	minRequestTimeout = 20 * time.Millisecond
	maxRequestTimeout = 100 * time.Millisecond
	requestDelays     = 3
	// requestDelayWeight is the weight of the newest request in the mean.
	requestDelayWeight = 0.05
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
	if g.flows[id] != nil || !g.mayHold(now, head) {
		g.admit(now, from, id, age, retryOffset(head.Flags), packet)
		return
	}
	g.epochs.Observe(now, head.Epoch)
	held := &heldOpening{
		balancer: from, since: now, age: age, offset: retryOffset(head.Flags),
		lastChoice: head.Flags&inner.FlagLastChoice != 0,
	}
	request := held.request(now, head.Terms)
	g.openings.Arrived(now, request)
	if !g.openings.Holds() || g.openings.Len() == 0 && g.hasRoomFor(now, id, request) {
		g.shares.Add(now, id.Caller, g.epochs.At(now))
		g.admit(now, from, id, age, retryOffset(head.Flags), packet)
		return
	}
	if why := g.judgeOpening(now, id, request); why != admission.NotRefused {
		g.refuse(now, from, id, inner.ReasonOverloaded, string(why), 0, packet)
		return
	}
	held.packet = slices.Clone(packet)
	g.held[id] = held
	g.openings.Add(request, now-age+attemptTimeout, id)
}

// judgeOpening reports whether an opening is refused instead of held.
func (g *Gate) judgeOpening(now time.Duration, id platform.Flow, r admission.Request) admission.Refusal {
	if len(g.held) >= maxHeldOpenings {
		return admission.Overloaded
	}
	return g.openings.Judge(now, r, g.standing(now, id, r.Priority), g.pace(), g.begun(now))
}

// mayHold reports whether an opening packet may wait: the balancer has to send the terms of
// its route, and these have to state how long the caller waits. An upstream that is leaving
// gets only flows that no other one takes; these do not wait.
func (g *Gate) mayHold(now time.Duration, head inner.Open) bool {
	stated := head.Terms.TargetLatency > 0 && head.Terms.Timeout > 0
	return stated && g.closedReason(now) == 0 && g.settings.Policies.On(policy.HeldOpenings)
}

// request returns the properties of an opening that determine its order.
func (h *heldOpening) request(now time.Duration, terms inner.Terms) admission.Request {
	asked := now - h.age
	return admission.Request{
		Priority: terms.Priority, Arrived: now, Asked: asked, EarliestAttempt: asked - h.offset,
		TargetLatency: terms.TargetLatency, Timeout: terms.Timeout,
	}
}

// standing returns the standing of an opening. A caller that has had far more requests
// admitted than others is refused first.
func (g *Gate) standing(now time.Duration, id platform.Flow, priority uint8) admission.Standing {
	epoch := g.epochs.At(now)
	rank := admission.Rank(id.Caller, epoch)
	if g.shares.Heavy(now, id.Caller, epoch) {
		rank = 0
	}
	return admission.StandingOf(priority, rank)
}

// hasRoom reports whether a flow may be opened: as many requests as the upstream has slots
// may be ahead of the slots, so that the next request is there when a slot becomes free.
func (g *Gate) hasRoom(now time.Duration, r admission.Request) bool {
	if g.slots() == 0 {
		return true
	}
	g.dropExpected(now)
	return g.running+g.expectedCount+g.queue.CountBefore(now, g.pace(), r) < 2*g.slots()
}

// hasRoomFor reports whether a caller's flow may be opened. For one that has had far more
// requests admitted than others, there is room only if no request waits, late or not.
func (g *Gate) hasRoomFor(now time.Duration, id platform.Flow, r admission.Request) bool {
	if !g.hasRoom(now, r) {
		return false
	}
	return g.ahead(now) < 2*g.slots() || !g.shares.Heavy(now, id.Caller, g.epochs.At(now))
}

// begun returns the number of requests that the upstream processes, or whose flows have just
// been opened, and passes the numbers of those that wait for a slot on.
func (g *Gate) begun(now time.Duration) int {
	g.dropExpected(now)
	g.openings.SetOpen(g.queue.Counts())
	return g.running + g.expectedCount
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
	timeout := min(max(requestDelays*g.requestDelay, minRequestTimeout), maxRequestTimeout)
	g.expected = append(g.expected, expectedRequest{f, now + timeout})
}

// requestArrived records the arrival of the first request of a flow.
func (g *Gate) requestArrived(now time.Duration, f *flow) {
	if f.sentKnown || f.served {
		return
	}
	delay := min(now-f.openedAt, maxRequestTimeout)
	g.requestDelay += time.Duration(requestDelayWeight * float64(delay-g.requestDelay))
	g.unexpect(f)
}

// unexpect ends the wait for the first request of a flow.
func (g *Gate) unexpect(f *flow) {
	if f.expected {
		f.expected = false
		g.expectedCount--
	}
}

// dropExpected ends the wait for requests that have not arrived in time.
func (g *Gate) dropExpected(now time.Duration) {
	passed := 0
	for passed < len(g.expected) && (now >= g.expected[passed].until || !g.expected[passed].flow.expected) {
		g.unexpect(g.expected[passed].flow)
		passed++
	}
	g.expected = slices.Delete(g.expected, 0, passed)
}

// releaseOpenings passes held openings on while there is room, and refuses those that cannot
// be answered in time.
func (g *Gate) releaseOpenings(now time.Duration) {
	g.openings.Observe(now, g.pace(), g.pressing(now))
	g.returnHeldIfClosed(now)
	if len(g.held) == 0 {
		return
	}
	for g.passOn(now, g.nextWithRoom) {
	}
	for g.passOn(now, func(now time.Duration, _ admission.Pace) (platform.Flow, admission.Choice) {
		return g.openings.AttemptEnding(now)
	}) {
	}
	g.dropAbandoned(now)
	for {
		id, found := g.openings.Hopeless(now, g.pace())
		if !found {
			return
		}
		g.refuseHeld(now, id, inner.ReasonOverloaded, string(admission.Hopeless))
	}
}

// dropAbandoned drops held openings whose callers have abandoned the attempt, which could
// not be passed on before. Another agent could do nothing for them either.
func (g *Gate) dropAbandoned(now time.Duration) {
	for {
		id, found := g.openings.Abandoned(now)
		if !found {
			return
		}
		g.dropHeld(now, id, "attempt-ended")
	}
}

// dropHeld drops a held opening that its caller does not wait for any more.
func (g *Gate) dropHeld(now time.Duration, id platform.Flow, reason string) {
	h := g.held[id]
	g.forget(id)
	g.note(now, Note{Kind: KindAbandoned, Flow: id, Reason: reason, Took: now - h.since})
}

// returnHeldIfClosed returns the held openings if the upstream gets no new flows at present.
func (g *Gate) returnHeldIfClosed(now time.Duration) {
	if len(g.held) == 0 {
		return
	}
	if reason := g.closedReason(now); reason != 0 {
		g.returnHeld(now, reason)
	}
}

// nextWithRoom returns the held opening to pass on now, admission.None if there is no room
// for any.
func (g *Gate) nextWithRoom(now time.Duration, p admission.Pace) (platform.Flow, admission.Choice) {
	id, why := g.openings.Next(now, p)
	if r, ok := g.openings.Find(id); !ok || !g.hasRoom(now, r) {
		return id, admission.None
	}
	return id, why
}

// pressing returns the number of requests ahead that count as a sign of overload. A cold upstream
// becomes faster by itself, and after a common power loss all are cold: the backlog is then
// served to the last request.
func (g *Gate) pressing(now time.Duration) int {
	if now < g.upstream.coldEnd {
		g.openings.SetOpen(admission.Counts{})
		return 0
	}
	return g.begun(now)
}

// closedReason returns why the upstream gets no new flows at present, 0 if it does.
func (g *Gate) closedReason(now time.Duration) inner.Reason {
	switch {
	case g.upstream.down || g.upstream.left || g.upstream.silent || g.ownerUncertain(now):
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
	g.out.OpeningsWaited = append(g.out.OpeningsWaited, waited)
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
	g.refuse(now, h.balancer, id, reason, detail, now-h.since, h.packet)
}

// refuse returns an opening that was held for the given time.
func (g *Gate) refuse(now time.Duration, balancer netip.AddrPort, id platform.Flow, reason inner.Reason, detail string, held time.Duration, packet []byte) {
	g.note(now, Note{Kind: KindRefused, Flow: id, Peer: balancer, Reason: detail, Took: held})
	g.returnPacket(now, balancer, id, reason, packet)
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
