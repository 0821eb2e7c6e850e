package gate

import (
	"time"

	"github.com/saltbend/saltbend/internal/packetface/admission"
)

// Pressure describes for operators how much more than its room is asked of the upstream.
type Pressure struct {
	// Held is the number of opening packets that wait for room.
	Held int
	// Lasting is set while openings have to wait because more requests have arrived than
	// could be answered for longer than in a burst.
	Lasting bool
	// Bar is the bar below which openings are refused, 0 for none.
	Bar admission.Standing
}

// Pressure returns the current pressure.
func (g *Gate) Pressure(now time.Duration) Pressure {
	load := g.loadReport(now)
	return Pressure{Held: len(g.held), Lasting: g.openings.Holds(), Bar: load.Bar}
}
