package coldrate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/packetface/coldrate"
)

func TestNewBounds(t *testing.T) {
	g := NewWithT(t)
	g.Expect(coldrate.NewBounds(0, 1.5)).To(Equal(coldrate.Bounds{}))
	g.Expect(coldrate.NewBounds(0.4, 0)).To(Equal(coldrate.Bounds{Usual: 1, Most: 1}))
	g.Expect(coldrate.NewBounds(20, 1.5)).To(Equal(coldrate.Bounds{Usual: 20, Most: 27}))
}

func TestAllFlowsAreAllowedWithoutABound(t *testing.T) {
	g := NewWithT(t)
	var w coldrate.Window
	for range 1000 {
		g.Expect(w.Allows(time.Second, coldrate.Bounds{}, false)).To(BeTrue())
		w.Add(time.Second, coldrate.Bounds{})
	}
}

// For any arrivals, no sliding second contains more flows than the bound.
func TestSlidingSecondNeverExceedsTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := coldrate.NewBounds(rapid.Float64Range(0.1, 30).Draw(t, "rate"), rapid.Float64Range(0, 3).Draw(t, "overage"))
		var w coldrate.Window
		var taken []time.Duration
		now := time.Second
		for range rapid.IntRange(1, 200).Draw(t, "arrivals") {
			now += time.Duration(rapid.IntRange(0, 60).Draw(t, "gap")) * time.Millisecond
			lastChoice := rapid.Bool().Draw(t, "must")
			if !w.Allows(now, b, lastChoice) {
				continue
			}
			w.Add(now, b)
			taken = append(taken, now)
		}
		for i := range taken {
			within := 0
			for _, at := range taken[i:] {
				if at-taken[i] < time.Second {
					within++
				}
			}
			if within > b.Most {
				t.Fatalf("%d flows within a second of %s, at most %d", within, taken[i], b.Most)
			}
		}
	})
}
