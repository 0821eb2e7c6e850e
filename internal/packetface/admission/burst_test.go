package admission_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/admission"
	"github.com/saltbend/saltbend/test/simclock"
)

// A simulation of the load that package admission is designed for: all hosts of a service
// are unavailable for a while, callers retry in the meantime, and requests arrive all at
// once at upstreams that are slow at first. It drives the real Queue, one for each
// upstream, and knows what the Queue cannot know: when each caller really made its first
// attempt.

// The callers' retransmissions and attempts as the platform documents them, and the longest
// of their pauses of 0.02 to 0.25 s.
const (
	firstCopy  = 200 * time.Millisecond
	secondCopy = 600 * time.Millisecond
	attempt    = 1400 * time.Millisecond
	maxPause   = 250 * time.Millisecond
	attempts   = 3
	// startSpread is the time within which all hosts that failed together start again.
	startSpread = 300 * time.Millisecond
)

// burst is a load pattern.
type burst struct {
	name string
	// perSecond is the rate of requests. outage is how long the hosts are unavailable.
	perSecond float64
	outage    time.Duration
	// upstreams is the number of upstreams and slots the number of slots of each. For the
	// time cold after the outage, requests take coldTimes as long.
	upstreams, slots int
	cold             time.Duration
	coldTimes        float64
}

// kind is a type of request with its share of the load and the worth of an answer.
type kind struct {
	priority               uint8
	share                  float64
	work                   time.Duration
	targetLatency, timeout time.Duration
	worth, worthLate       float64
}

var kinds = []kind{
	{priority: 1, share: 2.0 / 9, work: 39 * time.Millisecond, targetLatency: 200 * time.Millisecond, timeout: 3 * time.Second, worth: 2, worthLate: 0.6},
	{priority: 2, share: 7.0 / 9, work: 30 * time.Millisecond, targetLatency: 150 * time.Millisecond, timeout: 2500 * time.Millisecond, worth: 1, worthLate: 0.3},
}

// simRequest is one request of a caller.
type simRequest struct {
	kind  *kind
	first time.Duration // when the caller's first attempt began
	began time.Duration // when the attempt began that is admitted
	back  time.Duration // when its balancer was available again
	copy  time.Duration // the age of the admitted opening packet
	work  time.Duration
	end   time.Duration // when it was answered, 0 if it was not
}

func (a *simRequest) deadline() time.Duration { return a.first + a.kind.timeout }

// result is the outcome for the callers.
type result struct {
	lost int
	// windows are the shares of the requests' total worth that were obtained, for the
	// requests of the first two seconds after the failure and of the two seconds after
	// them.
	windows [2]float64
}

// ordering determines which request runs next at an upstream.
type ordering interface {
	add(a *simRequest, now time.Duration)
	remove(a *simRequest)
	next(now time.Duration, p admission.Pace) *simRequest
	length() int
}

// queueOrder is the order of admission.Queue, as used by the agent.
type queueOrder struct {
	queue   admission.Queue[*simRequest]
	started time.Duration
	// ignoreRetries treats all flows as first tries.
	ignoreRetries bool
}

func (r *queueOrder) add(a *simRequest, now time.Duration) {
	seen := now - a.copy
	q := admission.Request{Priority: a.kind.priority, Arrived: now, Asked: seen, TargetLatency: a.kind.targetLatency, Timeout: a.kind.timeout}
	q.EarliestAttempt = seen
	if !r.ignoreRetries && admission.MayBeRetry(seen-a.back) {
		q.EarliestAttempt -= admission.RetryInterval
	}
	r.queue.Add(q, a)
}
func (r *queueOrder) remove(a *simRequest) { r.queue.Remove(a) }
func (r *queueOrder) length() int          { return r.queue.Len() }
func (r *queueOrder) next(now time.Duration, p admission.Pace) *simRequest {
	a, _ := r.queue.Next(now, p)
	return a
}

