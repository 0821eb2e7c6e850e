package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/packetface/admission"
)

// A burst, as after a common loss of power, ends before its backlog has been served: it must
// not be taken for lasting overload, whenever it begins.
func TestBurstIsNotLastingOverload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		m := newModel(rapid.IntRange(2, 8).Draw(t, "slots"), time.Duration(rapid.IntRange(20, 60).Draw(t, "answer"))*ms)
		begins := second + time.Duration(rapid.IntRange(0, 300).Draw(t, "begins"))*ms
		m.random = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		m.observed = func() { g.Expect(m.Lasting()).To(BeFalse(), "at %v", m.Now-begins) }
		for range int(3 * m.room() * 0.6) {
			m.schedule(begins+time.Duration(m.random.Float64()*float64(600*ms)), &modelRequest{caller: m.random.IntN(1000)})
		}
		m.steady(begins+600*ms, begins+6*second, m.room()/2)
		m.Run()
	})
}

// switches returns when the model's overload began to last and when it was over.
func (m *model) switches() *[]time.Duration {
	var at []time.Duration
	m.observed = func() {
		if m.Lasting() != (len(at)%2 == 1) {
			at = append(at, m.Now)
		}
	}
	return &at
}

func TestDemandAboveRoomCountsAsLastingSoon(t *testing.T) {
	for _, slots := range []int{2, 8} {
		for _, times := range []float64{1.1, 1.4, 2} {
			for offset := range 5 {
				t.Run(fmt.Sprint(slots, times, offset), func(t *testing.T) {
					g := NewWithT(t)
					m := newModel(slots, 33*ms)
					begins := second + time.Duration(offset)*50*ms
					m.steady(0, begins, m.room()/2)
					m.steady(begins, begins+6*second, times*m.room())
					at := m.switches()
					m.Run()
					t.Log(*at)
					g.Expect(*at).NotTo(BeEmpty())
					g.Expect((*at)[0] - begins).To(BeNumerically("<", 1500*ms))
					g.Expect((*at)[0] - begins).To(BeNumerically(">", 600*ms))
				})
			}
		}
	}
}

// While demand at random times stays clearly above the room, overload lasts: the regime must not
// change back because few openings wait once the target latency bounds the wait.
func TestLastingOverloadLastsWhileDemandIsAboveRoom(t *testing.T) {
	for _, slots := range []int{2, 8} {
		for _, times := range []float64{1.4, 2} {
			t.Run(fmt.Sprint(slots, times), func(t *testing.T) {
				g := NewWithT(t)
				m := newModel(slots, 33*ms)
				m.spread = 0.47
				m.load(0, 30*second, times*m.room(), func(int) *modelRequest { return &modelRequest{caller: m.random.IntN(1000)} })
				at := m.switches()
				m.Run()
				t.Log(*at)
				g.Expect(len(*at)).To(BeNumerically("<=", 2))
				g.Expect((*at)[0]).To(BeNumerically("<", 2*second))
			})
		}
	}
}

func TestOverloadIsOverSoonAfterDemandFalls(t *testing.T) {
	for _, slots := range []int{2, 8} {
		for _, times := range []float64{1.1, 1.4, 2} {
			t.Run(fmt.Sprint(slots, times), func(t *testing.T) {
				g := NewWithT(t)
				m := newModel(slots, 33*ms)
				const falls = 5 * second
				m.steady(0, falls, times*m.room())
				m.steady(falls, falls+5*second, 0.9*m.room())
				at := m.switches()
				m.Run()
				t.Log(*at)
				g.Expect(*at).To(HaveLen(2))
				g.Expect((*at)[1] - falls).To(BeNumerically("<", 1600*ms))
			})
		}
	}
}

func TestVaryingDemandWithinRoomIsHardlyEverLasting(t *testing.T) {
	for _, slots := range []int{2, 8} {
		for _, spread := range []float64{0, 0.47} {
			t.Run(fmt.Sprint(slots, spread), func(t *testing.T) {
				g := NewWithT(t)
				var lasting, total time.Duration
				for seed := range uint64(5) {
					m := newModel(slots, 33*ms)
					m.spread = spread
					m.random = rand.New(rand.NewPCG(seed, 0))
					m.load(0, 60*second, 0.85*m.room(), func(int) *modelRequest { return &modelRequest{caller: m.random.IntN(1000)} })
					last := time.Duration(0)
					m.observed = func() {
						if m.Lasting() {
							lasting += m.Now - last
						}
						total += m.Now - last
						last = m.Now
					}
					m.Run()
				}
				t.Logf("%.4f", float64(lasting)/float64(total))
				g.Expect(float64(lasting) / float64(total)).To(BeNumerically("<", 0.02))
			})
		}
	}
}

// An opening of the only priority that is asked for waits behind those before it, and behind
// no others.
func TestExpectedWaitDoesNotCountTheSamePriorityTwice(t *testing.T) {
	for _, priority := range []uint8{0, 1, 2, 3, 9} {
		g := NewWithT(t)
		var o admission.Openings[int]
		p := admission.Pace{Slots: 4, Answer: 40 * ms}
		for n := range 400 {
			o.Demand().Arrived(priority)
			o.Observe(time.Duration(n)*10*ms, p, 4)
		}
		o.Add(admission.Request{Priority: priority, TargetLatency: second, Timeout: 3 * second}, admission.Candidate{Standing: admission.StandingOf(priority, 7)}, 1)
		g.Expect(o.Wait(p, 11)).To(BeNumerically("~", 90*ms, ms), "priority %d", priority)
	}
}

func TestExpectedWaitIncludesMoreUrgentArrivals(t *testing.T) {
	g := NewWithT(t)
	var o admission.Openings[int]
	p := admission.Pace{Slots: 4, Answer: 40 * ms}
	for n := range 400 {
		o.Demand().Arrived(uint8(1 + n%2))
		o.Observe(time.Duration(n)*10*ms, p, 4)
	}
	o.Add(admission.Request{Priority: 2, TargetLatency: second, Timeout: 3 * second}, admission.Candidate{Standing: admission.StandingOf(2, 7)}, 1)
	g.Expect(o.Wait(p, 11)).To(BeNumerically("~", 180*ms, 10*ms), "half of the room goes to the urgent")
}
