package soak

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/saltbend/saltbend/test/packetplatform"
)

// afterFault is how long after a fault of an agent's process its flows may be
// reset: one that is silent for a second counts as absent.
const afterFault = 4 * time.Second

// life is one life of an upstream.
type life struct {
	upstream *packetplatform.Upstream
	service  string
	ended    time.Time
	// disturbed is until when the agent beside it is or was under a fault.
	disturbed time.Time
}

// judge collects what callers and upstreams see, and finds what must not be.
type judge struct {
	mu       sync.Mutex
	lives    map[string]*life
	findings []string
	// late are findings that a machine without time for the processes makes, too.
	late    []string
	seconds []Second
	began   time.Time
}

// Second is what was asked within one second of a run.
type Second struct {
	// Late counts those of Answered that took longer than lateAfter.
	Asked, Answered, Late, Reset, TimedOut int
}

// lateAfter is the time after which an answer is late.
const lateAfter = 500 * time.Millisecond

func newJudge() *judge { return &judge{lives: make(map[string]*life), began: time.Now()} }

// find notes what must never be. The caller holds mu.
func (j *judge) find(format string, args ...any) {
	j.findings = append(j.findings, j.line(format, args))
}

// findLate notes what must not be on a machine that has time for the processes.
// The caller holds mu.
func (j *judge) findLate(format string, args ...any) { j.late = append(j.late, j.line(format, args)) }

func (j *judge) line(format string, args []any) string {
	return fmt.Sprintf("%s: ", time.Since(j.began).Round(time.Millisecond)) + fmt.Sprintf(format, args...)
}

// begin notes a new life.
func (j *judge) begin(u *packetplatform.Upstream, service string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lives[u.ID] = &life{upstream: u, service: service}
}

// end notes that a life has ended.
func (j *judge) end(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lives[id].ended = time.Now()
}

// disturb notes that the agent beside a life is under a fault for so long.
func (j *judge) disturb(id string, d time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.lives[id].disturbed = time.Now().Add(d + afterFault)
}

// answered takes an answer; it returns the life that gave it.
func (j *judge) answered(flow, service, request, answer string, took time.Duration) (owner string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	owner, rest, ok := strings.Cut(strings.TrimPrefix(answer, "from "), " to ")
	if !ok || rest != request {
		j.find("%s asked %q and got %q", flow, request, answer)
		return ""
	}
	switch l := j.lives[owner]; {
	case l == nil:
		j.find("%s was answered by the unknown %s", flow, owner)
	case l.service != service:
		j.find("%s of %s was answered by %s of %s", flow, service, owner, l.service)
	}
	j.second().Answered++
	if took > lateAfter {
		j.second().Late++
	}
	return owner
}

// reset takes a reset of a flow that a life has answered before.
func (j *judge) reset(flow, owner string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.second().Reset++
	l := j.lives[owner]
	if l == nil || !l.ended.IsZero() || time.Now().Before(l.disturbed) {
		return
	}
	j.findLate("%s was reset though %s lives", flow, owner)
}

func (j *judge) asked() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.second().Asked++
}

func (j *judge) timedOut() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.second().TimedOut++
}

// second returns the counts of now. The caller holds mu.
func (j *judge) second() *Second {
	for at := int(time.Since(j.began) / time.Second); len(j.seconds) <= at; {
		j.seconds = append(j.seconds, Second{})
	}
	return &j.seconds[len(j.seconds)-1]
}

// upstreams checks what has run: nothing twice, nothing of another service, and
// no flow opened after a drain.
func (j *judge) upstreams() {
	j.mu.Lock()
	defer j.mu.Unlock()
	runs := make(map[string]int)
	for id, l := range j.lives {
		for request, n := range l.upstream.Runs() {
			runs[request] += n
			if !strings.HasPrefix(request, l.service+" ") {
				j.find("%s of %s ran %q", id, l.service, request)
			}
		}
		if late := l.upstream.OpenedLate(); late > 0 {
			j.findLate("%s got %d flows after its drain", id, late)
		}
	}
	for request, n := range runs {
		if n > 1 {
			j.find("%q ran %d times", request, n)
		}
	}
}
