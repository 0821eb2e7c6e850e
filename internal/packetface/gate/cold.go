package gate

import (
	"time"

	"github.com/saltbend/saltbend/internal/packetface/coldrate"
	"github.com/saltbend/saltbend/internal/packetface/inner"
)

// cold is what the agent knows of how its upstream warms up.
type cold struct {
	// version is that of the configuration that bounds are from.
	version uint64
	bounds  coldrate.Bounds
	window  coldrate.Window
}

// hearColdRate takes the rate that a balancer knows, unless a newer configuration has
// told another.
func (g *Gate) hearColdRate(head inner.Open) {
	if head.Known.Version < g.cold.version || head.Service != g.service {
		return
	}
	g.cold.version = head.Known.Version
	g.cold.bounds = coldrate.NewBounds(float64(head.ColdRate), g.settings.ColdOverage)
}

// coldBounds returns the bounds on the flows that the upstream gets, none once it is
// warm. One that has not reported since the process's start may have started, too.
func (g *Gate) coldBounds(now time.Duration) coldrate.Bounds {
	if !g.upstream.unknown() && now >= g.upstream.coldEnd {
		return coldrate.Bounds{}
	}
	return g.cold.bounds
}
