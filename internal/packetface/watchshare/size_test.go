package watchshare_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/watchshare"
)

// Tests of the largest fleet in production and of one with twice its balancers. Neither
// the calls of the store nor the listeners of one host may grow with the number of
// balancers.

var sizes = []int{304, 608}

const (
	// callsPerSecond bounds the calls of all balancers together while nothing fails.
	callsPerSecond = 5
	// outageCallsPerSecond bounds the calls while the store answers no balancer; calls
	// without an answer are paid for, too.
	outageCallsPerSecond = 50
	// maxListenersPerHost bounds the listeners of one host.
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

// callsDuring runs the fleet for some time and returns the number of calls made.
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
		g.Expect(f.calls-before).To(BeNumerically("<=", 10*callsPerSecond+20*3), "three watching balancers make one call each for a change")
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

// The first store update of a seed that has just started shows that the fleet is large.
// Starting balancers then have to wait until the seed has read the store, even if that takes
// long.
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

// In an outage of the store the listings of all balancers become stale at the same time,
// and they must not all call the store. After the outage every balancer receives a change
// soon.
func TestLargeFleetCallsStoreRarelyDuringOutage(t *testing.T) {
	forEachSize(t, func(g *WithT, f *fleet) {
		f.run(6 * time.Second)
		f.down = true
		f.run(watchshare.StaleAfter + 500*time.Millisecond) // every balancer has detected the outage
		g.Expect(f.callsDuring(4 * time.Second)).To(BeNumerically("<=", 4*outageCallsPerSecond))
		f.down = false
		f.change()
		f.run(watchshare.StaleAfter)
		g.Expect(f.behind()).To(BeEmpty())
		f.run(3 * time.Second)
		g.Expect(f.callsDuring(6 * time.Second)).To(BeNumerically("<=", 6*callsPerSecond))
	})
}

// At these seeds a balancer without listeners was referred, just after the outage, to a
// balancer that had not found a source itself yet, and had to search twice.
func TestBalancersWithoutListenersReceiveChangeAfterOutage(t *testing.T) {
	for _, seed := range []uint64{2, 24, 54, 58} {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(sizes[0], seed)
			f.run(6 * time.Second)
			f.down = true
			f.run(watchshare.StaleAfter + 4500*time.Millisecond)
			f.down = false
			f.change()
			g.Expect(f.callsDuring(watchshare.StaleAfter)).To(BeNumerically("<=", 2*outageCallsPerSecond))
			g.Expect(f.behind()).To(BeEmpty())
		})
	}
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
		g.Expect(f.callsDuring(6*time.Second)).To(BeNumerically("<=", 6*callsPerSecond*2), "all seeds are down")
	})
}

// The test restarts a part of the balancers one after the other, among them the seeds.
func TestRollingRestartOfLargeFleetCostsFewCalls(t *testing.T) {
	forEachSize(t, func(g *WithT, f *fleet) {
		f.run(6 * time.Second)
		before := f.calls
		const restarts = 100
		for n := range restarts {
			m := f.members[n]
			f.send(m, m.share.Stop(f.clock(m)))
			f.run(100 * time.Millisecond)
			f.start(m)
		}
		f.run(2 * time.Second)
		g.Expect(f.behind()).To(BeEmpty())
		g.Expect(f.calls-before).To(BeNumerically("<=", 12*callsPerSecond+30), "calls of 12 s, and 30 for the restarts of the three seeds")
	})
}

// idleFleet is a fleet whose members start one after the other and in which no agent
// reports the number of balancers: agents count balancers by their datagrams of the last
// 10 s, which are rare while there are no callers.
func idleFleet(size int, loss float64) *fleet {
	const startInterval = 2 * time.Second
	f := newFleet(size, 11)
	f.sizeUnreported, f.loss = true, loss
	for _, m := range f.members {
		m.dead = true
	}
	for _, m := range f.members {
		f.start(m)
		f.run(startInterval)
	}
	return f
}

func TestBalancersOfIdleFleetLearnItsSizeFromEachOther(t *testing.T) {
	for _, loss := range []float64{0, 0.2} {
		t.Run(fmt.Sprintf("loss %v", loss), func(t *testing.T) {
			g := NewWithT(t)
			f := idleFleet(14, loss)
			f.run(20 * time.Second)
			f.loss = 0
			f.run(2 * time.Second)
			g.Expect(f.watchers()).To(BeNumerically("<=", 3))
		})
	}
}

// The seeds restart together and know nothing of the fleet any more. A balancer that starts
// after them must still learn that watches are shared.
func TestSizeOfIdleFleetSurvivesRestartOfAllSeeds(t *testing.T) {
	g := NewWithT(t)
	f := idleFleet(14, 0)
	f.run(20 * time.Second)
	for _, m := range f.members[:3] {
		f.start(m)
	}
	f.run(6 * time.Second)
	f.start(f.members[13])
	f.run(6 * time.Second)
	g.Expect(f.watchers()).To(BeNumerically("<=", 3))
}

// A fleet that is too small to share watches keeps its long watches: a balancer that is
// asked for the size of the fleet must not take the asking one as a listener.
func TestBalancersOfSmallIdleFleetHaveNoListeners(t *testing.T) {
	g := NewWithT(t)
	f := idleFleet(11, 0)
	for range 50 {
		f.run(200 * time.Millisecond)
		g.Expect(f.watchers()).To(Equal(11))
		for _, m := range f.members {
			g.Expect(m.share.Listeners(f.clock(m))).To(BeZero())
		}
	}
}
