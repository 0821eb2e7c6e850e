package admission_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/packetface/admission"
)

// process counts epochs as one process does; its clock began at another time than others'.
type process struct {
	admission.Epochs
	started time.Duration
}

func (p *process) epoch(now time.Duration) uint8   { return p.At(now - p.started) }
func (p *process) hear(now time.Duration, e uint8) { p.Observe(now-p.started, e) }
func (p *process) meet(now time.Duration, o *process) {
	p.hear(now, o.epoch(now))
	o.hear(now, p.epoch(now))
}

func TestEpochsFollowTheClock(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		var e admission.Epochs
		var now time.Duration
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			pause := time.Duration(rapid.Int64Range(0, int64(20*time.Minute)).Draw(t, "pause"))
			before := e.At(now)
			now += pause
			passed := int(now/admission.EpochLength) - int((now-pause)/admission.EpochLength)
			g.Expect(e.At(now)).To(Equal(before + uint8(passed)))
		}
	})
}

// Whatever two processes count, they agree after they have heard of each other: also after
// a long pause, a wrong epoch and the longest distance of serial numbers.
func TestTwoProcessesAgreeOnTheEpoch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		a, b := &process{}, &process{started: time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "started"))}
		now := 10 * time.Second
		b.hear(now, b.epoch(now)+rapid.Uint8Range(0, 127).Draw(t, "wrong"))
		b.hear(now, b.epoch(now)+rapid.Uint8Range(0, 127).Draw(t, "wrong again"))
		now += time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "apart"))
		a.meet(now, b)
		g.Expect(a.epoch(now)).To(Equal(b.epoch(now)))
		now += time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "later"))
		a.meet(now, b)
		g.Expect(a.epoch(now)).To(Equal(b.epoch(now)))
	})
}

func TestAnOlderEpochIsNotAdopted(t *testing.T) {
	g := NewWithT(t)
	var e admission.Epochs
	e.Observe(0, 250)
	e.Observe(0, 100) // newer than 250 by serial numbers
	g.Expect(e.At(0)).To(Equal(uint8(100)))
	e.Observe(0, 99)
	g.Expect(e.At(0)).To(Equal(uint8(100)))
	e.Observe(time.Second, 101)
	g.Expect(e.At(2*time.Second)).To(Equal(uint8(101)), "an adopted epoch begins when it is adopted")
	g.Expect(e.At(3 * time.Second)).To(Equal(uint8(102)))
}

// All processes compute the same rank, whatever their build and start.
func TestRankIsTheSameOnAllHosts(t *testing.T) {
	g := NewWithT(t)
	g.Expect(admission.Rank([4]byte{100, 64, 0, 1}, 7)).To(Equal(uint8(252)))
	g.Expect(admission.Rank([4]byte{100, 64, 0, 1}, 8)).To(Equal(uint8(88)))
}

// Ranks of neighbouring callers, and of one caller in successive epochs, are spread evenly.
func TestRanksAreSpreadEvenly(t *testing.T) {
	g := NewWithT(t)
	const callers = 16384
	var byCaller, byEpoch [8]int
	again := 0
	for n := range callers {
		caller := [4]byte{100, 64, byte(n >> 8), byte(n)}
		rank := admission.Rank(caller, 3)
		byCaller[rank/32]++
		byEpoch[admission.Rank([4]byte{100, 64, 0, byte(n >> 8)}, byte(n))/32]++
		if rank < 64 && admission.Rank(caller, 4) < 64 {
			again++
		}
	}
	for i := range byCaller {
		g.Expect(byCaller[i]).To(BeNumerically("~", callers/8, callers/80))
		g.Expect(byEpoch[i]).To(BeNumerically("~", callers/8, callers/80))
	}
	g.Expect(again).To(BeNumerically("~", callers/16, callers/160), "refused in two successive epochs")
}

func TestStandingOrdersByUrgencyThenRank(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		priority, other := rapid.Uint8().Draw(t, "priority"), rapid.Uint8().Draw(t, "other")
		rank, otherRank := rapid.Uint8().Draw(t, "rank"), rapid.Uint8().Draw(t, "other rank")
		s, o := admission.StandingOf(priority, rank), admission.StandingOf(other, otherRank)
		g.Expect(s).To(BeNumerically(">", 0), "0 is the bar that refuses nobody")
		g.Expect(s.Priority()).To(Equal(min(priority, 254)))
		switch {
		case min(priority, 254) < min(other, 254):
			g.Expect(s).To(BeNumerically(">", o))
		case min(priority, 254) == min(other, 254) && rank < otherRank:
			g.Expect(s).To(BeNumerically("<", o))
		}
	})
}

