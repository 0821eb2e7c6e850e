package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/wait"
	"github.com/saltbend/saltbend/test/packetplatform"
)

// Parameters of rushes: rushAddresses × rushFlows callers at a time ask. With three agents
// of four slots for each service and usualWork they would wait for 330 ms, more than the
// target latency of 250 ms, if all of them were admitted.
const (
	rushAddresses = 12
	rushFlows     = 17
	// openTimeout is how long a caller waits until its flow is accepted, rushTimeout how
	// long for an answer; the routes state the latter.
	openTimeout = 1400 * time.Millisecond
	rushTimeout = 4 * time.Second
	// rushAttempts is how many flows a caller opens for one request, minRetryPause and
	// maxRetryPause the pause between two.
	rushAttempts  = 3
	minRetryPause = 20 * time.Millisecond
	maxRetryPause = 250 * time.Millisecond
	// timeoutMargin is how late a caller may notice its own timeout.
	timeoutMargin = time.Second
	// meanRushGap, minRush and maxRush are the mean time between two rushes, and the
	// shortest and longest duration of one.
	meanRushGap = 3 * time.Second
	minRush     = 2 * time.Second
	maxRush     = 5 * time.Second
)

// planRushes returns rushes that don't overlap each other and end within length.
func planRushes(random *rand.Rand, length time.Duration) (out []Fault) {
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() * float64(meanRushGap))
		rush := Fault{At: at, For: minRush + time.Duration(random.Int64N(int64(maxRush-minRush))), Kind: Rush}
		at += rush.For
		if at > length {
			return out
		}
		out = append(out, rush)
	}
}

// rush lets many callers ask at once. It returns when all of them have got an answer or a
// reset, or have given up.
func (r *run) rush(ctx context.Context, f Fault) {
	rushing, end := context.WithTimeout(ctx, f.For)
	defer end()
	var callers sync.WaitGroup
	for i := range rushAddresses * rushFlows {
		c := &rushCaller{name: fmt.Sprintf("rush-%s-%d", f.At, i), caller: r.rushCallers[i%rushAddresses], checker: r.checker}
		callers.Go(func() { c.run(rushing, i) })
	}
	callers.Wait()
}

// rushCaller asks without pause until the rush is over.
type rushCaller struct {
	name    string
	caller  *packetplatform.Caller
	checker *checker
}

func (c *rushCaller) run(ctx context.Context, i int) {
	for n := 0; ctx.Err() == nil; n++ {
		f := faces[(i+n)%len(faces)]
		began := time.Now()
		c.ask(ctx, f, fmt.Sprintf("%s %s-%d", f.service, c.name, n), 1+n%2)
		c.checker.rushEnded(began)
	}
}

// ask sends requests on a flow. While no flow is accepted no request has been sent, so the
// caller tries again.
func (c *rushCaller) ask(ctx context.Context, f face, text string, requests int) {
	c.checker.rushAsked()
	var flow *packetplatform.Flow
	err := errors.New("not tried")
	for attempt := 0; err != nil; attempt++ {
		if attempt == rushAttempts {
			c.checker.rushFailed(err)
			return
		}
		if attempt > 0 {
			_ = wait.For(ctx, minRetryPause+rand.N(maxRetryPause-minRetryPause)) // the attempts are bounded
		}
		flow, err = c.caller.OpenWithin(f.addr, openTimeout)
	}
	owner := ""
	for n := range requests {
		request := fmt.Sprintf("%s-%d", text, n)
		c.checker.asked()
		began := time.Now()
		answer, err := flow.Request(request)
		if err != nil {
			c.failed(flow, owner, request, err)
			return
		}
		owner = c.checker.answered(flow.ID(), f.service, request, answer, time.Since(began))
	}
	c.checker.rushServed()
}

// failed records the failure of a request on an accepted flow.
func (c *rushCaller) failed(flow *packetplatform.Flow, owner, request string, err error) {
	c.checker.rushFailed(err)
	if !errors.Is(err, packetplatform.ErrReset) {
		c.checker.timedOut()
		return
	}
	c.checker.reset(flow.ID(), owner)
	c.checker.refused(flow.ID(), request)
}

// RushCounts counts what the callers of rushes asked, and what became of it.
type RushCounts struct {
	Asked, Served, Reset, TimedOut int
}

func (j *checker) rushAsked() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rush.Asked++
}

func (j *checker) rushServed() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rush.Served++
}

func (j *checker) rushFailed(err error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if errors.Is(err, packetplatform.ErrReset) {
		j.rush.Reset++
		return
	}
	j.rush.TimedOut++
}

// rushEnded checks that a caller's request ended by its own timeouts at the latest.
func (j *checker) rushEnded(began time.Time) {
	const longest = rushAttempts*(openTimeout+maxRetryPause) + 2*rushTimeout + timeoutMargin
	if took := time.Since(began); took > longest {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.addLateFinding("a caller in a rush got neither an answer nor a reset and did not give up for %s", took)
	}
}

// refusal is the reset of a flow on which a request had been sent.
type refusal struct {
	flow string
	at   time.Time
}

// refused records that the caller of a request that had been sent was told by a reset that
// it had not run.
func (j *checker) refused(flow, request string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.refusals[request] = refusal{flow, time.Now()}
}

// checkRushes checks that no request was reset that had run at an upstream which lived on
// without a fault of its agent, and that each caller's request has ended. The caller holds
// mu.
func (j *checker) checkRushes() {
	for id, l := range j.instances {
		for request := range l.upstream.Runs() {
			reset, refused := j.refusals[request]
			lived := l.ended.IsZero() || l.ended.After(reset.at)
			if refused && lived && reset.at.After(l.disturbed) {
				j.addLateFinding("request %q of flow %s was reset %s after the start although it had run at upstream %s, which was running",
					request, reset.flow, reset.at.Sub(j.began).Round(time.Millisecond), id)
			}
		}
	}
	if c := j.rush; c.Asked != c.Served+c.Reset+c.TimedOut {
		j.addFinding("of %d requests in rushes, %d were served, %d reset and %d timed out", c.Asked, c.Served, c.Reset, c.TimedOut)
	}
}

// String returns the counts as a phrase.
func (c RushCounts) String() string {
	return fmt.Sprintf("%d asked in rushes, %d served, %d reset, %d timed out", c.Asked, c.Served, c.Reset, c.TimedOut)
}
