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

// The load that the order answers, in simulated time: all hosts of a service are
// away for a while, callers begin anew meanwhile, and come back all at once to
// upstreams that are slow at first. It drives the real Queue, one an upstream, and
// knows what the queue can't: when each caller really asked first.

// Callers' patience as the platform describes it, and the pause that was seen.
const (
	firstCopy  = 200 * time.Millisecond
	secondCopy = 600 * time.Millisecond
	attempt    = 1400 * time.Millisecond
	pauseMost  = 250 * time.Millisecond
	attempts   = 3
	// startSpread is the time within which hosts that were lost together start.
	startSpread = 300 * time.Millisecond
)

// rush is a load pattern.
type rush struct {
	name string
	// perSecond is the rate of requests, away how long the hosts are.
	perSecond float64
	away      time.Duration
	// upstreams have slots each; cold is how long they take coldTimes as long.
	upstreams, slots int
	cold             time.Duration
	coldTimes        float64
}

// kind is a kind of request.
type kind struct {
	rank             uint8
	share            float64
	work             time.Duration
	aim, timeout     time.Duration
	worth, worthLate float64
}

var kinds = []kind{
	{rank: 1, share: 2.0 / 9, work: 39 * time.Millisecond, aim: 200 * time.Millisecond, timeout: 3 * time.Second, worth: 2, worthLate: 0.6},
	{rank: 2, share: 7.0 / 9, work: 30 * time.Millisecond, aim: 150 * time.Millisecond, timeout: 2500 * time.Millisecond, worth: 1, worthLate: 0.3},
}

// asked is one request of a caller.
type asked struct {
	kind  *kind
	first time.Duration // when the caller asked first
	began time.Duration // when its attempt began that is let in
	back  time.Duration // when its balancer was back
	copy  time.Duration // the age of the opening packet that is let in
	work  time.Duration
	end   time.Duration // when it was answered, 0 for not
}

func (a *asked) deadline() time.Duration { return a.first + a.kind.timeout }

// outcome is what callers got.
type outcome struct {
	lost int
	// windows are the shares of the worth of what was asked in the two seconds from
	// the loss on, and in the two after them.
	windows [2]float64
}

// ordering chooses what runs next at one upstream.
type ordering interface {
	add(a *asked, now time.Duration)
	remove(a *asked)
	next(now time.Duration, p admission.Pace) *asked
	length() int
}

// programs is the order of the programs.
type programs struct {
	queue   admission.Queue[*asked]
	started time.Duration
	// trusting takes all flows for first tries.
	trusting bool
}

func (r *programs) add(a *asked, now time.Duration) {
	seen := now - a.copy
	q := admission.Request{Rank: a.kind.rank, Arrived: now, Asked: seen, Aim: a.kind.aim, Timeout: a.kind.timeout}
	q.Suspected = seen
	if !r.trusting && admission.MayRepeat(seen-a.back) {
		q.Suspected -= admission.RepeatTime
	}
	r.queue.Add(q, a)
}
func (r *programs) remove(a *asked) { r.queue.Remove(a) }
func (r *programs) length() int     { return r.queue.Len() }
func (r *programs) next(now time.Duration, p admission.Pace) *asked {
	a, _ := r.queue.Next(now, p)
	return a
}

// deadlines is the order of true deadlines, which no program can know: it loses
// the fewest, though nobody is in time.
type deadlines struct{ waiting []*asked }

func (d *deadlines) add(a *asked, _ time.Duration) { d.waiting = append(d.waiting, a) }
func (d *deadlines) length() int                   { return len(d.waiting) }
func (d *deadlines) remove(a *asked) {
	d.waiting = slices.DeleteFunc(d.waiting, func(o *asked) bool { return o == a })
}
func (d *deadlines) next(time.Duration, admission.Pace) *asked {
	return slices.MinFunc(d.waiting, func(a, b *asked) int { return int(a.deadline() - b.deadline()) })
}

