package steer_test

import (
	"fmt"
	"testing"
	"time"
	"slices"
)

func TestTrial(t *testing.T) {
	for _, balancers := range []int{17, 304} {
		for _, off := range [][]string{nil} {
			t.Run(fmt.Sprint(balancers, off), func(t *testing.T) {
				s := usualRoom
				s.balancers, s.off = balancers, off
				w := newRoomSimulation(s)
				w.start(2*time.Second, 100*time.Second)
				for i := range 6 {
				w.RunUntil(time.Duration(i+1)*10 * time.Second)
				f := w.loadByRoom(); slices.Sort(f)
				r, late := w.busiest()
				if i == 5 {
					for _, a := range w.agents {
						t.Log(a.speed, a.feeds, a.queries, a.times.Frequent(w.Now), a.use.Share(w.Now))
					}
				}
				w.resetMeasures()
				t.Logf("%d s: load max %.2f p90 %.2f min %.2f; work max/mean %.2f, late %.4f", (i+1)*10, f[len(f)-1], f[len(f)*9/10], f[0], r, late)
				}
				w.pace = 1.5
				w.RunUntil(75*time.Second)
				r, late := w.busiest()
				t.Logf("up by half: work max/mean %.2f, late %.4f", r, late)
			})
		}
	}
}