func callerOf(n int) [4]byte { return [4]byte{10, 1, byte(n >> 8), byte(n)} }

// With few callers as with many, those with the same rate are not heavy, and one with many
// times their rate is.
func TestHeavyCallersAreThoseFarAboveTheOthers(t *testing.T) {
	for _, callers := range []int{2, 5, 20, 80, 1000} {
		g := NewWithT(t)
		var s admission.Shares
		const epoch, rounds, times = 1, 8, 50
		for round := range rounds {
			for n := range callers {
				s.Add(time.Duration(round)*100*ms, callerOf(n), epoch)
			}
		}
		heavy := 0
		for n := range callers {
			if s.Heavy(800*ms, callerOf(n), epoch) {
				heavy++
			}
		}
		g.Expect(heavy).To(BeNumerically("<=", callers/20), "of %d callers with the same rate", callers)
		if callers <= 80 {
			for range rounds * times {
				s.Add(800*ms, callerOf(-1), epoch)
			}
			g.Expect(s.Heavy(800*ms, callerOf(-1), epoch)).To(BeTrue(), "%d times the rate of %d others", times, callers)
		}
		g.Expect(s.Heavy(20*second, callerOf(-1), epoch)).To(BeFalse(), "counts are forgotten")
	}
}

func TestOnlyCallerIsNotHeavy(t *testing.T) {
	g := NewWithT(t)
	var s admission.Shares
	for n := range 100 {
		s.Add(time.Duration(n)*ms, callerOf(1), 1)
	}
	g.Expect(s.Heavy(100*ms, callerOf(1), 1)).To(BeFalse(), "nobody else wants its share")
}

func TestSharesNeedNoMemoryForCallers(t *testing.T) {
	g := NewWithT(t)
	var s admission.Shares
	n := 0
	g.Expect(testing.AllocsPerRun(10000, func() {
		n++
		s.Add(time.Duration(n)*ms, callerOf(n), byte(n>>11))
		s.Heavy(time.Duration(n)*ms, callerOf(n), byte(n>>11))
	})).To(BeZero())
}

// A caller with 50 times the others' rate gets no more than its share once they want it, and
// the others lose little to it.
func TestCallerWithManyRequestsTakesNothingFromTheOthers(t *testing.T) {
	const others, times, hog = 40, 50, 0
	cases := []struct {
		name  string
		slots int
		// room is the ratio of the room to what the others ask for.
		room, othersGet, hogGets float64
	}{
		{"room for all others", 8, 1.15, 0.9, 1 << 10},
		{"too little room for the others alone", 8, 0.75, 0.65, 5},
		{"room for all others, few slots", 2, 1.15, 0.75, 1 << 10},
		{"too little room for the others alone, few slots", 2, 0.75, 0.55, 12},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			m := newModel(c.slots, 33*ms)
			perSecond := m.room() / c.room / others
			answered, asked := map[int]float64{}, map[int]float64{}
			m.answered = func(r *modelRequest) {
				if r.end-r.began <= r.target && r.began > 8*second {
					answered[r.caller]++
				}
			}
			m.asked = func(r *modelRequest) {
				if r.began > 8*second {
					asked[r.caller]++
				}
			}
			m.load(0, 28*second, others*perSecond, func(int) *modelRequest { return &modelRequest{caller: 1 + m.random.IntN(others)} })
			m.load(0, 28*second, times*perSecond, func(int) *modelRequest { return &modelRequest{caller: hog} })
			m.Run()
			var got, wanted float64
			for n := 1; n <= others; n++ {
				got, wanted = got+answered[n], wanted+asked[n]
			}
			t.Logf("the others got %.0f of %.0f, the one %.0f of %.0f", got, wanted, answered[hog], asked[hog])
			g.Expect(got / wanted).To(BeNumerically(">", c.othersGet))
			g.Expect(answered[hog]).To(BeNumerically("<", c.hogGets*got/others), "as multiple of the mean of the others")
		})
	}
}
