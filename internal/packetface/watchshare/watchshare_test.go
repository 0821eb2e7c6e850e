package watchshare_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/watchshare"
	"github.com/saltbend/saltbend/internal/store"
)

// Tests with a fleet in simulated time: a store that changes, balancers that watch it or
// listen to others, and a network that delays and loses messages.

const (
	step = 4 * time.Millisecond
	// firstStart is when the whole system starts for the first time.
	firstStart = time.Second
	// retryPause is the time after which a member with listeners retries a failed call.
	// A member without listeners waits for retryPerBalancer for each balancer of the
	// fleet if that is longer.
	retryPause       = time.Second
	retryPerBalancer = 50 * time.Millisecond
)

// member is a balancer of the fleet.
type member struct {
	host  netip.Addr
	share *watchshare.State
	// knownRevision is the revision that the member knows, lastCall the time of its last
	// call.
	knownRevision store.Position
	lastCall      time.Duration
	// started is when the member was started.
	started time.Duration
	// dead members are down, frozen ones do not run, cut ones do not reach the store.
	dead, frozen, cut bool
	// failed is set if the member's last call failed.
	failed bool
}

type message struct {
	due          time.Duration
	from, to     netip.Addr
	storeUpdate  *inner.StoreUpdate
	watchRequest inner.WatchRequest
}

// fleet is the simulated system.
type fleet struct {
	random   *rand.Rand
	now      time.Duration
	members  []*member
	byHost   map[netip.Addr]*member
	inFlight []message
	loss     float64
	// revision is that of the store, changed the time of its last change.
	revision store.Position
	changed  time.Duration
	// calls counts the calls of the store, maxListeners is the highest number of
	// listeners of a member.
	calls, maxListeners int
	// down is set while the store answers no member. readingTime is how long the store
	// takes to answer a member without a listing.
	down        bool
	readingTime time.Duration
	// sizeUnreported is set if agents do not report the number of balancers.
	sizeUnreported bool
}

func host(n int) netip.Addr { return netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}) }

func newFleet(size int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), now: firstStart, revision: 1, byHost: map[netip.Addr]*member{}}
	for n := range size {
		f.members = append(f.members, &member{host: host(n + 1)})
		f.byHost[host(n+1)] = f.members[n]
		f.start(f.members[n])
	}
	return f
}

// start starts or restarts a member.
func (f *fleet) start(m *member) {
	m.dead, m.frozen, m.started = false, false, f.now
	m.share = watchshare.New(m.host, rand.New(rand.NewPCG(f.random.Uint64(), 2)))
	seeds := []netip.Addr{host(1), host(2), host(3)}
	m.share.SetSeeds(seeds)
	m.share.SetStart(slices.Contains(seeds, m.host), f.now == firstStart)
	m.knownRevision, m.lastCall = 0, 0
}

// clock returns the time since the start of a member.
func (f *fleet) clock(m *member) time.Duration { return f.now - m.started + 1 }

// callStore makes a member's call of the store.
func (f *fleet) callStore(m *member) {
	f.calls++
	m.lastCall, m.failed = f.now, m.cut || f.down
	if m.failed || m.knownRevision == 0 && f.readingTime > 0 {
		return // tick handles the answer after readingTime
	}
	f.handleAnswer(m)
}

func (f *fleet) handleAnswer(m *member) {
	f.send(m, m.share.StoreAnswered(f.clock(m)))
	f.setKnown(m, f.revision)
}

func (f *fleet) setKnown(m *member, revision store.Position) {
	m.knownRevision = max(m.knownRevision, revision)
	f.send(m, m.share.SetKnown(f.clock(m), m.knownRevision))
}

func (f *fleet) send(m *member, messages []watchshare.Send) {
	for _, s := range messages {
		if f.random.Float64() >= f.loss {
			f.inFlight = append(f.inFlight, message{due: f.now + step, from: m.host, to: s.To, storeUpdate: s.StoreUpdate, watchRequest: s.WatchRequest})
		}
	}
}

