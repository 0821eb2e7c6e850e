package flow

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var (
	start  = time.Unix(1_000_000, 0)
	caller = Key{Caller: addr(9, 5000), Face: addr(8, 443)}
)

func addr(host byte, port uint16) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, host}), port)
}

// simulation runs Paths in steps of one millisecond, with balancers that answer
// probes unless they have failed.
type simulation struct {
	paths     *Paths
	now       time.Time
	balancers []netip.AddrPort
	// failed balancers neither answer probes nor carry replies.
	failed map[netip.AddrPort]bool
	probes int
}

func newSimulation(balancers int) *simulation {
	w := &simulation{paths: NewPaths(0), now: start, failed: map[netip.AddrPort]bool{}}
	for i := range balancers {
		w.balancers = append(w.balancers, addr(byte(i+1), 7000))
	}
	w.paths.SetLive(w.now, w.balancers)
	return w
}

// run advances the time by d and calls each in every millisecond.
func (w *simulation) run(d time.Duration, each func(elapsed time.Duration)) {
	for elapsed := time.Duration(0); elapsed < d; elapsed += time.Millisecond {
		w.now = w.now.Add(time.Millisecond)
		if elapsed%TickEvery == 0 {
			w.tick()
		}
		each(elapsed)
	}
}

func (w *simulation) tick() {
	for _, p := range w.paths.Tick(w.now) {
		w.probes++
		if !w.failed[p.Balancer] {
			w.paths.Answered(w.now, p.Balancer, p.Nonce)
		}
	}
}

func TestReplyUsesTheBalancerThatLastCarriedTheFlow(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(3)
	for _, b := range []int{0, 2, 1, 1, 0} {
		f := w.paths.Arrived(w.now, caller, w.balancers[b])
		g.Expect(w.paths.Choose(w.now, f)).To(Equal(w.balancers[b]))
		w.now = w.now.Add(silentAfter)
		g.Expect(w.paths.Choose(w.now, f)).To(Equal(w.balancers[b]), "the caller's last datagram is not older than silentAfter")
	}
}

func TestRepliesToAnActiveCallerChangeBalancerAtMostOncePerRotation(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(3)
	changes := 0
	var last netip.AddrPort
	const span = 200 * time.Millisecond
	w.run(span, func(elapsed time.Duration) {
		f := w.paths.Arrived(w.now, caller, w.balancers[int(elapsed/time.Millisecond)%3])
		if via := w.paths.Choose(w.now, f); via != last {
			last = via
			changes++
		}
	})
	g.Expect(changes).To(BeNumerically("<=", int(span/rotateEvery)+1))
}

func TestBalancerOutsideMembershipIsUsedUntilItStopsCarryingDatagrams(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(1)
	stranger := addr(77, 7000)
	f := w.paths.Arrived(w.now, caller, stranger)
	g.Expect(w.paths.Choose(w.now, f)).To(Equal(stranger))
	w.run(balancerTTL+2*TickEvery, func(time.Duration) {})
	for range 50 {
		g.Expect(w.paths.Choose(w.now, f)).To(Equal(w.balancers[0]))
		w.now = w.now.Add(time.Millisecond)
	}
}

func TestReplyUsesTheLastBalancerWhenNoneIsUsable(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(1)
	w.failed[w.balancers[0]] = true
	f := w.paths.Arrived(w.now, caller, w.balancers[0])
	w.run(time.Second, func(time.Duration) {
		g.Expect(w.paths.Choose(w.now, f)).To(Equal(w.balancers[0]))
	})
	g.Expect(w.paths.Suspects()).To(Equal(1))
}

// A balancer can forward callers' datagrams to the agent and drop all replies.
// Datagrams received from it must not make the agent treat it as working.
func TestBalancerThatDropsRepliesIsAvoidedThoughItForwardsDatagrams(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(3)
	cut := w.balancers[1]
	w.failed[cut] = true
	lost := 0
	w.run(2*time.Second, func(elapsed time.Duration) {
		via := w.balancers[int(elapsed/time.Millisecond)%3]
		f := w.paths.Arrived(w.now, caller, via)
		if w.paths.Choose(w.now, f) == cut {
			lost++
			g.Expect(elapsed).To(BeNumerically("<", time.Second))
		}
	})
	g.Expect(lost).To(BeNumerically(">", 0))
	g.Expect(w.paths.Suspects()).To(Equal(1))
	delete(w.failed, cut)
	w.run(time.Second, func(time.Duration) { w.paths.Arrived(w.now, caller, cut) })
	g.Expect(w.paths.Suspects()).To(BeZero(), "an answered probe clears the suspicion")
}

