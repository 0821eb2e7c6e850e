package flow

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Times of probing. A balancer in use is probed when no answer of it is newer
// than proofFor; after answerWithin without an answer it is probed again, and
// suspected when the first unanswered probe is suspectAfter old.
const (
	// TickEvery is how often Paths.Tick has to be called.
	TickEvery    = 50 * time.Millisecond
	answerTTL    = 200 * time.Millisecond
	probeTimeout = 80 * time.Millisecond
	suspectAfter = 200 * time.Millisecond
	// suspectEvery is how often a suspected balancer is asked.
	suspectProbeInterval = 500 * time.Millisecond
	// inUseFor is how long a balancer counts as in use after a reply.
	inUseTTL = time.Second
	// probesPerSecond bounds an agent's probes. Beyond it proofs get older, and
	// turning silent flows over the balancers (Choose) is what recovers them.
	probesPerSecond = 10
	probeBurst      = 10
	// With more than fewBalancers the bound is manyProbesPerSecond: a balancer
	// that fails then carries few of the packets, and it answers the probes of
	// the whole fleet's agents out of its budget for control.
	fewBalancers           = 16
	reducedProbesPerSecond = 3
)

// Probe asks one balancer whether it answers.
type Probe struct {
	Balancer netip.AddrPort
	Nonce    uint64
}

// balancer is what an agent knows of one balancer.
type balancer struct {
	addr         netip.AddrPort
	member       bool      // named by the fleet's membership
	lastReceived time.Time // last datagram carried to here
	lastUsed     time.Time // last reply sent through it
	lastAnswer   time.Time // last answer to a probe
	// asked is when the oldest unanswered probe was sent, askedLast the
	// newest; zero when none is open. Their nonces bound what is an answer.
	firstProbe time.Time
	lastProbe  time.Time
	firstNonce uint64
	lastNonce  uint64
	suspected  bool
}

func (b *balancer) usable(now time.Time) bool {
	return !b.suspected && (b.member || now.Sub(b.lastReceived) <= balancerTTL)
}

// due tells whether the balancer should be probed now, and how urgently: the
// time since which an answer is missed.
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

// probes hands out probes within the budget, the longest missed answer first.
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

// probeRate returns the probes a second that an agent of so many balancers may
// send.
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

// compareUrgency puts open questions first, then the oldest proof; suspects
// come last. Ties go by address, so that equal inputs give equal outputs.
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
