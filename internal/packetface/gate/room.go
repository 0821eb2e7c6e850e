package gate

import (
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
)

// hasTime reports whether the upstream begins at once on the request of a flow that has
// just been forwarded: requests beyond its slots wait in its own queue.
func (g *Gate) hasTime(f *flow) bool {
	return f.running && g.slots() > 0 && g.running <= g.slots()
}

// loadReport returns the room that the upstream has, as reported to balancers.
func (g *Gate) loadReport(now time.Duration) inner.Load {
	ahead := g.begun(now)
	load := inner.Load{
		Wait: g.openings.LongestWait(g.pace(), ahead), Utilization: g.use.Share(now), Bar: g.openings.Bar(g.pace(), ahead), Epoch: g.epochs.At(now),
	}
	for i, t := range g.times.Frequent(now) {
		load.Times[i] = inner.ServiceTime{Priority: t.Priority, Mean: t.Mean}
	}
	return load
}
