package admission_test

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/admission"
	"github.com/saltbend/saltbend/test/simclock"
)

const (
	second       = time.Second
	modelTimeout = 2500 * time.Millisecond
)

// model drives Openings as an agent with one upstream does: as many requests as there are
// slots run, as many are on their way to them, and the openings of the others wait.
type model struct {
	simclock.Clock
	admission.Openings[*modelRequest]
	admission.Pace
	shares admission.Shares
	epochs admission.Epochs
	random *rand.Rand
	// spread is the standard deviation of the logarithm of a request's work.
	spread  float64
	running int
	next    []*modelRequest
	// asked, answered, refused and observed are called with each event.
	asked, answered, refused func(*modelRequest)
	observed                 func()
}

type modelRequest struct {
	caller     int
	priority   uint8
	began, end time.Duration
	target     time.Duration
	standing   admission.Standing
	why        admission.Refusal
}

func newModel(slots int, answer time.Duration) *model {
	nothing := func(*modelRequest) {}
	return &model{
		Pace: admission.Pace{Slots: slots, Answer: answer}, random: rand.New(rand.NewPCG(1, 2)),
		asked: nothing, answered: nothing, refused: nothing, observed: func() {},
	}
}

// room is the number of requests a second that the upstream can answer.
func (m *model) room() float64 { return float64(m.Slots) / m.Answer.Seconds() }

// load schedules requests at a mean rate: at random times (Poisson).
func (m *model) load(from, to time.Duration, perSecond float64, make func(int) *modelRequest) {
	i := 0
	for t := from + m.gap(perSecond); t < to; t += m.gap(perSecond) {
		m.schedule(t, make(i))
		i++
	}
}

func (m *model) gap(perSecond float64) time.Duration {
	return time.Duration(m.random.ExpFloat64() / perSecond * float64(second))
}

// steady schedules requests at even intervals.
func (m *model) steady(from, to time.Duration, perSecond float64) {
	for t := from; t < to; t += time.Duration(float64(second) / perSecond) {
		m.schedule(t, &modelRequest{caller: m.random.IntN(1000)})
	}
}

func (m *model) schedule(t time.Duration, r *modelRequest) {
	if r.target == 0 {
		r.target = 150 * ms
	}
	if r.priority == 0 {
		r.priority = 2
	}
	r.began = t
	m.At(t, func() { m.arrive(r) })
}

func (m *model) ahead() int { return m.running + len(m.next) }

func (m *model) arrive(r *modelRequest) {
	m.asked(r)
	m.Arrived(m.Now, r.priority)
	switch {
	case m.Len() == 0 && m.ahead() < 2*m.Slots:
		m.start(r)
	default:
		m.hold(r)
	}
	m.settle()
}

// hold lets an opening wait unless it is refused.
func (m *model) hold(r *modelRequest) {
	epoch := m.epochs.At(m.Now)
	rank := admission.Rank(callerOf(r.caller), epoch)
	if m.shares.Heavy(m.Now, callerOf(r.caller), epoch) {
		rank = 0
	}
	r.standing = admission.StandingOf(r.priority, rank)
	request := admission.Request{Priority: r.priority, Arrived: m.Now, Asked: m.Now, EarliestAttempt: m.Now, TargetLatency: r.target, Timeout: modelTimeout}
	if r.why = m.Judge(m.Now, request, r.standing, m.Pace, m.ahead()); r.why != admission.NotRefused {
		m.refused(r)
		return
	}
	m.Add(request, m.Now+attempt, r)
}

func (m *model) start(r *modelRequest) {
	m.shares.Add(m.Now, callerOf(r.caller), m.epochs.At(m.Now))
	m.next = append(m.next, r)
	m.run()
}

func (m *model) run() {
	for m.running < m.Slots && len(m.next) > 0 {
		r := m.next[0]
		m.next = m.next[1:]
		m.running++
		took := time.Duration(float64(m.Answer) * math.Exp(m.spread*m.random.NormFloat64()-m.spread*m.spread/2))
		m.After(took, func() { m.finish(r) })
	}
}

func (m *model) finish(r *modelRequest) {
	r.end = m.Now
	m.running--
	m.Answered(m.Now)
	m.answered(r)
	m.run()
	m.settle()
}

func (m *model) settle() {
	m.Observe(m.Now, m.Pace, m.ahead())
	for m.ahead() < 2*m.Slots {
		r, why := m.Next(m.Now, m.Pace)
		if why == admission.None {
			break
		}
		m.Remove(r)
		m.start(r)
	}
	for {
		r, found := m.Hopeless(m.Now, m.Pace)
		if !found {
			break
		}
		m.Remove(r)
		r.why = admission.Hopeless
		m.refused(r)
	}
	m.observed()
}
