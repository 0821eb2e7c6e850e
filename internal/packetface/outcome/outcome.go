// Package outcome judges an upstream by what became of the flows and requests that it
// got. It is pure: outcomes and times come in, a verdict goes out.
//
// The load that it answers is a black hole: an upstream that returns opening packets,
// resets the requests that it accepts, or answers at once with a failure is done with
// each in a millisecond, looks idle and draws the flows of all balancers, while
// others have slots free. One that swallows opening packets takes them for as long as
// its heartbeats are not missed. What counts is sizes, times and flags of packets;
// nobody reads what callers and upstreams say.
//
// Two failures shut an upstream out for a while. Then it is tried with one flow at a
// time, and takes flows again after some successes; each time that it fails again it
// is shut out for twice as long. Failures that a caller can bring about count only
// from different callers, so that none can make an upstream look bad by itself.
package outcome

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/platform"
)

// Verdict says what an upstream is to get.
type Verdict uint8

// Verdicts.
const (
	// Unproven: nothing has been heard of it since the process started. It gets
	// flows, though others do rather.
	Unproven Verdict = iota
	// Takes: flows as its load allows.
	Takes
	// Probation: one flow at a time, to see whether it works again.
	Probation
	// Shut: none, if there is any other.
	Shut
)

// String returns the verdict's name in logs.
func (v Verdict) String() string {
	switch v {
	case Unproven:
		return "unproven"
	case Takes:
		return "takes"
	case Probation:
		return "probation"
	}
	return "shut"
}

// Failure names what an upstream did wrong.
type Failure string

// Failures.
const (
	// Returned: it gave an opening packet back.
	Returned Failure = "returned"
	// Silent: it answered no opening packet of several.
	Silent Failure = "silent"
	// Reset: it reset a flow whose request it had not answered.
	Reset Failure = "reset"
	// Fast: it answered in a small part of its usual time.
	Fast Failure = "fast"
)

// Limits and times of the judgement.
const (
	// window is the number of last outcomes that count, failures how many of them
	// shut an upstream out: one may be a caller's fault or the end of a life.
	window   = 8
	failures = 2
	// shutLeast is the first time for which an upstream is shut out: some answers'
	// time, so that a flaw that passes costs little. It doubles up to shutMost, after
	// which a fleet that is alive again is tried within a few seconds.
	shutLeast = 400 * time.Millisecond
	shutMost  = 6400 * time.Millisecond
	// successes in a row end the probation. An upstream that fails three requests in
	// ten passes that once in four times.
	successes = 4
	// forgiveAfter is the time without being shut out after which the next one is
	// as short as the first: longer than an upstream takes to go down and up by turns.
	forgiveAfter = 20 * time.Second
	// SilentOpenings is the number of different callers whose opening packets met no
	// sign of the upstream, and SilentFor the time since the first of them, after which
	// it counts as silent: one caller may send packets that no upstream answers. A living one answers within a
	// millisecond; a host whose share of the processor is used up for the moment goes on
	// within a tenth of a second.
	SilentOpenings = 3
	SilentFor      = 80 * time.Millisecond
)

// Judge holds what is known of one upstream. The zero value knows nothing. It has one
// owner at a time.
type Judge struct {
	verdict Verdict
	// since is when the verdict began, until when it ends if it is Shut.
	since, until time.Duration
	// shut is how long the last exclusion lasted, 0 for none.
	shut time.Duration
	// passed counts successes in a row during the probation.
	passed int
	recent recent
	// paces are those of the faces whose requests the upstream answers: requests of
	// one service may take 1 ms on one face and 40 ms on another.
	paces map[netip.AddrPort]*pace
	cause Failure
}

// Change tells that a verdict has changed, for the log.
type Change struct {
	Verdict Verdict
	// Cause is the last failure, For how long the upstream is shut out.
	Cause Failure
	For   time.Duration
}

// Verdict returns the verdict of now. It changes by time alone from Shut to
// Probation.
func (j *Judge) Verdict(now time.Duration) Verdict {
	if j.verdict == Shut && now >= j.until {
		j.verdict, j.since, j.passed = Probation, j.until, 0
		j.recent.clear()
	}
	return j.verdict
}

// Begin trusts a new life of the upstream, which is not to be judged by the one
// before. How often that had failed is kept: an upstream that goes down and up by
// turns begins a life each time.
func (j *Judge) Begin(now time.Duration) {
	j.verdict, j.since, j.passed = Takes, now, 0
	j.recent.clear()
}

// Accepted notes that the upstream accepted a flow.
func (j *Judge) Accepted(now time.Duration) {
	j.recent.returned = returned{}
	j.Heard(now)
}

// Heard notes any sign of life. It proves that the upstream is there, not that it
// works.
func (j *Judge) Heard(now time.Duration) {
	if j.verdict == Unproven {
		j.verdict, j.since = Takes, now
	}
}

// Answered notes an answer on a flow, the time that it took, and when its request was
// let in. It reports whether the verdict has changed.
func (j *Judge) Answered(now, admitted, took time.Duration, flow platform.Flow) (Change, bool) {
	if j.fast(flow.FaceAddr(), took) {
		return j.failed(now, admitted, Fast, flow.Caller)
	}
	verdict := j.Verdict(now)
	if admitted < j.since {
		return Change{}, false
	}
	j.recent.add(false, flow.Caller)
	if verdict != Probation {
		return Change{}, false
	}
	if j.passed++; j.passed < successes {
		return Change{}, false
	}
	j.verdict, j.since = Takes, now
	return Change{Verdict: Takes, Cause: j.cause}, true
}

// ResetBy notes that the upstream reset a flow whose request it had not answered.
func (j *Judge) ResetBy(now, admitted time.Duration, flow platform.Flow) (Change, bool) {
	return j.failed(now, admitted, Reset, flow.Caller)
}

// ReturnedOpening notes that the upstream gave an opening packet back.
func (j *Judge) ReturnedOpening(now, admitted time.Duration, flow platform.Flow) (Change, bool) {
	if j.Verdict(now) == Shut || admitted < j.since {
		return Change{}, false
	}
	enough := j.recent.returned.by(flow.Caller)
	if j.verdict == Takes && !enough {
		return Change{}, false
	}
	return j.shutOut(now, Returned), true
}

// SwallowedOpenings notes that the upstream gave no sign of life after several
// opening packets.
func (j *Judge) SwallowedOpenings(now time.Duration) (Change, bool) {
	if j.Verdict(now) == Shut {
		return Change{}, false
	}
	return j.shutOut(now, Silent), true
}

// failed notes a failure that a caller may have brought about. Outcomes of flows that
// were let in under an earlier verdict say nothing about this one.
func (j *Judge) failed(now, admitted time.Duration, what Failure, caller [4]byte) (Change, bool) {
	if j.Verdict(now) == Shut || admitted < j.since {
		return Change{}, false
	}
	j.recent.add(true, caller)
	if j.verdict == Takes && j.recent.callers() < failures {
		return Change{}, false
	}
	return j.shutOut(now, what), true
}

func (j *Judge) shutOut(now time.Duration, what Failure) Change {
	if j.shut > 0 && now-j.until < forgiveAfter {
		j.shut = min(2*j.shut, shutMost)
	} else {
		j.shut = shutLeast
	}
	j.verdict, j.since, j.until, j.cause = Shut, now, now+j.shut, what
	j.recent.clear()
	return Change{Verdict: Shut, Cause: what, For: j.shut}
}
