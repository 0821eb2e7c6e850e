package gate

import (
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/outcome"
	"github.com/saltbend/saltbend/internal/packetface/policy"
	"github.com/saltbend/saltbend/platform"
)

// The agent sees what becomes of each flow and request of its upstream. Package
// outcome judges by that; here outcomes are told from packets, and the verdict is put
// into effect.

const (
	// trialTime is the time after which a flow that was let in to try the upstream no
	// longer keeps out the next one: its caller may have gone.
	trialTime = time.Second
	// pauseTime is the time between two calls after which the process counts as
	// paused, and what came meanwhile as not read yet: ticks come every 200 ms.
	pauseTime = 400 * time.Millisecond
)

// swallowed holds the callers whose opening packets the upstream has got since its
// last packet, the first at the time since.
type swallowed struct {
	callers [outcome.SilentOpenings][4]byte
	count   int
	since   time.Duration
}

// add notes an opening packet.
func (s *swallowed) add(now time.Duration, caller [4]byte) {
	if s.count == 0 {
		s.since = now
	}
	if s.count < len(s.callers) && !slices.Contains(s.callers[:s.count], caller) {
		s.callers[s.count] = caller
		s.count++
	}
}

// silent reports whether so many callers have waited for so long that the upstream
// is silent.
func (s *swallowed) silent(now time.Duration) bool {
	return s.count >= outcome.SilentOpenings && now-s.since >= outcome.SilentFor
}

func (g *Gate) judges() bool { return g.settings.Policies.On(policy.Outcomes) }

// upstreamVerdict returns the verdict on the upstream.
func (g *Gate) upstreamVerdict(now time.Duration) outcome.Verdict {
	if !g.judges() {
		return outcome.Takes
	}
	return g.judge.Verdict(now)
}

// refusedByVerdict reports whether the verdict keeps an opening packet out.
func (g *Gate) refusedByVerdict(now time.Duration) bool {
	switch g.upstreamVerdict(now) {
	case outcome.Shut:
		return true
	case outcome.Probation:
		return g.trial != 0 && now-g.trial < trialTime
	}
	return false
}

// letIn notes that the upstream gets an opening packet.
func (g *Gate) letIn(now time.Duration, caller [4]byte) {
	if g.upstreamVerdict(now) == outcome.Probation {
		g.trial = now
	}
	g.swallowed.add(now, caller)
}

// judged puts a change of the verdict into effect. Every outcome ends a trial.
func (g *Gate) judged(now time.Duration, c outcome.Change, changed bool) {
	g.trial = 0
	if !changed || !g.judges() {
		return
	}
	g.note(now, Note{Kind: KindVerdict, Reason: c.Verdict.String() + "-" + string(c.Cause), Took: c.For})
	g.announce(now)
}

// checkVerdict notices an upstream that swallows opening packets, and tells balancers
// of verdicts that time has changed.
func (g *Gate) checkVerdict(now time.Duration) {
	if g.called != 0 && now-g.called > pauseTime {
		g.resumed = now
		g.swallowed = swallowed{}
	}
	g.called = now
	if g.swallowed.silent(now) && g.judges() {
		g.giveUpOpenings(now)
	}
	if g.state(now) != g.announced && g.announced != 0 {
		g.announce(now)
	}
}

// giveUpOpenings returns the opening packets that the upstream has swallowed: others
// may answer them long before the callers send copies.
func (g *Gate) giveUpOpenings(now time.Duration) {
	g.swallowed = swallowed{}
	change, changed := g.judge.SwallowedOpenings(now)
	g.judged(now, change, changed)
	for id, f := range g.flows {
		if f.state != flowOpening || f.answered || f.opening == nil {
			continue
		}
		// The flow stays: the upstream may wake and answer, though its caller goes on
		// with another by then.
		packet := f.opening
		f.opening = nil
		g.giveBack(now, f.balancer, id, inner.ReasonFailing, packet)
	}
}

// resetByUpstream judges a flow that the upstream reset.
func (g *Gate) resetByUpstream(now time.Duration, id platform.Flow, f *flow) {
	if !f.running {
		return // nothing was asked of it
	}
	change, changed := g.judge.ResetBy(now, f.asked, id)
	g.judged(now, change, changed)
}
