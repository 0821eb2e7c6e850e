package gate

import (
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/outcome"
	"github.com/saltbend/saltbend/internal/packetface/policy"
	"github.com/saltbend/saltbend/platform"
)

// The agent observes the outcome of each flow and request of its upstream, such as an
// answer or a reset. Package outcome derives a verdict on the upstream from them. This file
// recognizes outcomes by the packets of the upstream and applies the verdict.

const (
	// trialTimeout is the time after which a flow admitted to test the upstream no longer
	// prevents the admission of the next such flow, as its caller may have given up.
	trialTimeout = time.Second
	// pauseThreshold is the time between two calls from which on the process counts as
	// paused. Packets that arrived during a pause may be unread, so missing answers prove
	// nothing. Ticks come every 200 ms.
	pauseThreshold = 400 * time.Millisecond
)

// unansweredOpenings holds the callers whose opening packets were forwarded to the upstream
// since the upstream's last packet; the first of these packets was forwarded at since.
type unansweredOpenings struct {
	callers [outcome.SilentOpenings][4]byte
	count   int
	since   time.Duration
}

// add records an opening packet.
func (s *unansweredOpenings) add(now time.Duration, caller [4]byte) {
	if s.count == 0 {
		s.since = now
	}
	if s.count < len(s.callers) && !slices.Contains(s.callers[:s.count], caller) {
		s.callers[s.count] = caller
		s.count++
	}
}

// silent reports whether enough different callers have waited for long enough that the
// upstream counts as silent.
func (s *unansweredOpenings) silent(now time.Duration) bool {
	return s.count >= outcome.SilentOpenings && now-s.since >= outcome.SilentFor
}

func (g *Gate) outcomesEnabled() bool { return g.settings.Policies.On(policy.Outcomes) }

// upstreamVerdict returns the verdict on the upstream.
func (g *Gate) upstreamVerdict(now time.Duration) outcome.Verdict {
	if !g.outcomesEnabled() {
		return outcome.Takes
	}
	return g.judge.Verdict(now)
}

// refusedByVerdict reports whether an opening packet is refused because of the verdict on
// the upstream.
func (g *Gate) refusedByVerdict(now time.Duration) bool {
	switch g.upstreamVerdict(now) {
	case outcome.Shut:
		return true
	case outcome.Probation:
		return g.trial != 0 && now-g.trial < trialTimeout
	}
	return false
}

// noteAdmitted records that an opening packet is forwarded to the upstream.
func (g *Gate) noteAdmitted(now time.Duration, caller [4]byte) {
	if g.upstreamVerdict(now) == outcome.Probation {
		g.trial = now
	}
	g.unansweredOpenings.add(now, caller)
}

// applyVerdictChange logs and announces a change of the verdict. Every outcome ends a
// trial.
func (g *Gate) applyVerdictChange(now time.Duration, c outcome.Change, changed bool) {
	g.trial = 0
	if !changed || !g.outcomesEnabled() {
		return
	}
	g.note(now, Note{Kind: KindVerdict, Reason: c.Verdict.String() + "-" + string(c.Cause), Took: c.For})
	g.announce(now)
}

// checkVerdict detects an upstream that does not answer opening packets, and announces
// changes of the verdict that are due to elapsed time. It also detects pauses of the
// process, after which missing answers are not counted.
func (g *Gate) checkVerdict(now time.Duration) {
	if g.lastCall != 0 && now-g.lastCall > pauseThreshold {
		g.resumed = now
		g.unansweredOpenings = unansweredOpenings{}
	}
	g.lastCall = now
	if g.unansweredOpenings.silent(now) && g.outcomesEnabled() {
		g.returnUnansweredOpenings(now)
	}
	if g.state(now) != g.announced && g.announced != 0 {
		g.announce(now)
	}
}

// returnUnansweredOpenings sends the opening packets that have had no answer from the
// upstream back to the balancers that forwarded them, so that other upstreams can answer
// them long before the callers retransmit.
func (g *Gate) returnUnansweredOpenings(now time.Duration) {
	g.unansweredOpenings = unansweredOpenings{}
	change, changed := g.judge.UnansweredOpenings(now)
	g.applyVerdictChange(now, change, changed)
	for id, f := range g.flows {
		if f.state != flowOpening || f.answered || f.opening == nil {
			continue
		}
		// The flow is kept, as the upstream may recover and still answer. The caller will
		// be using another upstream by then.
		packet := f.opening
		f.opening = nil
		g.returnPacket(now, f.balancer, id, inner.ReasonFailing, packet)
	}
}

// resetByUpstream informs the judge that the upstream has reset a flow, if a request of
// the flow is running.
func (g *Gate) resetByUpstream(now time.Duration, id platform.Flow, f *flow) {
	if !f.running {
		return // without a running request a reset is no failure
	}
	change, changed := g.judge.ResetBy(now, f.requestedAt, id)
	g.applyVerdictChange(now, change, changed)
}