func (f *fleet) memberAt(host netip.Addr) *member { return f.byHost[host] }

// run advances the simulated time.
func (f *fleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.now += step {
		due := f.inFlight
		f.inFlight = nil
		for _, l := range due {
			f.deliver(l)
		}
		for _, m := range f.members {
			if !m.dead && !m.frozen {
				f.tick(m)
			}
		}
	}
}

func (f *fleet) deliver(l message) {
	m := f.memberAt(l.to)
	switch {
	case l.due > f.now:
		f.inFlight = append(f.inFlight, l)
	case m.dead || m.frozen:
	case l.storeUpdate == nil:
		f.send(m, m.share.HandleWatchRequest(f.clock(m), l.from, l.watchRequest))
	default:
		f.send(m, m.share.HandleStoreUpdate(f.clock(m), l.from, *l.storeUpdate))
	}
}

// tick does what the balancer's process does: it watches the store, or fetches what the
// source has announced.
func (f *fleet) tick(m *member) {
	now := f.clock(m)
	f.send(m, m.share.Tick(now, f.size(m)))
	f.maxListeners = max(f.maxListeners, m.share.Listeners(now))
	source, listens := m.share.Source()
	switch {
	case listens && m.share.Behind():
		if peer := f.memberAt(source); !peer.dead && !peer.frozen {
			f.setKnown(m, peer.knownRevision)
		}
	case listens || m.knownRevision == 0 && !m.share.ShouldReadStore(now):
	case m.knownRevision == 0 && m.lastCall > 0 && !m.failed:
		if f.now-m.lastCall >= f.readingTime {
			f.handleAnswer(m)
		}
	case m.knownRevision == 0 && m.lastCall == 0 || f.now-m.lastCall >= f.pause(m) || m.knownRevision < f.revision && !m.failed:
		f.callStore(m)
	}
}

// size is the number of balancers that a member knows of. It learns the number from
// agents, which it knows once it has a listing.
func (f *fleet) size(m *member) int {
	if m.knownRevision == 0 || f.sizeUnreported {
		return 1
	}
	return len(f.members)
}

// pause is the time to a member's next call if nothing changes.
func (f *fleet) pause(m *member) time.Duration {
	switch {
	case !m.failed:
		return watchshare.WatchWait
	case m.share.Listeners(f.clock(m)) > 0:
		return retryPause
	}
	return max(retryPause, time.Duration(len(f.members))*retryPerBalancer)
}

func (f *fleet) change() { f.revision, f.changed = f.revision+1, f.now }

func (f *fleet) watchers() int {
	n := 0
	for _, m := range f.members {
		if _, listens := m.share.Source(); !listens && !m.dead {
			n++
		}
	}
	return n
}

// behind returns the members that reach the store and lack its newest revision.
func (f *fleet) behind() (hosts []string) {
	for _, m := range f.members {
		if !m.dead && !m.frozen && !m.cut && m.knownRevision < f.revision {
			hosts = append(hosts, m.host.String())
		}
	}
	return hosts
}

func TestFewBalancersWatchInStableFleet(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(60, 1)
	f.run(6 * time.Second)
	g.Expect(f.watchers()).To(BeNumerically("<=", 3))
	before := f.calls
	for range 20 {
		f.change()
		f.run(500 * time.Millisecond)
		g.Expect(f.behind()).To(BeEmpty())
	}
	// 20 changes in 10 s with three watching balancers; 60 would make 1,200 calls.
	g.Expect(f.calls - before).To(BeNumerically("<=", 100))
}

func TestAllBalancersWatchInSmallFleet(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(8, 1)
	f.run(6 * time.Second)
	g.Expect(f.watchers()).To(Equal(8))
}

