package registry

import (
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/saltbend/saltbend/platform"
)

// detourTime is how long an agent whom the store turned away makes its calls by
// way of a balancer before it tries the store itself again.
const detourTime = 5 * time.Second

// ways are the ways to the store: straight, or by way of a balancer that the
// settings name as a seed. It is used from one goroutine, but for setSeeds.
type ways struct {
	straight *platform.Store
	detours  atomic.Pointer[[]*platform.Store]
	// at is the way in use, 0 for the straight one; until is when it is left.
	at    int
	until time.Duration
}

// setSeeds names the control addresses of balancers.
func (w *ways) setSeeds(seeds []netip.AddrPort) {
	detours := make([]*platform.Store, len(seeds))
	for i, seed := range seeds {
		detours[i] = w.straight.Through(seed)
	}
	w.detours.Store(&detours)
}

func (w *ways) seeds() []*platform.Store {
	if detours := w.detours.Load(); detours != nil {
		return *detours
	}
	return nil
}

// store returns the way to use now.
func (w *ways) store(now time.Duration) *platform.Store {
	detours := w.seeds()
	if w.at > len(detours) || now >= w.until {
		w.at = 0
	}
	if w.at == 0 {
		return w.straight
	}
	return detours[w.at-1]
}

// failed goes on to the next way.
func (w *ways) failed(now time.Duration) {
	w.at = (w.at + 1) % (len(w.seeds()) + 1)
	w.until = now + detourTime
}
