// Package outcome judges an upstream by the outcomes of the flows and requests that were
// sent to it. It does no I/O: outcomes and times are passed in, a verdict is returned.
//
// It guards against black holes. An upstream that returns opening packets, resets the
// requests that it accepts, or answers at once with a failure completes each within a
// millisecond. It looks idle and attracts the flows of all balancers, while others have
// free slots (room for requests). An upstream that does not answer opening packets at all
// attracts them until its heartbeats are missed. Outcomes are derived from the sizes, times
// and flags of packets only; the contents of requests and answers are not read.
//
// Two failures shut an upstream out for a while. It is then on probation: it gets one flow
// at a time, and gets flows as usual after some successes. Each time that it fails again it
// is shut out for twice as long. Failures that a caller can cause count only if they come
// from different callers, so that no single caller can have an upstream shut out.
package outcome

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/platform"
)

// Verdict determines which flows an upstream gets.
type Verdict uint8

// The verdicts.
const (
	// Unproven: nothing has been received from the upstream since the process started. It
	// gets flows, but others are preferred.
	Unproven Verdict = iota
	// Takes: the upstream gets flows as its load allows.
	Takes
	// Probation: the upstream gets one flow at a time, to test whether it works again.
	Probation
	// Shut: the upstream gets no flows as long as there is any other upstream.
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

// Failure is a kind of failure of an upstream.
type Failure string

// The failures.
const (
	// Returned: the upstream returned an opening packet.
	Returned Failure = "returned"
	// Silent: the upstream answered none of several opening packets.
	Silent Failure = "silent"
	// Reset: the upstream reset a flow with an unanswered request.
	Reset Failure = "reset"
	// Fast: the upstream answered in a small fraction of its usual time.
	Fast Failure = "fast"
)

// Limits and timeouts.
const (
	// window is the number of most recent outcomes that count.
	window = 8
	// failures is the number of failures among these outcomes that shut an upstream out. A
	// single failure may be a caller's fault or come from the end of an instance of the
	// upstream.
	failures = 2
	// minShut is the first duration for which an upstream is shut out: several response
	// times, so that a transient fault costs little. The duration doubles each time up to
	// maxShut.
	minShut = 400 * time.Millisecond
	// maxShut is the longest duration for which an upstream is shut out: short enough for a
	// fleet that has recovered to be tried again within a few seconds.
	maxShut = 6400 * time.Millisecond
	// probationSuccesses is the number of consecutive successes that end a probation. An
	// upstream that fails three of ten requests passes it one time in four.
	probationSuccesses = 4
	// shutResetAfter is the time since the end of the last exclusion after which the next
	// exclusion is as short as the first: longer than one cycle of an upstream that keeps
	// failing and recovering.
	shutResetAfter = 20 * time.Second
	// SilentOpenings is the number of different callers that must have sent opening packets
	// since the upstream's last packet for the upstream to count as silent. Several callers
	// are required because one caller may send packets that no upstream answers.
	SilentOpenings = 3
	// SilentFor is the time since the first of these opening packets after which the
	// upstream counts as silent. A working upstream answers within a millisecond; a host
	// that has temporarily used up its share of the processor continues within a tenth of a
	// second.
	SilentFor = 80 * time.Millisecond
)

// Judge derives the verdict on one upstream. The zero value has recorded no outcomes. A
// Judge is not safe for concurrent use.
type Judge struct {
	verdict Verdict
	// since is when the verdict began, until is when it ends if it is Shut.
	since, until time.Duration
	// shutFor is the duration of the last exclusion, 0 if there was none.
	shutFor time.Duration
	// passed counts consecutive successes during the probation.
	passed         int
	recentOutcomes recentOutcomes
	// byFace holds the usual response times for each face (address and port to which
	// callers open flows) whose requests the upstream answers: requests of one service may
	// take 1 ms on one face and 40 ms on another.
	byFace map[netip.AddrPort]*responseTimes
	cause  Failure
}

// Change describes a change of the verdict, for the log.
type Change struct {
	Verdict Verdict
	// Cause is the last failure.
	Cause Failure
	// For is how long the upstream is shut out, 0 if Verdict is not Shut.
	For time.Duration
}

// Verdict returns the current verdict. Only the change from Shut to Probation is due to
// elapsed time alone.
func (j *Judge) Verdict(now time.Duration) Verdict {
	if j.verdict == Shut && now >= j.until {
		j.verdict, j.since, j.passed = Probation, j.until, 0
		j.recentOutcomes.clear()
	}
	return j.verdict
}

// BeginInstance resets the verdict to Takes for a new instance of the upstream, which is
// not judged by the outcomes of the previous one. The duration of the last exclusion is
// kept, because an upstream that keeps failing and restarting begins a new instance each
// time.
func (j *Judge) BeginInstance(now time.Duration) {
	j.verdict, j.since, j.passed = Takes, now, 0
	j.recentOutcomes.clear()
}

// Accepted records that the upstream accepted a flow.
func (j *Judge) Accepted(now time.Duration) {
	j.recentOutcomes.returnedOpening = returnedOpening{}
	j.NoteAlive(now)
}

// NoteAlive records a packet or heartbeat of the upstream. It proves that the upstream is
// running, not that it works.
func (j *Judge) NoteAlive(now time.Duration) {
	if j.verdict == Unproven {
		j.verdict, j.since = Takes, now
	}
}

// Answered records an answer on a flow, its response time, and when its request was
// admitted. It reports whether the verdict has changed.
func (j *Judge) Answered(now, admitted, took time.Duration, flow platform.Flow) (Change, bool) {
	if j.fast(flow.FaceAddr(), took) {
		return j.failed(now, admitted, Fast, flow.Caller)
	}
	verdict := j.Verdict(now)
	if admitted < j.since {
		return Change{}, false
	}
	j.recentOutcomes.add(false, flow.Caller)
	if verdict != Probation {
		return Change{}, false
	}
	if j.passed++; j.passed < probationSuccesses {
		return Change{}, false
	}
	j.verdict, j.since = Takes, now
	return Change{Verdict: Takes, Cause: j.cause}, true
}

// ResetBy records that the upstream reset a flow with an unanswered request.
func (j *Judge) ResetBy(now, admitted time.Duration, flow platform.Flow) (Change, bool) {
	return j.failed(now, admitted, Reset, flow.Caller)
}

// ReturnedOpening records that the upstream returned an opening packet.
func (j *Judge) ReturnedOpening(now, admitted time.Duration, flow platform.Flow) (Change, bool) {
	if j.Verdict(now) == Shut || admitted < j.since {
		return Change{}, false
	}
	enough := j.recentOutcomes.returnedOpening.addCaller(flow.Caller)
	if j.verdict == Takes && !enough {
		return Change{}, false
	}
	return j.shutOut(now, Returned), true
}

// UnansweredOpenings records that the upstream sent nothing after several opening packets.
func (j *Judge) UnansweredOpenings(now time.Duration) (Change, bool) {
	if j.Verdict(now) == Shut {
		return Change{}, false
	}
	return j.shutOut(now, Silent), true
}

// failed records a failure that a caller may have caused. Outcomes of flows that were
// admitted before the current verdict are ignored.
func (j *Judge) failed(now, admitted time.Duration, what Failure, caller [4]byte) (Change, bool) {
	if j.Verdict(now) == Shut || admitted < j.since {
		return Change{}, false
	}
	j.recentOutcomes.add(true, caller)
	if j.verdict == Takes && j.recentOutcomes.failedCallers() < failures {
		return Change{}, false
	}
	return j.shutOut(now, what), true
}

func (j *Judge) shutOut(now time.Duration, what Failure) Change {
	if j.shutFor > 0 && now-j.until < shutResetAfter {
		j.shutFor = min(2*j.shutFor, maxShut)
	} else {
		j.shutFor = minShut
	}
	j.verdict, j.since, j.until, j.cause = Shut, now, now+j.shutFor, what
	j.recentOutcomes.clear()
	return Change{Verdict: Shut, Cause: what, For: j.shutFor}
}
