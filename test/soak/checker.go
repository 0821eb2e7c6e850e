package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/saltbend/saltbend/test/packetplatform"
)

// afterFault is how long after a fault of an agent's process its flows may still be reset:
// balancers regard an agent that has been silent for a second as absent.
const afterFault = 4 * time.Second

// instance is one run of an upstream from its start to its end.
type instance struct {
	upstream *packetplatform.Upstream
	service  string
	ended    time.Time
	// disturbed is the time until which a fault of the upstream's agent may cause resets.
	disturbed time.Time
}

// checker records what callers and upstreams observe, and reports violations.
type checker struct {
	mu        sync.Mutex
	instances map[string]*instance
	findings  []string
	// late are findings that can also occur when the machine is overloaded.
	late    []string
	seconds []Second
	rush    RushCounts
	// refusals are the requests in rushes that were reset after they had been sent.
	refusals map[string]refusal
	began    time.Time
}

// Second counts requests and their outcomes within one second of a run.
type Second struct {
	// Late counts the answers that took longer than lateAfter; Answered includes them.
	Asked, Answered, Late, Reset, TimedOut int
}

// lateAfter is the response time above which an answer counts as late.
const lateAfter = 500 * time.Millisecond

func newChecker() *checker {
	return &checker{instances: make(map[string]*instance), refusals: make(map[string]refusal), began: time.Now()}
}

// addFinding records a violation that must never occur. The caller holds mu.
func (j *checker) addFinding(format string, args ...any) {
	j.findings = append(j.findings, j.describe(format, args))
}

// addLateFinding records a violation that must not occur unless the machine is overloaded.
// The caller holds mu.
func (j *checker) addLateFinding(format string, args ...any) {
	j.late = append(j.late, j.describe(format, args))
}

func (j *checker) describe(format string, args []any) string {
	return fmt.Sprintf("%s: ", time.Since(j.began).Round(time.Millisecond)) + fmt.Sprintf(format, args...)
}

// begin records a new instance of an upstream.
func (j *checker) begin(u *packetplatform.Upstream, service string) {
	u.SetWork(usualWork)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.instances[u.ID] = &instance{upstream: u, service: service}
}

// end records that an instance has ended.
func (j *checker) end(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.instances[id].ended = time.Now()
}

// disturb records that the agent of an instance is under a fault for the duration d.
func (j *checker) disturb(id string, d time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.instances[id].disturbed = time.Now().Add(d + afterFault)
}

// answered records and checks an answer; it returns the id of the upstream that sent it.
func (j *checker) answered(flow, service, request, answer string, took time.Duration) (owner string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	owner, rest, ok := strings.Cut(strings.TrimPrefix(answer, "from "), " to ")
	if !ok || rest != request {
		j.addFinding("flow %s sent request %q and received answer %q", flow, request, answer)
		return ""
	}
	switch l := j.instances[owner]; {
	case l == nil:
		j.addFinding("flow %s was answered by the unknown upstream %s", flow, owner)
	case l.service != service:
		j.addFinding("flow %s of service %s was answered by upstream %s of service %s", flow, service, owner, l.service)
	}
	j.second().Answered++
	if took > lateAfter {
		j.second().Late++
	}
	return owner
}

// reset records a reset of a flow; owner is the upstream that answered the flow before.
// The reset is a finding if that upstream is running and its agent had no recent fault.
func (j *checker) reset(flow, owner string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.second().Reset++
	l := j.instances[owner]
	if l == nil || !l.ended.IsZero() || time.Now().Before(l.disturbed) {
		return
	}
	j.addLateFinding("flow %s was reset although its upstream %s is running", flow, owner)
}

func (j *checker) asked() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.second().Asked++
}

func (j *checker) timedOut() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.second().TimedOut++
}

// second returns the counts of the current second. The caller holds mu.
func (j *checker) second() *Second {
	for at := int(time.Since(j.began) / time.Second); len(j.seconds) <= at; {
		j.seconds = append(j.seconds, Second{})
	}
	return &j.seconds[len(j.seconds)-1]
}

// checkUpstreams checks that no request ran twice or at an upstream of another service, and
// that no flow was opened after a drain.
func (j *checker) checkUpstreams() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.checkRushes()
	runs := make(map[string]int)
	for id, l := range j.instances {
		for request, n := range l.upstream.Runs() {
			runs[request] += n
			if !strings.HasPrefix(request, l.service+" ") {
				j.addFinding("upstream %s of service %s ran request %q of another service", id, l.service, request)
			}
		}
		if late := l.upstream.OpenedLate(); late > 0 {
			j.addLateFinding("upstream %s received %d new flows after its drain", id, late)
		}
	}
	for request, n := range runs {
		if n > 1 {
			j.addFinding("request %q ran %d times", request, n)
		}
	}
}