// However the watching balancers fail, a change reaches every balancer that reaches the
// store within the time in which a configuration must be in force.
func TestChangeArrivesWhenWatchersFail(t *testing.T) {
	const limit = watchshare.StaleAfter + 300*time.Millisecond
	faults := map[string]func(*member){
		"dead":               func(m *member) { m.dead = true },
		"frozen":             func(m *member) { m.frozen = true },
		"cut from the store": func(m *member) { m.cut = true },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(30, 3)
			f.run(6 * time.Second)
			for _, m := range f.members {
				if _, listens := m.share.Source(); !listens {
					fault(m)
				}
			}
			f.change()
			f.run(limit)
			g.Expect(f.behind()).To(BeEmpty())
		})
	}
}

// A watching balancer that is asked to stop announces it. Its listeners find another
// source before their listings are stale, so they make no calls of their own.
func TestListenersFindSourceWhenWatcherStops(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(60, 1)
	f.run(6 * time.Second)
	for n := range 3 {
		m := f.members[n]
		f.send(m, m.share.Stop(f.clock(m)))
		f.run(500 * time.Millisecond)
		m.dead = true
		f.run(1500 * time.Millisecond)
		before := f.calls
		f.start(m)
		f.run(2 * time.Second)
		g.Expect(f.calls-before).To(BeNumerically("<=", 20), "calls in two seconds after the restart of seed %d", n)
		g.Expect(f.watchers()).To(BeNumerically("<=", 5))
	}
}

func TestStoreUpdateOfUnrequestedSenderIsIgnored(t *testing.T) {
	g := NewWithT(t)
	s := watchshare.New(host(9), rand.New(rand.NewPCG(1, 2)))
	s.StoreAnswered(time.Second)
	s.SetKnown(time.Second, 5)
	g.Expect(s.HandleStoreUpdate(time.Second, host(4), inner.StoreUpdate{AcceptsListeners: true, AsOf: 1 << 60})).To(BeEmpty())
	_, listens := s.Source()
	g.Expect(listens).To(BeFalse())
}

// A balancer that cannot serve yet records the asking one and sends it a store update as
// soon as the store has answered.
func TestRefusedBalancerListensOnceSenderCanServe(t *testing.T) {
	g := NewWithT(t)
	s := watchshare.New(host(9), rand.New(rand.NewPCG(1, 2)))
	s.SetSeeds([]netip.Addr{host(1)})
	now := time.Second
	s.StoreAnswered(now)
	s.SetKnown(now, 5)
	g.Expect(s.Tick(now, 20)).To(HaveLen(1))
	s.HandleStoreUpdate(now, host(1), inner.StoreUpdate{AsOf: 5, Age: 5 * time.Second})
	now += 100 * time.Millisecond
	s.HandleStoreUpdate(now, host(2), inner.StoreUpdate{AcceptsListeners: true, AsOf: 6})
	g.Expect(s.Behind()).To(BeFalse(), "this balancer was never asked")
	s.HandleStoreUpdate(now, host(1), inner.StoreUpdate{AcceptsListeners: true, AsOf: 6})
	source, _ := s.Source()
	g.Expect(source).To(Equal(host(1)))
	g.Expect(s.Behind()).To(BeTrue())
}

func TestNumberOfListenersIsBounded(t *testing.T) {
	g := NewWithT(t)
	s := watchshare.New(host(9), rand.New(rand.NewPCG(1, 2)))
	s.StoreAnswered(time.Second)
	for n := range 5000 {
		s.HandleWatchRequest(time.Second, host(n+10), inner.WatchRequest{})
	}
	g.Expect(s.Listeners(time.Second)).To(BeNumerically("<=", 32))
}

// Random sequences of crashes, restarts, freezes, cuts and message losses. A member that
// has run and reached the store for long enough must know the newest change, so listeners
// must not form a cycle for longer than that.
func TestChangesArriveUnderRandomFaults(t *testing.T) {
	const changes = 5
	checkEveryChangeArrives(t, changes)
}