// A feed sends occasional events to a silent caller and retransmits lost ones at
// QUIC's growing probe timeouts. Whichever balancers fail, one of the first
// retransmissions must go through a working balancer, and after 2 s all
// datagrams must.
func TestSilentFlowAvoidsFailedBalancers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		n := rapid.IntRange(2, 5).Draw(t, "balancers")
		w := newSimulation(n)
		f := w.paths.Arrived(w.now, caller, w.balancers[0])
		w.run(time.Duration(rapid.IntRange(300, 3000).Draw(t, "quiet"))*time.Millisecond, func(time.Duration) {})
		good := rapid.IntRange(0, n-1).Draw(t, "good")
		for i, b := range w.balancers {
			w.failed[b] = i != good && rapid.Bool().Draw(t, fmt.Sprintf("bad%d", i))
		}
		var firstGood time.Duration = -1
		late := 0
		w.run(4*time.Second, func(elapsed time.Duration) {
			if elapsed%(25*time.Millisecond) != 0 {
				return
			}
			failed := w.failed[w.paths.Choose(w.now, f)]
			if !failed && firstGood < 0 {
				firstGood = elapsed
			}
			if failed && elapsed > 2*time.Second {
				late++
			}
		})
		g.Expect(firstGood).To(BeNumerically(">=", 0))
		g.Expect(firstGood).To(BeNumerically("<=", time.Duration(n)*rotateEvery*2))
		g.Expect(late).To(BeZero())
	})
}

// Events with a period that is a multiple of the rotation's period must not all
// go through the same balancer.
func TestRegularEventsOfASilentFlowUseAllBalancers(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(5)
	f := w.paths.Arrived(w.now, caller, w.balancers[0])
	w.run(time.Second, func(time.Duration) {})
	taken := map[netip.AddrPort]bool{}
	w.run(time.Second, func(elapsed time.Duration) {
		if elapsed%(5*rotateEvery) == 0 {
			taken[w.paths.Choose(w.now, f)] = true
		}
	})
	g.Expect(taken).To(HaveLen(5))
}

func TestProbesStayWithinTheirBudgetAndStopWithoutTraffic(t *testing.T) {
	g := NewWithT(t)
	const span = 10 * time.Second
	for _, fleet := range []struct{ balancers, perSecond int }{{fewBalancers, probesPerSecond}, {200, reducedProbesPerSecond}} {
		w := newSimulation(fleet.balancers)
		for i, b := range w.balancers {
			w.failed[b] = i%2 == 0
		}
		w.run(span, func(elapsed time.Duration) {
			via := w.balancers[int(elapsed/time.Millisecond)%len(w.balancers)]
			w.paths.Choose(w.now, w.paths.Arrived(w.now, caller, via))
		})
		most := fleet.perSecond * int(span/time.Second)
		g.Expect(w.probes).To(BeNumerically("<=", probeBurst+most))
		g.Expect(w.probes).To(BeNumerically(">=", most/2))
	}

	quiet := newSimulation(3)
	quiet.run(span, func(time.Duration) {})
	g.Expect(quiet.probes).To(BeZero())
}

func TestAnswersToUnknownProbesAreIgnored(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(2)
	w.failed[w.balancers[0]], w.failed[w.balancers[1]] = true, true
	f := w.paths.Arrived(w.now, caller, w.balancers[0])
	w.run(time.Second, func(time.Duration) { w.paths.Choose(w.now, f) })
	g.Expect(w.paths.Suspects()).To(Equal(2))
	w.paths.Answered(w.now, w.balancers[0], 0)
	w.paths.Answered(w.now, w.balancers[0], 1_000_000)
	w.paths.Answered(w.now, addr(99, 1), 1)
	g.Expect(w.paths.Suspects()).To(Equal(2))
}

func TestFlowTableIsBoundedAndExpires(t *testing.T) {
	g := NewWithT(t)
	w := newSimulation(2)
	open := w.paths.Arrived(w.now, caller, w.balancers[0])
	for i := range 4 * maxFlows {
		key := Key{Caller: addr(byte(200+i>>16), uint16(i)), Face: caller.Face}
		w.paths.Arrived(w.now, key, w.balancers[0])
	}
	g.Expect(w.paths.Flows()).To(Equal(maxFlows))
	delete(w.paths.flows, caller) // most likely evicted already
	g.Expect(w.balancers).To(ContainElement(w.paths.Choose(w.now, open)), "replies of an evicted flow are still sent")
	w.now = w.now.Add(rotateEvery)
	w.paths.Arrived(w.now, caller, w.balancers[1])
	g.Expect(w.paths.Choose(w.now, open)).To(Equal(w.balancers[1]), "the caller's next datagram restores the flow")

	w.now = w.now.Add(MaxIdleTimeout)
	w.paths.Expire(w.now)
	g.Expect(w.paths.Flows()).To(Equal(maxFlows), "flows are kept beyond QUIC's idle timeout")
	w.now = w.now.Add(flowTTL)
	w.paths.Expire(w.now)
	g.Expect(w.paths.Flows()).To(BeZero())
}

func TestPlacementsAreCachedForSecondsAndBounded(t *testing.T) {
	g := NewWithT(t)
	h := newPlacementCache()
	key := makeDCIDKey([]byte("abcdefgh"))
	to := addr(5, 5)
	h.put(start, key, to)
	for i := range 10 * time.Second / time.Second {
		got, ok := h.get(start.Add(i*time.Second), key)
		g.Expect(ok).To(BeTrue())
		g.Expect(got).To(Equal(to))
	}
	_, ok := h.get(start.Add(time.Minute), makeDCIDKey([]byte("abcdefgh\x00")))
	g.Expect(ok).To(BeFalse(), "the length is part of the ID")
	for i := range 3 * maxPlacements {
		h.put(start.Add(time.Minute), makeDCIDKey(fmt.Append(nil, i)), to)
	}
	g.Expect(len(h.current) + len(h.previous)).To(BeNumerically("<=", 2*maxPlacements))
}
