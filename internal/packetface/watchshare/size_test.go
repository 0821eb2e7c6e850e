package watchshare_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/watchshare"
)

// Tests of the largest fleet in service and of one of twice its balancers: what the
// store is asked does not grow with them, nor does what one host serves.

var sizes = []int{304, 608}

const (
	// callsPerSecond bounds the calls of all balancers together in calm.
	callsPerSecond = 5
	// outageCallsPerSecond bounds those while the store answers nobody: each is paid for, too.
	outageCallsPerSecond = 50
	// maxListenersPerHost bounds those that rely on one host.
	maxListenersPerHost = 32
)

func forEachSize(t *testing.T, test func(g *WithT, f *fleet)) {
	for _, size := range sizes {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			f := newFleet(size, 7)
			test(NewWithT(t), f)
			NewWithT(t).Expect(f.maxListeners).To(BeNumerically("<=", maxListenersPerHost), "listeners of one host")
		})
	}
}

// callsDuring returns the calls that are made in a time.
func (f *fleet) callsDuring(d time.Duration) int {
	before := f.calls
	f.run(d)
	return f.calls - before
}

func TestStartOfLargeFleetCostsFewCalls(t *testing.T) {
	forEachSize(t, func(g *WithT, f *fleet) {
		g.Expect(f.callsDuring(6 * time.Second)).To(BeNumerically("<=", 6*callsPerSecond))
		g.Expect(f.behind()).To(BeEmpty())
	})
}

func TestChangesInLargeFleetCostFewCalls(t *testing.T) {
	forEachSize(t, func(g *WithT, f *fleet) {
		f.run(6 * time.Second)
		before := f.calls
		for range 20 {
			f.change()
			f.run(500 * time.Millisecond)
			g.Expect(f.behind()).To(BeEmpty())
		}
		g.Expect(f.calls-before).To(BeNumerically("<=", 10*callsPerSecond+20*3), "one of each of three watchers for a change")
	})
}

func TestSimultaneousRestartOfLargeFleetCostsFewCalls(t *testing.T) {
	forEachSize(t, func(g *WithT, f *fleet) {
		f.run(6 * time.Second)
		for _, m := range f.members {
			f.start(m)
		}
		calls := f.callsDuring(500 * time.Millisecond)
		g.Expect(f.behind()).To(BeEmpty())
		g.Expect(calls).To(BeNumerically("<=", 20))
	})
}

// The first word of a seed that has just started tells how large the fleet is, and its
// own reading may take long.
func TestStartingBalancerWaitsForSeedThatReadsStore(t *testing.T) {
	forEachSize(t, func(g *WithT, f *fleet) {
		f.run(6 * time.Second)
		f.readingTime = 150 * time.Millisecond
		for _, m := range f.members {
			f.start(m)
		}
		calls := f.callsDuring(600 * time.Millisecond)
		g.Expect(f.behind()).To(BeEmpty())
		g.Expect(calls).To(BeNumerically("<=", 20))
	})
}

// While the store is away every balancer learns that its news are old at the same time.
// When it is back, all know a change soon.
func TestLargeFleetCallsStoreRarelyDuringOutage(t *testing.T) {
	forEachSize(t, func(g *WithT, f *fleet) {
		f.run(6 * time.Second)
		f.down = true
		f.run(watchshare.StaleAfter + 500*time.Millisecond) // each has noticed
		g.Expect(f.callsDuring(4 * time.Second)).To(BeNumerically("<=", 4*outageCallsPerSecond))
		f.down = false
		f.change()
		f.run(watchshare.StaleAfter)
		g.Expect(f.behind()).To(BeEmpty())
		f.run(3 * time.Second)
		g.Expect(f.callsDuring(6 * time.Second)).To(BeNumerically("<=", 6*callsPerSecond))
	})
}

func TestListenersFindSourcesAfterAllWatchersFail(t *testing.T) {
	forEachSize(t, func(g *WithT, f *fleet) {
		f.run(6 * time.Second)
		for _, m := range f.members {
			if _, listens := m.share.Source(); !listens {
				m.dead = true
			}
		}
		f.change()
		f.run(watchshare.StaleAfter + 700*time.Millisecond)
		g.Expect(f.behind()).To(BeEmpty())
		f.run(6 * time.Second)
		g.Expect(f.callsDuring(6*time.Second)).To(BeNumerically("<=", 6*callsPerSecond*2), "all seeds are gone")
	})
}

// A rolling restart of half of the balancers, some of them seeds.
func TestRollingRestartOfLargeFleetCostsFewCalls(t *testing.T) {
	forEachSize(t, func(g *WithT, f *fleet) {
		f.run(6 * time.Second)
		before := f.calls
		const restarts = 100
		for n := range restarts {
			m := f.members[n]
			f.send(m, m.share.Leave(f.clock(m)))
			f.run(100 * time.Millisecond)
			f.start(m)
		}
		f.run(2 * time.Second)
		g.Expect(f.behind()).To(BeEmpty())
		g.Expect(f.calls-before).To(BeNumerically("<=", 12*callsPerSecond+30), "12 s, and some for the three seeds")
	})
}
