package capacity_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/packetface/capacity"
)

const (
	usual    = 50 * time.Millisecond
	priority = 2
)

// work is a source of service times: lognormal with spread 0.5, 3% of them 7 times as long.
type work struct {
	random *rand.Rand
	mean   time.Duration
}

func (w work) next() time.Duration {
	const spread = 0.5
	took := math.Exp(spread*w.random.NormFloat64() - spread*spread/2)
	if w.random.Float64() < 0.03 {
		took *= 7
	}
	return time.Duration(took * float64(w.mean))
}

// upstream feeds Times with the answers of an upstream.
type upstream struct {
	work
	times capacity.Times
	now   time.Duration
	every time.Duration
}

func newUpstream(seed uint64) *upstream {
	return &upstream{work: work{rand.New(rand.NewPCG(seed, 1)), usual}, now: time.Second, every: 25 * time.Millisecond}
}

func (u *upstream) caller() [4]byte {
	n := u.random.Uint32()
	return [4]byte{100, 64, byte(n >> 8), byte(n)}
}

func (u *upstream) answer(took time.Duration) {
	u.now += u.every
	u.times.Add(u.now, u.caller(), priority, took)
}

func (u *upstream) answers(n int) {
	for range n {
		u.answer(u.next())
	}
}

// learned returns the learned mean in seconds.
func (u *upstream) learned() float64 {
	times := u.times.Frequent(u.now)
	return times[0].Mean.Seconds()
}

// truth is what is learned of an upstream after very many answers, on average: the mean of
// the service times, each limited to tailLimit times that mean.
func truth() float64 {
	u := newUpstream(99)
	sum, n := 0.0, 0
	for range 2000 {
		u.answers(50)
		sum += u.learned()
		n++
	}
	return sum / float64(n)
}

// shareWithin returns the share of values that are within a ratio of the expected one.
func shareWithin(values []float64, expected, ratio float64) float64 {
	n := 0
	for _, v := range values {
		if math.Abs(v/expected-1) <= ratio {
			n++
		}
	}
	return float64(n) / float64(len(values))
}

func TestTheTailIsLimited(t *testing.T) {
	g := NewWithT(t)
	g.Expect(truth()).To(BeNumerically("~", usual.Seconds()*1.08, usual.Seconds()*0.08), "all requests are between 1 and 1.18 times the mean without the tail")
}

// Within 20% after 50 answers and 10% after 300 for 9 of 10 upstreams, whatever the first
// answer was: the mean of 50 such samples itself has a standard deviation of 9%.
func TestServiceTimesAreLearnedFromAnyStart(t *testing.T) {
	expected := truth()
	for _, start := range []float64{0.02, 0.2, 1, 5, 50} {
		t.Run(fmt.Sprintf("start=%g", start), func(t *testing.T) {
			g := NewWithT(t)
			var soon, later []float64
			for seed := range uint64(400) {
				u := newUpstream(seed)
				u.answer(time.Duration(start * float64(usual)))
				u.answers(50)
				soon = append(soon, u.learned())
				u.answers(250)
				later = append(later, u.learned())
			}
			g.Expect(shareWithin(soon, expected, 0.2)).To(BeNumerically(">=", 0.9))
			g.Expect(shareWithin(later, expected, 0.1)).To(BeNumerically(">=", 0.9))
		})
	}
}

// Three slots at half load: an upstream of twice the service time answers half as many
// requests with the same share of its slots.
func TestChangeOfSpeedIsFollowed(t *testing.T) {
	expected := truth()
	for _, times := range []float64{0.5, 2} {
		t.Run(fmt.Sprintf("times=%g", times), func(t *testing.T) {
			g := NewWithT(t)
			var learned []float64
			for seed := range uint64(400) {
				u := newUpstream(seed)
				u.answers(500)
				u.mean = time.Duration(times * float64(usual))
				u.every = time.Duration(float64(u.mean) / 1.5)
				u.answers(int(2 * time.Second / u.every))
				learned = append(learned, u.learned())
			}
			slices.Sort(learned)
			t.Logf("learned after 2 s: %.2f to %.2f times the new mean in 9 of 10", learned[20]/expected/times, learned[380]/expected/times)
			g.Expect(shareWithin(learned, times*expected, 0.25)).To(BeNumerically(">=", 0.9))
		})
	}
}

// Whatever a caller does, it alone moves the mean by 20% up or 15% down at most, on average
// over time, as long as enough others are answered.
func TestNoCallerMovesTheMeanFar(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		share := rapid.Float64Range(0, 0.9).Draw(t, "share of the answers")
		pattern := rapid.SliceOfN(rapid.Int64Range(1, int64(10*time.Second)), 1, 8).Draw(t, "times")
		honest, attacked := newUpstream(seed), newUpstream(seed)
		attack := rand.New(rand.NewPCG(seed, 2))
		ratio, n := 0.0, 0
		for i := range 1500 {
			honest.answer(honest.next())
			attacked.answer(attacked.next())
			for attack.Float64() < share {
				attacked.times.Add(attacked.now, [4]byte{9, 9, 9, 9}, priority, time.Duration(pattern[attack.IntN(len(pattern))]))
			}
			if i >= 500 {
				ratio += attacked.learned() / honest.learned()
				n++
			}
		}
		if mean := ratio / float64(n); mean > 1.2 || mean < 0.85 {
			t.Fatalf("the mean was moved by the factor %.3f", mean)
		}
	})
}

// Priorities do not mix, the most frequent are reported, and rare ones are replaced.
func TestTimesArePerPriority(t *testing.T) {
	g := NewWithT(t)
	u := newUpstream(1)
	add := func(priority uint8, took time.Duration, n int) {
		for range n {
			u.now += u.every
			u.times.Add(u.now, u.caller(), priority, took)
		}
	}
	for range 20 {
		add(1, 20*time.Millisecond, 2)
		add(2, 80*time.Millisecond, 4)
		add(3, 40*time.Millisecond, 1)
	}
	g.Expect(u.times.Frequent(u.now)).To(Equal([2]capacity.ServiceTime{{Priority: 2, Mean: 80 * time.Millisecond}, {Priority: 1, Mean: 20 * time.Millisecond}}))
	for priority := range uint8(40) {
		add(10+priority, 10*time.Millisecond, 1)
	}
	add(200, 30*time.Millisecond, 600)
	g.Expect(u.times.Frequent(u.now)[0]).To(Equal(capacity.ServiceTime{Priority: 200, Mean: 30 * time.Millisecond}))
}

func TestOldAndFewTimesAreNotReported(t *testing.T) {
	g := NewWithT(t)
	u := newUpstream(1)
	g.Expect(u.times.Frequent(u.now)).To(BeZero())
	u.answers(3)
	g.Expect(u.times.Frequent(u.now)).To(BeZero())
	u.answers(20)
	g.Expect(u.times.Frequent(u.now)).NotTo(BeZero())
	u.now += time.Minute
	g.Expect(u.times.Frequent(u.now)).To(BeZero())
}

// An upstream with a single caller is judged by its answers as well.
func TestFewCallersAreEnough(t *testing.T) {
	g := NewWithT(t)
	var times capacity.Times
	for i := range 20 {
		times.Add(time.Duration(i)*time.Second, [4]byte{1}, priority, usual)
	}
	g.Expect(times.Frequent(20 * time.Second)[0].Mean).To(Equal(usual))
}
