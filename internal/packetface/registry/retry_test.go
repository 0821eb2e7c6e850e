package registry

import (
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/seed"
	"github.com/saltbend/saltbend/internal/store"
)

// retryPauses returns the pauses before the next five calls of a follower whose store has
// just failed, all of which fail, too.
func retryPauses(balancers int, shared bool) (pauses []time.Duration) {
	f := NewFollower(nil, slog.New(slog.NewTextHandler(io.Discard, nil)))
	f.Shared = func() bool { return shared }
	f.Balancers = func() int { return balancers }
	f.Answered, f.Reached = func() {}, func(bool) {}
	f.listing = emptyListing()
	f.reportReached(nil)
	backoff, random := seed.Backoff{Min: retryMin, Max: retryMax}, rand.New(rand.NewPCG(1, 2))
	for range 5 {
		pauses = append(pauses, f.retryAfter(&backoff, random))
		f.reportReached(store.ErrUnavailable)
	}
	return pauses
}

// A watch that fails may have waited for most of the 2 s for which the store's last answer
// counts as recent. If the retry came 200 ms later or more, all balancers that share the
// watch would read the store themselves.
func TestSharedWatchIsRetriedImmediately(t *testing.T) {
	g := NewWithT(t)
	pauses := retryPauses(304, true)
	g.Expect(pauses[0]).To(BeNumerically("<=", 50*time.Millisecond))
	g.Expect(pauses[1:]).To(HaveEach(BeNumerically(">=", retryMin/2)))
	g.Expect(pauses[1:]).To(HaveEach(BeNumerically("<=", retryMax)))
}

// While the store is down no balancer shares the watch of another one. All of them
// together make some 20 to 40 calls a second, whatever the size of the fleet.
func TestUnsharedRetryPauseGrowsWithFleetSize(t *testing.T) {
	g := NewWithT(t)
	for _, balancers := range []int{304, 608} {
		for _, pause := range retryPauses(balancers, false) {
			g.Expect(float64(balancers) / pause.Seconds()).To(BeNumerically("<=", 41))
		}
	}
	g.Expect(retryPauses(4, false)).To(HaveEach(BeNumerically("<=", retryMax)), "a small fleet retries within retryMax")
}
