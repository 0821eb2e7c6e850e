package flow

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Intervals and limits of probing. A balancer in use is probed when its last
// answer is older than answerTTL. It is probed again after probeTimeout without
// an answer, and suspected when its first unanswered probe is older than
// suspectAfter.
const (
	// TickEvery is the interval at which Paths.Tick has to be called.
	TickEvery    = 50 * time.Millisecond
	answerTTL    = 200 * time.Millisecond
	probeTimeout = 80 * time.Millisecond
	suspectAfter = 200 * time.Millisecond
	// suspectProbeInterval is the interval between probes of a suspected
	// balancer.
	suspectProbeInterval = 500 * time.Millisecond
	// inUseTTL is how long a balancer counts as in use after a reply was sent
	// through it.
	inUseTTL = time.Second
	// probesPerSecond limits the probes of an agent. With more balancers than
	// the limit allows for, balancers are probed less often than answerTTL asks
	// for, and silent flows recover from a failed balancer by the rotation in
	// Paths.Choose.
	probesPerSecond = 10
	probeBurst      = 10
	// With more than fewBalancers balancers, the limit is
	// reducedProbesPerSecond: a failed balancer then carries only a small part
	// of the packets, and each balancer answers the probes of all agents in the
	// fleet out of its budget for control traffic.
	fewBalancers           = 16
	reducedProbesPerSecond = 3
)

// Probe is a probe to be sent to one balancer.
type Probe struct {
	Balancer netip.AddrPort
	Nonce    uint64
}

// balancer is what the agent knows about one balancer.
type balancer struct {
	addr         netip.AddrPort
	member       bool      // listed in the fleet's membership
	lastReceived time.Time // last datagram carried to this agent
	lastUsed     time.Time // last reply sent through it
	lastAnswer   time.Time // last answer to a probe
	// firstProbe and lastProbe are when the first and the last probe since the
	// last answer were sent; firstProbe is zero when no probe is unanswered. An
	// answer counts if its nonce is in the range from firstNonce to lastNonce.
	firstProbe time.Time
	lastProbe  time.Time
	firstNonce uint64
	lastNonce  uint64
	suspected  bool
}

func (b *balancer) usable(now time.Time) bool {
	return !b.suspected && (b.member || now.Sub(b.lastReceived) <= balancerTTL)
}

// due reports whether the balancer should be probed now.
func (b *balancer) due(now time.Time) bool {
	switch {
	case b.suspected:
		return now.Sub(b.lastProbe) >= suspectProbeInterval
	case !b.firstProbe.IsZero():
		return now.Sub(b.lastProbe) >= probeTimeout
	case now.Sub(b.lastUsed) > inUseTTL:
		return false
	}
	return now.Sub(b.lastAnswer) >= answerTTL
}

func (b *balancer) updateSuspicion(now time.Time) {
	if !b.firstProbe.IsZero() && now.Sub(b.firstProbe) >= suspectAfter {
		b.suspected = true
	}
}

func (b *balancer) recordProbe(now time.Time, nonce uint64) {
	if b.firstProbe.IsZero() {
		b.firstProbe = now
		b.firstNonce = nonce
	}
	b.lastProbe = now
	b.lastNonce = nonce
}

func (b *balancer) recordAnswer(now time.Time, nonce uint64) bool {
	if b.firstProbe.IsZero() || nonce < b.firstNonce || nonce > b.lastNonce {
		return false
	}
	b.lastAnswer = now
	b.firstProbe = time.Time{}
	b.suspected = false
	return true
}

// probes schedules probes within the rate limit, a token bucket. When the limit
// does not allow all probes that are due, the order of compareUrgency applies.
type probes struct {
	nonce      uint64
	tokens     float64
	refilledAt time.Time
}

func (p *probes) due(now time.Time, balancers map[netip.AddrPort]*balancer) []Probe {
	p.refill(now, probeRate(len(balancers)))
	var due []*balancer
	for _, b := range balancers {
		b.updateSuspicion(now)
		if b.due(now) {
			due = append(due, b)
		}
	}
	slices.SortFunc(due, compareUrgency)
	var out []Probe
	for _, b := range due {
		if p.tokens < 1 {
			break
		}
		p.tokens--
		p.nonce++
		b.recordProbe(now, p.nonce)
		out = append(out, Probe{Balancer: b.addr, Nonce: p.nonce})
	}
	return out
}

// probeRate returns the number of probes per second that an agent may send when
// it knows the given number of balancers.
func probeRate(balancers int) float64 {
	if balancers > fewBalancers {
		return reducedProbesPerSecond
	}
	return probesPerSecond
}

func (p *probes) refill(now time.Time, perSecond float64) {
	if p.refilledAt.IsZero() {
		p.tokens = probeBurst
	} else {
		p.tokens += now.Sub(p.refilledAt).Seconds() * perSecond
	}
	p.tokens = min(p.tokens, probeBurst)
	p.refilledAt = now
}

// compareUrgency orders balancers with an unanswered probe first, then the
// others, and suspected ones last; within each group, the oldest answer comes
// first. Ties are broken by address, so that equal inputs give equal outputs.
func compareUrgency(a, b *balancer) int {
	return cmp.Or(
		cmp.Compare(urgency(a), urgency(b)),
		a.lastAnswer.Compare(b.lastAnswer),
		a.addr.Compare(b.addr),
	)
}

func urgency(b *balancer) int {
	switch {
	case b.suspected:
		return 2
	case !b.firstProbe.IsZero():
		return 0
	}
	return 1
}