// rushes are the loads: seven upstreams of four slots that answer some 870 requests a
// second, or 50 of two. Cold ones take 1.6 times as long.
var rushes = []rush{
	{"common", 346, 1500 * time.Millisecond, 7, 4, 2 * time.Second, 1.6},
	{"busy", 482, 1500 * time.Millisecond, 7, 4, 2 * time.Second, 1.6},
	{"long", 346, 2200 * time.Millisecond, 7, 4, 2 * time.Second, 1.6},
	{"short", 346, time.Second, 7, 4, 2 * time.Second, 1.6},
	{"wide", 1040, 1500 * time.Millisecond, 50, 2, 2 * time.Second, 1.6},
	{"wider", 1250, 1700 * time.Millisecond, 50, 2, 2 * time.Second, 1.6},
}

// orders are those that are compared. The first can't be had: it knows when each
// caller asked first.
var orders = []struct {
	name string
	make func(started time.Duration) ordering
}{
	{"true-deadlines", func(time.Duration) ordering { return &deadlines{} }},
	{"late-last", func(started time.Duration) ordering {
		return &programs{started: started, queue: admission.Queue[*asked]{LateLast: true}}
	}},
	{"least-slack", func(started time.Duration) ordering { return &programs{started: started, trusting: true} }},
	{"programs", func(started time.Duration) ordering { return &programs{started: started} }},
}

// mean returns the mean outcome of several seeds.
func mean(r rush, newOrder func(time.Duration) ordering) (lost float64, windows [2]float64) {
	const seeds = 6
	for seed := range uint64(seeds) {
		o := run(r, seed, newOrder)
		lost += float64(o.lost) / seeds
		windows[0] += o.windows[0] / seeds
		windows[1] += o.windows[1] / seeds
	}
	return lost, windows
}

// TestFewAreLostInARush replays the loads. What is past its aim is not left until
// its callers have gone, and repetitions are not taken for first tries. The bounds
// lie between what either policy alone and both together reach.
func TestFewAreLostInARush(t *testing.T) {
	most := map[string]float64{"common": 5, "busy": 65, "long": 150, "short": 5, "wide": 5, "wider": 30}
	for _, r := range rushes {
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

// BenchmarkRush prints the bed's table: requests lost, and the worth of the two
// windows after the loss.
func BenchmarkRush(b *testing.B) {
	for _, r := range rushes {
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

// server is one upstream with its agent.
type server struct {
	order   ordering
	running int
	answer  time.Duration
}

type simulation struct {
	rush
	simclock.Clock
	servers []*server
	all     []*asked
	random  *rand.Rand
}

// run plays a rush. The hosts are lost at lostAt.
func run(r rush, seed uint64, newOrder func(started time.Duration) ordering) outcome {
	const lostAt, after = time.Second, 6 * time.Second
	s := &simulation{rush: r, random: rand.New(rand.NewPCG(seed, 1))}
	back := lostAt + r.away
	for n := range r.upstreams {
		started := back + time.Duration(n)*startSpread/time.Duration(r.upstreams)
		s.servers = append(s.servers, &server{order: newOrder(started)})
	}
	for t := lostAt; t < back+after; t += time.Duration(s.random.ExpFloat64() / r.perSecond * float64(time.Second)) {
		s.ask(t, back)
	}
	s.Run()
	return s.outcome(lostAt)
}

// ask makes a request of a caller, and lets it in with the first opening packet that
// finds the hosts back.
func (s *simulation) ask(t, back time.Duration) {
	a := &asked{kind: &kinds[0], first: t}
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
		began += attempt + time.Duration(s.random.Float64()*float64(pauseMost))
	}
}

// arrive places a request at the upstream with the least load.
func (s *simulation) arrive(a *asked) {
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
		if s.Now < time.Second+s.away+s.cold {
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

func (s *simulation) outcome(lostAt time.Duration) outcome {
	var o outcome
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
		case a.end <= a.first+a.kind.aim:
			got[w] += a.kind.worth
		default:
			got[w] += a.kind.worthLate
		}
	}
	o.windows = [2]float64{got[0] / owed[0], got[1] / owed[1]}
	return o
}
