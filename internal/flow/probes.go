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
	proofFor     = 200 * time.Millisecond
	answerWithin = 80 * time.Millisecond
	suspectAfter = 200 * time.Millisecond
	// suspectEvery is how often a suspected balancer is asked.
	suspectEvery = 500 * time.Millisecond
	// inUseFor is how long a balancer counts as in use after a reply.
	inUseFor = time.Second
	// probesPerSecond bounds an agent's probes. Beyond it proofs get older, and
	// turning silent flows over the balancers (Choose) is what recovers them.
	probesPerSecond = 10
	probeBurst      = 10
	// With more than fewBalancers the bound is manyProbesPerSecond: a balancer
	// that fails then carries few of the packets, and it answers the probes of
	// the whole fleet's agents out of its budget for control.
	fewBalancers        = 16
	manyProbesPerSecond = 3
)

// Probe asks one balancer whether it answers.
type Probe struct {
	Balancer netip.AddrPort
	Nonce    uint64
}

// balancer is what an agent knows of one balancer.
type balancer struct {
	addr   netip.AddrPort
	member bool      // named by the fleet's membership
	heard  time.Time // last datagram carried to here
	used   time.Time // last reply sent through it
	proof  time.Time // last answer to a probe
	// asked is when the oldest unanswered probe was sent, askedLast the
	// newest; zero when none is open. Their nonces bound what is an answer.
	asked      time.Time
	askedLast  time.Time
	firstNonce uint64
	lastNonce  uint64
	suspect    bool
}

func (b *balancer) usable(now time.Time) bool {
	return !b.suspect && (b.member || now.Sub(b.heard) <= balancerFor)
}

// due tells whether the balancer should be probed now, and how urgently: the
// time since which an answer is missed.
func (b *balancer) due(now time.Time) bool {
	switch {
	case b.suspect:
		return now.Sub(b.askedLast) >= suspectEvery
	case !b.asked.IsZero():
		return now.Sub(b.askedLast) >= answerWithin
	case now.Sub(b.used) > inUseFor:
		return false
	}
	return now.Sub(b.proof) >= proofFor
}

func (b *balancer) judge(now time.Time) {
	if !b.asked.IsZero() && now.Sub(b.asked) >= suspectAfter {
		b.suspect = true
	}
}

func (b *balancer) ask(now time.Time, nonce uint64) {
	if b.asked.IsZero() {
		b.asked = now
		b.firstNonce = nonce
	}
	b.askedLast = now
	b.lastNonce = nonce
}

func (b *balancer) answered(now time.Time, nonce uint64) bool {
	if b.asked.IsZero() || nonce < b.firstNonce || nonce > b.lastNonce {
		return false
	}
	b.proof = now
	b.asked = time.Time{}
	b.suspect = false
	return true
}

// probes hands out probes within the budget, the longest missed answer first.
type probes struct {
	nonce  uint64
	tokens float64
	filled time.Time
}

func (p *probes) due(now time.Time, balancers map[netip.AddrPort]*balancer) []Probe {
	p.fill(now, probeRate(len(balancers)))
	var due []*balancer
	for _, b := range balancers {
		b.judge(now)
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
		b.ask(now, p.nonce)
		out = append(out, Probe{Balancer: b.addr, Nonce: p.nonce})
	}
	return out
}

// probeRate returns the probes a second that an agent of so many balancers may
// send.
func probeRate(balancers int) float64 {
	if balancers > fewBalancers {
		return manyProbesPerSecond
	}
	return probesPerSecond
}

func (p *probes) fill(now time.Time, perSecond float64) {
	if p.filled.IsZero() {
		p.tokens = probeBurst
	} else {
		p.tokens += now.Sub(p.filled).Seconds() * perSecond
	}
	p.tokens = min(p.tokens, probeBurst)
	p.filled = now
}

// compareUrgency puts open questions first, then the oldest proof; suspects
// come last. Ties go by address, so that equal inputs give equal outputs.
func compareUrgency(a, b *balancer) int {
	return cmp.Or(
		cmp.Compare(urgency(a), urgency(b)),
		a.proof.Compare(b.proof),
		a.addr.Compare(b.addr),
	)
}

func urgency(b *balancer) int {
	switch {
	case b.suspect:
		return 2
	case !b.asked.IsZero():
		return 0
	}
	return 1
}