// deadlines orders requests by their true deadlines, which no agent can know. It loses the
// fewest requests, but none is answered in time.
type deadlines struct{ waiting []*simRequest }

func (d *deadlines) add(a *simRequest, _ time.Duration) { d.waiting = append(d.waiting, a) }
func (d *deadlines) length() int                        { return len(d.waiting) }
func (d *deadlines) remove(a *simRequest) {
	d.waiting = slices.DeleteFunc(d.waiting, func(o *simRequest) bool { return o == a })
}
func (d *deadlines) next(time.Duration, admission.Pace) *simRequest {
	return slices.MinFunc(d.waiting, func(a, b *simRequest) int { return int(a.deadline() - b.deadline()) })
}

// bursts are the simulated loads: seven upstreams of four slots that answer some 870
// requests a second, or 50 of two slots. Cold ones take 1.6 times as long.
var bursts = []burst{
	{"common", 346, 1500 * time.Millisecond, 7, 4, 2 * time.Second, 1.6},
	{"busy", 482, 1500 * time.Millisecond, 7, 4, 2 * time.Second, 1.6},
	{"long", 346, 2200 * time.Millisecond, 7, 4, 2 * time.Second, 1.6},
	{"short", 346, time.Second, 7, 4, 2 * time.Second, 1.6},
	{"wide", 1040, 1500 * time.Millisecond, 50, 2, 2 * time.Second, 1.6},
	{"wider", 1250, 1700 * time.Millisecond, 50, 2, 2 * time.Second, 1.6},
}

// orders are the orders compared. The first is only a reference, as it knows when each
// caller's first attempt began.
var orders = []struct {
	name string
	make func(started time.Duration) ordering
}{
	{"true-deadlines", func(time.Duration) ordering { return &deadlines{} }},
	{"late-last", func(started time.Duration) ordering {
		return &queueOrder{started: started, queue: admission.Queue[*simRequest]{LateLast: true}}
	}},
	{"least-slack", func(started time.Duration) ordering { return &queueOrder{started: started, ignoreRetries: true} }},
	{"programs", func(started time.Duration) ordering { return &queueOrder{started: started} }},
}

// mean returns the mean result over several seeds.
func mean(r burst, newOrder func(time.Duration) ordering) (lost float64, windows [2]float64) {
	const seeds = 6
	for seed := range uint64(seeds) {
		o := run(r, seed, newOrder)
		lost += float64(o.lost) / seeds
		windows[0] += o.windows[0] / seeds
		windows[1] += o.windows[1] / seeds
	}
	return lost, windows
}

// TestFewRequestsAreLostInABurst simulates the loads. It guards against two faults:
// requests past their target latency are left waiting until their callers have given up
// (order "late-last"), and retries are treated as first tries (order "least-slack"). The
// bounds lie between the losses of either faulty order and those of the Queue.
func TestFewRequestsAreLostInABurst(t *testing.T) {
	most := map[string]float64{"common": 5, "busy": 65, "long": 150, "short": 5, "wide": 5, "wider": 30}
	for _, r := range bursts {
		t.Run(r.name, func(t *testing.T) {
			g := NewWithT(t)
			lost := map[string]float64{}
			for _, o := range orders {
				lost[o.name], _ = mean(r, o.make)
			}
			t.Log(lost)
			g.Expect(lost["programs"]).To(BeNumerically("<", most[r.name]))
			g.Expect(lost["late-last"]).To(BeNumerically(">", most[r.name]))
			g.Expect(lost["least-slack"]).To(BeNumerically(">", most[r.name]))
		})
	}
}

// BenchmarkRush reports for each load and order the requests lost, and the share of their
// worth obtained in the two windows after the failure.
func BenchmarkRush(b *testing.B) {
	for _, r := range bursts {
		for _, o := range orders {
			b.Run(r.name+"/"+o.name, func(b *testing.B) {
				var lost float64
				var windows [2]float64
				for b.Loop() {
					lost, windows = mean(r, o.make)
				}
				b.ReportMetric(lost, "lost")
				b.ReportMetric(windows[0], "worth-first")
				b.ReportMetric(windows[1], "worth-second")
			})
		}
	}
}

