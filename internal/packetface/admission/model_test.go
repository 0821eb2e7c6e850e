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

// model drives Openings and the queue of requests as an agent with one upstream does.
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
	queue   admission.Queue[*modelRequest]
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

func (m *model) ahead() int { return m.running + m.queue.Len() }

func (m *model) request(r *modelRequest) admission.Request {
	return admission.Request{
		Priority: r.priority, Arrived: r.began, Asked: r.began, EarliestAttempt: r.began,
		TargetLatency: r.target, Timeout: modelTimeout,
	}
}

func (m *model) hasRoom(r *modelRequest) bool {
	return m.running+m.queue.CountBefore(m.Now, m.Pace, m.request(r)) < 2*m.Slots
}

func (m *model) arrive(r *modelRequest) {
	m.asked(r)
	m.Arrived(m.Now, m.request(r))
	heavy := m.shares.Heavy(m.Now, callerOf(r.caller), m.epochs.At(m.Now))
	if !m.Holds() || m.Len() == 0 && m.hasRoom(r) && (!heavy || m.ahead() < 2*m.Slots) {
		m.start(r)
	} else {
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
	if r.why = m.Judge(m.Now, m.request(r), r.standing, m.Pace, m.ahead()); r.why != admission.NotRefused {
		m.refused(r)
		return
	}
	m.Add(m.request(r), m.Now+attempt, r)
}

func (m *model) start(r *modelRequest) {
	m.shares.Add(m.Now, callerOf(r.caller), m.epochs.At(m.Now))
	m.queue.Add(m.request(r), r)
	m.run()
}

func (m *model) run() {
	for m.running < m.Slots && m.queue.Len() > 0 {
		r, _ := m.queue.Next(m.Now, m.Pace)
		m.queue.Remove(r)
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
	for {
		r, why := m.Next(m.Now, m.Pace)
		if why == admission.None || !m.hasRoom(r) {
			break
		}
		m.Remove(r)
		m.start(r)
	}
	for {
		r, why := m.AttemptEnding(m.Now)
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
