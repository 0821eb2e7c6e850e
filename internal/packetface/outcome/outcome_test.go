package outcome_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/packetface/outcome"
	"github.com/saltbend/saltbend/platform"
)

const ms = time.Millisecond

// caller returns a flow of the n-th caller to a fixed face.
func caller(n int) platform.Flow {
	return platform.Flow{Caller: [4]byte{100, 64, byte(n >> 8), byte(n)}, Face: [4]byte{198, 18, 0, 1}, FacePort: 443}
}

// upstream records outcomes in a Judge, in steps of 10 ms.
type upstream struct {
	*WithT
	judge outcome.Judge
	now   time.Duration
}

func newUpstream(t *testing.T) *upstream {
	u := &upstream{WithT: NewWithT(t), now: time.Second}
	u.judge.BeginInstance(u.now)
	return u
}

// answer records an answer to a request that was admitted just before.
func (u *upstream) answer(took time.Duration, flow platform.Flow) {
	u.now += 10 * ms
	u.judge.Answered(u.now, u.now, took, flow)
}

func (u *upstream) reset(flow platform.Flow) {
	u.now += 10 * ms
	u.judge.ResetBy(u.now, u.now, flow)
}

func (u *upstream) verdict() outcome.Verdict { return u.judge.Verdict(u.now) }

// answerAsUsual records 100 answers with the usual response time.
func (u *upstream) answerAsUsual() {
	for n := range 100 {
		u.answer(30*ms, caller(n))
	}
}

func TestVerdicts(t *testing.T) {
	cases := []struct {
		name string
		do   func(u *upstream)
		want outcome.Verdict
	}{
		{"answers as usual", func(u *upstream) { u.answerAsUsual() }, outcome.Takes},
		{"one reset", func(u *upstream) { u.reset(caller(1)) }, outcome.Takes},
		{"resets of one caller", func(u *upstream) { u.reset(caller(1)); u.reset(caller(1)); u.reset(caller(1)) }, outcome.Takes},
		{"resets of two callers", func(u *upstream) { u.reset(caller(1)); u.reset(caller(2)) }, outcome.Shut},
		{"resets far apart", func(u *upstream) {
			u.reset(caller(1))
			u.answerAsUsual()
			u.reset(caller(2))
		}, outcome.Takes},
		{"fast answers to two callers", func(u *upstream) {
			u.answerAsUsual()
			u.answer(ms, caller(1))
			u.answer(30*ms, caller(3))
			u.answer(ms, caller(2))
		}, outcome.Shut},
		{"fast answers before the usual time is known", func(u *upstream) { u.answer(30*ms, caller(1)); u.answer(ms, caller(2)); u.answer(ms, caller(3)) }, outcome.Takes},
		{"one opening returned", func(u *upstream) { u.judge.ReturnedOpening(u.now, u.now, caller(1)) }, outcome.Takes},
		{"two openings returned", func(u *upstream) {
			u.judge.ReturnedOpening(u.now, u.now, caller(1))
			u.judge.ReturnedOpening(u.now, u.now, caller(2))
		}, outcome.Shut},
		{"openings of one caller returned", func(u *upstream) {
			for range 9 {
				u.judge.ReturnedOpening(u.now, u.now, caller(1))
			}
		}, outcome.Takes},
		{"one accepted between two returned", func(u *upstream) {
			u.judge.ReturnedOpening(u.now, u.now, caller(1))
			u.judge.Accepted(u.now)
			u.judge.ReturnedOpening(u.now, u.now, caller(2))
		}, outcome.Takes},
		{"openings unanswered", func(u *upstream) { u.judge.UnansweredOpenings(u.now) }, outcome.Shut},
		{"another instance after unanswered openings", func(u *upstream) {
			u.judge.UnansweredOpenings(u.now)
			u.judge.BeginInstance(u.now)
		}, outcome.Takes},
		{"a heartbeat after unanswered openings", func(u *upstream) {
			u.judge.UnansweredOpenings(u.now)
			u.judge.NoteAlive(u.now)
		}, outcome.Shut},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			u := newUpstream(t)
			c.do(u)
			u.Expect(u.verdict()).To(Equal(c.want))
		})
	}
}

