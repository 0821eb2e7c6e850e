package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/admission"
)

// waitingOpenings returns Openings in which the given number wait, of two priorities and
// all ages up to a second.
func waitingOpenings(size int) *admission.Openings[int] {
	o := &admission.Openings[int]{}
	for n := range size {
		addOpening(o, n)
	}
	return o
}

func addOpening(o *admission.Openings[int], n int) {
	r := terms(1+uint8(n%2), now-time.Duration(n%1000)*ms)
	o.Arrived(now, r)
	o.Add(r, now+attempt, n)
}

// BenchmarkOpenings measures the calls that an agent makes for each opening, with others
// waiting.
func BenchmarkOpenings(b *testing.B) {
	for _, size := range []int{10, 1000, 10000} {
		calls := []struct {
			name string
			call func(o *admission.Openings[int], n int)
		}{
			{"Judge", func(o *admission.Openings[int], n int) {
				o.Judge(now, terms(2, now), admission.StandingOf(2, uint8(n)), pace, 6)
			}},
			{"Add and Remove", func(o *admission.Openings[int], n int) {
				addOpening(o, size+n)
				o.Remove(size + n)
			}},
			{"Next", func(o *admission.Openings[int], n int) { o.Next(now, pace) }},
			{"Observe, AttemptEnding, Hopeless", func(o *admission.Openings[int], n int) {
				o.Observe(now, pace, 6)
				o.AttemptEnding(now)
				o.Hopeless(now, pace)
			}},
		}
		for _, c := range calls {
			b.Run(fmt.Sprintf("%s/waiting=%d", c.name, size), func(b *testing.B) {
				o := waitingOpenings(size)
				b.ReportAllocs()
				n := 0
				for b.Loop() {
					n++
					c.call(o, n)
				}
			})
		}
	}
}
