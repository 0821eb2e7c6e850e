package gate

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

// FromUpstream decides on a packet that the upstream sent or returned.
func (g *Gate) FromUpstream(now time.Duration, b []byte) (*Result, error) {
	g.begin()
	p, err := platform.ParsePacket(b)
	if err != nil {
		return &g.out, err
	}
	g.upstream.refused, g.swallowed = 0, swallowed{}
	if p.Flags.Has(platform.FlagBounced) {
		platform.ClearBounced(b)
		g.bounced(now, &p, b)
	} else {
		g.reply(now, &p, b)
	}
	g.release(now)
	return &g.out, nil
}

// bounced gives a packet that the upstream does not take back to the balancer.
func (g *Gate) bounced(now time.Duration, p *platform.Packet, b []byte) {
	id := p.FromCaller()
	f := g.flows[id]
	if f == nil {
		g.note(now, Note{Kind: KindDropped, Flow: id, Reason: "bounced-without-sender"})
		return
	}
	g.note(now, Note{Kind: KindBounced, Flow: id, Peer: f.balancer})
	reason := g.unknown()
	if p.IsOpening() {
		reason = inner.ReasonBounced
		change, changed := g.judge.ReturnedOpening(now, f.began, id)
		g.judged(now, change, changed)
	}
	balancer := f.balancer
	g.forget(id, f)
	g.giveBack(now, balancer, id, reason, b)
}

// reply sends a packet of the upstream to its caller.
func (g *Gate) reply(now time.Duration, p *platform.Packet, b []byte) {
	id := p.FromUpstream()
	f := g.flows[id]
	if f == nil {
		f = g.remember(id, now, stateOfUnknown(p))
	}
	f.seen = now
	g.upstream.spoke = g.upstream.spoke || showsLife(p)
	g.judge.Heard(now)
	if f.probing {
		f.probing = false
		g.setState(f, flowOpen)
		g.tellHeld(f, id)
	}
	if p.Flags.Has(platform.FlagSYN) {
		f.answered, f.accepted, f.began, f.opening = true, p.Sequence, now, nil
		g.judge.Accepted(now)
	}
	if p.Flags.Has(platform.FlagRST) {
		g.resetByUpstream(now, id, f)
	}
	// The end of a flow may overtake the answer before it on the way to this socket.
	if f.running && (p.Length > 0 || p.Flags.Has(platform.FlagFIN)) {
		g.answered(now, id, f)
	}
	if p.Flags.Has(platform.FlagFIN) {
		f.upstreamDone = true
	}
	g.closeIfDone(f, p)
	g.send(ToCaller, g.caller(id), b)
}

// showsLife reports whether only an upstream that lives sends such a packet. One that has
// ended is answered for on its host: packets come back, the end of a flow is
// acknowledged, data is reset.
func showsLife(p *platform.Packet) bool {
	return p.Length > 0 || p.Flags.Has(platform.FlagSYN) || p.Flags.Has(platform.FlagFIN)
}

// stateOfUnknown returns the state of a flow that is older than the agent. One whose
// opening is only answered now may be opened elsewhere by a copy.
func stateOfUnknown(p *platform.Packet) flowState {
	if p.Flags.Has(platform.FlagSYN) {
		return flowOpening
	}
	return flowOpen
}

// answered notes that the upstream answers the request that runs on a flow.
func (g *Gate) answered(now time.Duration, id platform.Flow, f *flow) {
	g.setRunning(f, false)
	f.served = true
	g.addLatency(now, now-f.asked)
	change, changed := g.judge.Answered(now, f.asked, now-f.asked, id)
	g.judged(now, change, changed)
	if now-f.asked >= slowAnswer {
		g.note(now, Note{Kind: KindSlow, Flow: id, Took: now - f.asked})
	}
}

// tellHeld tells the balancer that asked that its flow is held here.
func (g *Gate) tellHeld(f *flow, id platform.Flow) {
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
	outdated := now-g.answeredAt > latencyTime
	g.answeredAt = now
	if g.latency == 0 || outdated {
		g.latency = latency
		return
	}
	g.latency += time.Duration(latencyShare * float64(latency-g.latency))
}

// answerTime returns the time that the upstream lately took for an answer, 0 where it has
// given none.
func (g *Gate) answerTime(now time.Duration) time.Duration {
	if now-g.answeredAt > latencyTime {
		return 0
	}
	return g.latency
}

func (g *Gate) caller(id platform.Flow) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4(id.Caller), g.settings.CallerPort)
}