// A process that has just started has received nothing from its upstream: a single returned
// opening packet must suffice to shut the upstream out.
func TestUnprovenUpstreamIsShutAfterOneReturnedOpening(t *testing.T) {
	g := NewWithT(t)
	var j outcome.Judge
	g.Expect(j.Verdict(ms)).To(Equal(outcome.Unproven))
	change, changed := j.ReturnedOpening(ms, ms, caller(1))
	g.Expect(changed).To(BeTrue())
	g.Expect(change).To(Equal(outcome.Change{Verdict: outcome.Shut, Cause: outcome.Returned, For: 400 * ms}))
	var other outcome.Judge
	other.NoteAlive(ms)
	g.Expect(other.Verdict(ms)).To(Equal(outcome.Takes))
}

// A probation begins after the exclusion and ends after some successes. Each further
// exclusion is twice as long, up to the maximum; after a time without one the first
// duration applies again.
func TestExclusionsDoubleUpToTheMaximum(t *testing.T) {
	u := newUpstream(t)
	for _, shut := range []time.Duration{400 * ms, 800 * ms, 1600 * ms, 3200 * ms, 6400 * ms, 6400 * ms} {
		u.reset(caller(1))
		u.reset(caller(2))
		u.Expect(u.verdict()).To(Equal(outcome.Shut))
		u.now += shut - ms
		u.Expect(u.verdict()).To(Equal(outcome.Shut))
		u.now += ms
		u.Expect(u.verdict()).To(Equal(outcome.Probation))
		for n := range 4 {
			u.Expect(u.verdict()).To(Equal(outcome.Probation))
			u.answer(30*ms, caller(n))
		}
		u.Expect(u.verdict()).To(Equal(outcome.Takes))
	}
	u.now += 21 * time.Second
	u.reset(caller(1))
	u.reset(caller(2))
	u.now += 400 * ms
	u.Expect(u.verdict()).To(Equal(outcome.Probation))
}

func TestOneFailureDuringProbationShutsTheUpstreamOut(t *testing.T) {
	u := newUpstream(t)
	u.judge.UnansweredOpenings(u.now)
	u.now += 400 * ms
	u.Expect(u.verdict()).To(Equal(outcome.Probation))
	u.reset(caller(1))
	u.Expect(u.verdict()).To(Equal(outcome.Shut))
}

// Outcomes of flows that were admitted before the current verdict must not affect it.
func TestOutcomesOfEarlierVerdictsAreIgnored(t *testing.T) {
	u := newUpstream(t)
	before := u.now
	u.judge.UnansweredOpenings(u.now)
	u.now += 500 * ms
	u.judge.ResetBy(u.now, before, caller(1))
	u.Expect(u.verdict()).To(Equal(outcome.Probation))
	for n := range 8 {
		u.judge.Answered(u.now, before, 30*ms, caller(n))
	}
	u.Expect(u.verdict()).To(Equal(outcome.Probation))
}

// A service may use several faces, with requests that take 1 ms on one and 30 ms on
// another. With a common average an upstream was shut out for its answers on the faster
// face in the middle of a burst, as observed under load.
func TestResponseTimesAreTrackedPerFace(t *testing.T) {
	u := newUpstream(t)
	u.answerAsUsual()
	for n := range 300 {
		quick := caller(n)
		quick.FacePort = 80
		u.answer(ms, quick)
		u.answer(30*ms, caller(n))
		u.Expect(u.verdict()).To(Equal(outcome.Takes))
	}
}

// Callers must not be able to make an agent track an unbounded number of faces.
func TestNumberOfTrackedFacesIsBounded(t *testing.T) {
	u := newUpstream(t)
	for n := range 10_000 {
		f := caller(n)
		f.FacePort = uint16(n)
		u.answer(30*ms, f)
	}
	u.answerAsUsual() // one more face, which is not tracked
	u.answer(ms, caller(1))
	u.answer(ms, caller(2))
	u.Expect(u.verdict()).To(Equal(outcome.Takes))
}

