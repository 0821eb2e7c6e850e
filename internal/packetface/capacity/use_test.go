package capacity_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/packetface/capacity"
)

func TestUseIsExactFromTheStart(t *testing.T) {
	g := NewWithT(t)
	var u capacity.Use
	g.Expect(u.Share(time.Second)).To(BeZero())
	u.Observe(time.Second, 3, 4)
	g.Expect(u.Share(20 * time.Second)).To(BeNumerically("~", 0.75, 0.01))
	u.Observe(20*time.Second, 9, 4)
	g.Expect(u.Share(60*time.Second)).To(BeNumerically("~", 1, 0.01), "requests that wait do not count")
	u.Observe(60*time.Second, 1, 0)
	g.Expect(u.Share(100*time.Second)).To(BeNumerically("~", 0, 0.01), "the slots are not known")
}

// The average depends on what lasted how long, not on when it is observed.
func TestUseDoesNotDependOnObservations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 3
		var rarely, often capacity.Use
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now := time.Duration(0)
		for _, passed := range rapid.SliceOfN(rapid.Int64Range(0, int64(2*time.Second)), 1, 60).Draw(t, "intervals") {
			running := random.IntN(slots + 2)
			rarely.Observe(now, running, slots)
			often.Observe(now, running, slots)
			end := now + time.Duration(passed)
			for now < end {
				now = min(end, now+time.Duration(random.Int64N(int64(100*time.Millisecond))))
				often.Share(now)
				often.Observe(now, running, slots)
			}
		}
		if a, b := rarely.Share(now), often.Share(now); math.Abs(a-b) > 1e-9 || a < 0 || a > 1 {
			t.Fatalf("%v and %v", a, b)
		}
	})
}