// The faults of TestChangesArriveUnderRandomFaults while the store is also restored from
// older copies, which lowers its revision. A source that has not detected a restore must
// not keep listeners from newer changes.
func TestChangesArriveUnderRandomFaultsAndRestores(t *testing.T) {
	const changesAndReturns = 7
	checkEveryChangeArrives(t, changesAndReturns)
}

// restoreStore restores the store from an older copy, in a new era.
func (f *fleet) restoreStore() {
	back := f.random.Uint64N(f.revision.Revision())
	f.revision, f.changed = store.At(f.revision.Era()+1, f.revision.Revision()-back), f.now
}

// checkEveryChangeArrives runs random steps. kinds is the highest kind of step to use: up
// to 3 are faults, 4 and 5 changes, 6 and 7 restores of the store.
func checkEveryChangeArrives(t *testing.T, kinds int) {
	const limit = watchshare.StaleAfter + 500*time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.IntRange(12, 24).Draw(t, "size"), rapid.Uint64().Draw(t, "seed"))
		f.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		lastEvent := map[*member]time.Duration{}
		for range rapid.IntRange(3, 25).Draw(t, "steps") {
			m := f.members[rapid.IntRange(0, len(f.members)-1).Draw(t, "member")]
			switch rapid.IntRange(0, kinds).Draw(t, "step") {
			case 0:
				m.dead = true
			case 1:
				f.start(m)
			case 2:
				m.frozen = !m.frozen
			case 3:
				m.cut = !m.cut
			case 6, 7:
				f.restoreStore()
			default:
				f.change()
			}
			lastEvent[m] = f.now
			f.run(time.Duration(rapid.SampledFrom([]int{10, 200, 900, 2600}).Draw(t, "ms")) * time.Millisecond)
			for _, m := range f.members {
				exempt := m.dead || m.frozen || m.cut || m.knownRevision >= f.revision
				if !exempt && f.now-max(f.changed, lastEvent[m]) > limit {
					t.Fatalf("%s still lacks revision %s, changed at %s, after %s; %s", m.host, f.revision, f.changed, f.now-f.changed, describe(m))
				}
			}
		}
	})
}

func describe(m *member) string {
	source, listens := m.share.Source()
	return fmt.Sprintf("known revision %s, listening %t, source %s", m.knownRevision, listens, source)
}

// A source that has not detected a restore of the store, or whose version does not report
// eras, would keep its listener from all newer changes.
func TestSourceOfEarlierEraIsAbandoned(t *testing.T) {
	g := NewWithT(t)
	s := watchshare.New(host(2), rand.New(rand.NewPCG(1, 2)))
	s.SetSeeds([]netip.Addr{host(1)})
	now := time.Second
	s.StoreAnswered(now)
	s.SetKnown(now, store.At(1, 52))
	update := func(at store.Position) inner.StoreUpdate { return inner.StoreUpdate{AcceptsListeners: true, AsOf: at} }
	g.Expect(s.Tick(now, 20)).To(ConsistOf(watchshare.Send{To: host(1), WatchRequest: inner.WatchRequest{LargeFleet: true}}))
	s.HandleStoreUpdate(now, host(1), update(store.At(1, 52)))
	_, listens := s.Source()
	g.Expect(listens).To(BeTrue())
	s.SetKnown(now, store.At(2, 48)) // read from the store after a hint
	for range 30 {
		now += 100 * time.Millisecond
		s.Tick(now, 20)
		s.HandleStoreUpdate(now, host(1), update(store.At(1, 60)))
	}
	_, listens = s.Source()
	g.Expect(listens).To(BeFalse(), "the balancer watches the store itself")
	now += 3 * time.Second
	s.StoreAnswered(now)
	g.Expect(s.Tick(now, 20)).NotTo(BeEmpty())
	s.HandleStoreUpdate(now, host(1), update(store.At(2, 50)))
	g.Expect(s.Behind()).To(BeTrue())
}