// Fast answers that are frequent for a service must not count as failures.
func TestFrequentFastAnswersAreNotFailures(t *testing.T) {
	u := newUpstream(t)
	random := rand.New(rand.NewPCG(1, 1))
	shut := 0
	for n := range 2000 {
		took := 30 * ms
		if random.IntN(5) == 0 {
			took = ms
		}
		u.answer(took, caller(n))
		if u.verdict() == outcome.Shut {
			shut++
			u.now += 7 * time.Second
		}
	}
	u.Expect(shut).To(BeZero())
}

// failurePattern is a pattern of failures of an upstream that gets one request every 20 ms
// while it accepts flows. The patterns are those of a load test on a larger scale, in the
// order in which they occurred there.
type failurePattern struct {
	name string
	// fails reports whether a request at the given time fails; fast selects a fast answer
	// instead of a reset.
	fails func(at time.Duration, random *rand.Rand) bool
	fast  bool
	// lost is the upper bound of the requests that fail in ten seconds.
	lost int
}

// TestFailingUpstreamsGetFewRequests simulates upstreams that fail as observed in the
// users' deployments. Without a verdict each of them would get, and fail, hundreds of
// requests, because it looks idle.
func TestFailingUpstreamsGetFewRequests(t *testing.T) {
	loads := []failurePattern{
		{"fails and recovers by turns", func(at time.Duration, _ *rand.Rand) bool { return at/(410*ms)%2 == 0 }, false, 14},
		{"answers three in ten at once with a failure", func(_ time.Duration, random *rand.Rand) bool { return random.IntN(10) < 3 }, true, 16},
		{"resets all requests", func(time.Duration, *rand.Rand) bool { return true }, false, 8},
	}
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) {
			u := newUpstream(t)
			u.answerAsUsual()
			random := rand.New(rand.NewPCG(3, 4))
			lost, sent := 0, 0
			began := u.now
			for at := time.Duration(0); at < 10*time.Second; at += 20 * ms {
				u.now = began + at
				if u.verdict() == outcome.Shut {
					continue
				}
				sent++
				if !l.fails(at, random) {
					u.judge.Answered(u.now, u.now, 30*ms, caller(sent))
					continue
				}
				lost++
				if l.fast {
					u.judge.Answered(u.now, u.now, ms, caller(sent))
				} else {
					u.judge.ResetBy(u.now, u.now, caller(sent))
				}
			}
			t.Logf("%d of %d failed", lost, sent)
			u.Expect(lost).To(BeNumerically("<=", l.lost))
		})
	}
}

// After any sequence of outcomes, an upstream that works must get flows as usual again
// within a bound: the longest exclusion and the successes of a probation.
func TestWorkingUpstreamGetsFlowsAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var j outcome.Judge
		now := time.Second
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * ms
			admitted := now - time.Duration(rapid.IntRange(0, 4000).Draw(t, "age"))*ms
			from := caller(rapid.IntRange(0, 3).Draw(t, "caller"))
			switch rapid.IntRange(0, 6).Draw(t, "outcome") {
			case 0:
				j.ResetBy(now, admitted, from)
			case 1:
				j.Answered(now, admitted, ms, from)
			case 2:
				j.Answered(now, admitted, 40*ms, from)
			case 3:
				j.ReturnedOpening(now, admitted, from)
			case 4:
				j.UnansweredOpenings(now)
			case 5:
				j.BeginInstance(now)
			case 6:
				j.NoteAlive(now)
			}
		}
		const bound = 6400 * ms
		end := now + bound
		for ; now <= end+4*20*ms; now += 20 * ms {
			j.NoteAlive(now)
			if j.Verdict(now) != outcome.Shut {
				j.Answered(now, now, 40*ms, caller(9))
			}
		}
		g.Expect(j.Verdict(now)).To(Equal(outcome.Takes))
	})
}

// BenchmarkAnswered measures the recording of an answer.
func BenchmarkAnswered(b *testing.B) {
	var j outcome.Judge
	b.ReportAllocs()
	for b.Loop() {
		j.Answered(time.Second, time.Second, 30*ms, caller(1))
	}
}