// server is one upstream with the queue of its agent.
type server struct {
	order   ordering
	running int
	answer  time.Duration
}

type simulation struct {
	burst
	simclock.Clock
	servers []*server
	all     []*simRequest
	random  *rand.Rand
}

// run simulates a load. The hosts fail at lostAt.
func run(r burst, seed uint64, newOrder func(started time.Duration) ordering) result {
	const lostAt, after = time.Second, 6 * time.Second
	s := &simulation{burst: r, random: rand.New(rand.NewPCG(seed, 1))}
	back := lostAt + r.outage
	for n := range r.upstreams {
		started := back + time.Duration(n)*startSpread/time.Duration(r.upstreams)
		s.servers = append(s.servers, &server{order: newOrder(started)})
	}
	for t := lostAt; t < back+after; t += time.Duration(s.random.ExpFloat64() / r.perSecond * float64(time.Second)) {
		s.submit(t, back)
	}
	s.Run()
	return s.result(lostAt)
}

// submit creates a request of a caller. It is admitted with the first opening packet that is
// sent after its balancer is available again.
func (s *simulation) submit(t, back time.Duration) {
	a := &simRequest{kind: &kinds[0], first: t}
	if s.random.Float64() >= kinds[0].share {
		a.kind = &kinds[1]
	}
	a.work = time.Duration(float64(a.kind.work) * math.Exp(0.47*s.random.NormFloat64()-0.11))
	s.all = append(s.all, a)
	began := t
	a.back = back + time.Duration(s.random.Float64()*float64(startSpread))
	for range attempts {
		for _, age := range []time.Duration{0, firstCopy, secondCopy} {
			if began+age < a.back {
				continue
			}
			a.began, a.copy = began, age
			s.At(began+age+4*time.Millisecond, func() { s.arrive(a) })
			return
		}
		began += attempt + time.Duration(s.random.Float64()*float64(maxPause))
	}
}

// arrive places a request on the upstream with the least load.
func (s *simulation) arrive(a *simRequest) {
	best := slices.MinFunc(s.servers, func(x, y *server) int { return x.running + x.order.length() - y.running - y.order.length() })
	best.order.add(a, s.Now)
	s.At(a.deadline(), func() { best.order.remove(a) })
	s.fill(best)
}

func (s *simulation) fill(v *server) {
	for v.running < s.slots && v.order.length() > 0 {
		a := v.order.next(s.Now, admission.Pace{Slots: s.slots, Answer: v.answer})
		v.order.remove(a)
		took := a.work
		if s.Now < time.Second+s.outage+s.cold {
			took = time.Duration(float64(took) * s.coldTimes)
		}
		v.running++
		began := s.Now
		s.At(s.Now+took, func() {
			a.end = s.Now
			v.running--
			if v.answer == 0 {
				v.answer = s.Now - began
			}
			v.answer += (s.Now - began - v.answer) / 10
			s.fill(v)
		})
	}
}

func (s *simulation) result(lostAt time.Duration) result {
	var o result
	var got, owed [2]float64
	for _, a := range s.all {
		answered := a.end > 0 && a.end <= a.deadline()
		if !answered {
			o.lost++
		}
		w := int((a.first - lostAt) / (2 * time.Second))
		if w > 1 {
			continue
		}
		owed[w] += a.kind.worth
		switch {
		case !answered:
		case a.end <= a.first+a.kind.targetLatency:
			got[w] += a.kind.worth
		default:
			got[w] += a.kind.worthLate
		}
	}
	o.windows = [2]float64{got[0] / owed[0], got[1] / owed[1]}
	return o
}
