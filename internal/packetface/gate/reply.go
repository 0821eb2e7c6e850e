package gate

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

// FromUpstream handles a packet that the upstream sent, or one that it returned without
// accepting it (FlagBounced).
func (g *Gate) FromUpstream(now time.Duration, b []byte) (*Result, error) {
	g.resetResult()
	p, err := platform.ParsePacket(b)
	if err != nil {
		return &g.out, err
	}
	g.upstream.refused, g.unansweredOpenings = 0, unansweredOpenings{}
	if p.Flags.Has(platform.FlagBounced) {
		platform.ClearBounced(b)
		g.handleBounced(now, &p, b)
	} else {
		g.handleReply(now, &p, b)
	}
	g.release(now)
	return &g.out, nil
}

// handleBounced returns a packet that the upstream did not accept to the balancer that
// forwarded it.
func (g *Gate) handleBounced(now time.Duration, p *platform.Packet, b []byte) {
	id := p.FromCaller()
	f := g.flows[id]
	if f == nil {
		g.note(now, Note{Kind: KindDropped, Flow: id, Reason: "bounced-without-sender"})
		return
	}
	g.note(now, Note{Kind: KindBounced, Flow: id, Peer: f.balancer})
	reason := g.notHeldReason()
	if p.IsOpening() {
		reason = inner.ReasonBounced
		change, changed := g.judge.ReturnedOpening(now, f.openedAt, id)
		g.applyVerdictChange(now, change, changed)
	}
	balancer := f.balancer
	g.removeFlow(id, f)
	g.returnPacket(now, balancer, id, reason, b)
}

// handleReply sends a packet of the upstream to its caller.
func (g *Gate) handleReply(now time.Duration, p *platform.Packet, b []byte) {
	id := p.FromUpstream()
	f := g.flows[id]
	if f == nil {
		f = g.addFlow(id, now, stateOfUnknown(p))
	}
	f.lastPacket = now
	g.upstream.sentPacket = g.upstream.sentPacket || provesAlive(p)
	g.judge.NoteAlive(now)
	if f.probing {
		f.probing = false
		g.setState(f, flowOpen)
		g.sendHeldVerdict(f, id)
	}
	if p.Flags.Has(platform.FlagSYN) {
		f.answered, f.acceptedSequence, f.openedAt, f.opening = true, p.Sequence, now, nil
		g.judge.Accepted(now)
	}
	if p.Flags.Has(platform.FlagRST) {
		g.resetByUpstream(now, id, f)
	}
	// Packets may be reordered on the way to this socket, so that the end of a flow arrives
	// before the answer. The end then counts as the answer.
	if f.running && (p.Length > 0 || p.Flags.Has(platform.FlagFIN)) {
		g.recordAnswer(now, id, f)
	}
	if p.Flags.Has(platform.FlagFIN) {
		f.upstreamDone = true
	}
	g.closeIfDone(f, p)
	g.send(ToCaller, g.caller(id), b)
}

// provesAlive reports whether p is a packet that only a running upstream sends. For an
// upstream that has ended, its host replies: it returns packets, acknowledges the end of a
// flow and answers data with a reset.
func provesAlive(p *platform.Packet) bool {
	return p.Length > 0 || p.Flags.Has(platform.FlagSYN) || p.Flags.Has(platform.FlagFIN)
}

// stateOfUnknown returns the initial state for a flow that the agent first sees by a reply
// of the upstream, as the flow is older than the agent process. A flow whose opening packet
// is only now answered may have been opened at another upstream by a retransmission.
func stateOfUnknown(p *platform.Packet) flowState {
	if p.Flags.Has(platform.FlagSYN) {
		return flowOpening
	}
	return flowOpen
}

// recordAnswer records that the upstream answers the running request of a flow.
func (g *Gate) recordAnswer(now time.Duration, id platform.Flow, f *flow) {
	g.setRunning(f, false)
	if f.timed {
		g.times.Add(now, id.Caller, f.terms.Priority, now-f.requestedAt)
	}
	f.served = true
	g.openings.Answered(now)
	if f.callerDone {
		return // the caller has given up, so the end of the flow tells nothing of the upstream
	}
	g.addLatency(now, now-f.requestedAt)
	change, changed := g.judge.Answered(now, f.requestedAt, now-f.requestedAt, id)
	g.applyVerdictChange(now, change, changed)
	if now-f.requestedAt >= slowAnswer {
		g.note(now, Note{Kind: KindSlow, Flow: id, Took: now - f.requestedAt})
	}
}

// sendHeldVerdict informs the balancer from which the flow's last packet came that the
// upstream holds the flow.
func (g *Gate) sendHeldVerdict(f *flow, id platform.Flow) {
	if !f.balancer.IsValid() {
		return
	}
	start := len(g.buffer)
	g.buffer = inner.AppendAnswerHead(g.buffer, g.listing())
	g.buffer = inner.AppendAnswer(g.buffer, inner.Answer{Flow: id, Verdict: inner.VerdictHeld})
	g.sendBuffer(ToBalancer, f.balancer, start)
}

func (g *Gate) addLatency(now, latency time.Duration) {
	g.out.Answered = append(g.out.Answered, latency)
	outdated := now-g.answeredAt > latencyMaxAge
	g.answeredAt = now
	if g.latency == 0 || outdated {
		g.latency = latency
		return
	}
	g.latency += time.Duration(latencyWeight * float64(latency-g.latency))
}

// responseTime returns the upstream's mean response time, 0 if it has answered no request
// within latencyMaxAge.
func (g *Gate) responseTime(now time.Duration) time.Duration {
	if now-g.answeredAt > latencyMaxAge {
		return 0
	}
	return g.latency
}

func (g *Gate) caller(id platform.Flow) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(id.Caller), g.settings.CallerPort)
}
