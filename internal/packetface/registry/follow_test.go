package registry_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/registry"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
	"github.com/saltbend/saltbend/test/packetplatform"
)

const waitTimeout = 20 * time.Second

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// follower wraps a Follower and records what its callbacks report.
type follower struct {
	*registry.Follower

	mu      sync.Mutex
	agents  int
	config  string
	reached []bool
	age     steer.ListAge
	// evacuations is the number of data centres with a requested evacuation.
	evacuations int

	// known are the agents that the follower returns to others; asked receives those that
	// others returned to it.
	known []steer.Agent
	asked chan []steer.Agent
}

func (f *follower) view() (agents int, config string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.agents, f.config
}

func (f *follower) hasListing(agents int, config string) func() bool {
	return func() bool {
		a, c := f.view()
		return a == agents && c == config
	}
}

func (f *follower) listAge() steer.ListAge {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.age
}

func (f *follower) evacuated() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.evacuations > 0
}

func (f *follower) reachedNow() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.reached) > 0 && f.reached[len(f.reached)-1]
}

func startFollower(t *testing.T, fake *packetplatform.Store, balancers int) *follower {
	f := newFollower(t, fake, balancers)
	f.start(t)
	return f
}

// start runs the follower until the test ends.
func (f *follower) start(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go f.Run(ctx)
}

// newFollower returns a follower that is not running yet.
func newFollower(t *testing.T, fake *packetplatform.Store, balancers int) *follower {
	f := &follower{Follower: registry.NewFollower(client(fake), discardLog)}
	f.Changed = func(l *registry.Listing) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.agents, f.config, f.age = len(l.Agents()), string(l.Config), l.Age()
		evacuations := l.Evacuations()
		f.evacuations = len(evacuations.Requests())
	}
	f.Reached = func(ok bool) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.reached = append(f.reached, ok)
	}
	f.Answered = func() {}
	f.Balancers = func() int { return balancers }
	f.Known = func() []steer.Agent { return f.known }
	f.Unlisted = func() []steer.Agent { return f.known }
	f.AgentsReceived = func(agents []steer.Agent) { f.asked <- agents }
	f.asked = make(chan []steer.Agent, 1)
	return f
}

// handlerOf returns the HTTP handler of a follower.
func handlerOf(f *registry.Follower) http.Handler {
	mux := http.NewServeMux()
	f.Handle(mux)
	return mux
}

func client(fake *packetplatform.Store) *platform.Store {
	return platform.NewStore(netip.MustParseAddrPort(fake.Address()))
}

func newStore(t *testing.T) *packetplatform.Store {
	fake := packetplatform.NewStore()
	t.Cleanup(fake.Close)
	return fake
}

// startPublishingAgent runs an agent that maintains its entry.
func startPublishingAgent(t *testing.T, fake *packetplatform.Store, addr string) (agent *registry.EntryKeeper, entry *registry.Entry) {
	agent, entry = startAgent(t, fake, addr)
	agent.SetEntry(entry)
	return agent, entry
}

// startInheritingAgent is like startAgent, for a process that replaces an earlier one.
func startInheritingAgent(t *testing.T, fake *packetplatform.Store, addr string) (agent *registry.EntryKeeper, entry *registry.Entry) {
	return startConfiguredAgent(t, fake, addr, (*registry.EntryKeeper).Inherit)
}

// storedAgents returns the agents that the store lists.
func storedAgents(t *testing.T, fake *packetplatform.Store) []steer.Agent {
	g := NewWithT(t)
	items, revision, err := client(fake).Range(t.Context(), "")
	g.Expect(err).NotTo(HaveOccurred())
	l, _ := registry.NewListing(items, revision)
	return l.Agents()
}

// startAgent runs an agent that wants no entry yet.
func startAgent(t *testing.T, fake *packetplatform.Store, addr string) (agent *registry.EntryKeeper, entry *registry.Entry) {
	return startConfiguredAgent(t, fake, addr, func(*registry.EntryKeeper) {})
}

func startConfiguredAgent(t *testing.T, fake *packetplatform.Store, addr string, prepare func(*registry.EntryKeeper)) (agent *registry.EntryKeeper, entry *registry.Entry) {
	started := time.Now()
	entry = &registry.Entry{Addr: netip.MustParseAddrPort(addr), Service: "s", DataCentre: "a", Slots: 3}
	agent = registry.NewEntryKeeper(client(fake), discardLog, func() time.Duration { return time.Since(started) + 1 }, *entry)
	agent.PositionObserved = func(store.Position) {}
	prepare(agent)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go agent.Run(ctx)
	return agent, entry
}

func TestFollowerListsAgentsAndConfiguration(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	fake.Put(platform.ConfigKey, []byte("1"))
	fake.Put("saltbend/agents/garbage", []byte("{"))
	fake.Put("servers/other", nil)
	f := startFollower(t, fake, 20)
	agent, _ := startPublishingAgent(t, fake, "10.0.0.1:1")
	g.Eventually(f.hasListing(1, "1"), waitTimeout).Should(BeTrue())
	fake.Put(platform.ConfigKey, []byte("2"))
	g.Eventually(f.hasListing(1, "2"), waitTimeout).Should(BeTrue())
	agent.SetEntry(nil)
	g.Eventually(f.hasListing(0, "2"), waitTimeout).Should(BeTrue())
}

func TestFollowerCatchesUpAfterOutage(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	agent, _ := startPublishingAgent(t, fake, "10.0.0.1:1")
	f := startFollower(t, fake, 20)
	g.Eventually(f.hasListing(1, ""), waitTimeout).Should(BeTrue())
	fake.Fail(http.StatusServiceUnavailable)
	g.Eventually(f.reachedNow, waitTimeout).Should(BeFalse())
	fake.Lapse() // the leases expire during the outage
	fake.Put(platform.ConfigKey, []byte("2"))
	fake.Fail(0)
	g.Eventually(f.hasListing(0, "2"), waitTimeout).Should(BeTrue())
	agent.EntryMissing() // as a balancer does that misses the entry
	g.Eventually(f.hasListing(1, "2"), waitTimeout).Should(BeTrue())
	g.Expect(f.reachedNow()).To(BeTrue())
}

func TestFollowerReadsAllKeysAfterCompaction(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	f := startFollower(t, fake, 1)
	g.Eventually(f.reachedNow, waitTimeout).Should(BeTrue())
	fake.Compact()
	fake.Put(platform.ConfigKey, []byte("2"))
	fake.Compact()
	g.Eventually(f.hasListing(0, "2"), waitTimeout).Should(BeTrue())
}

// A hint ends a waiting watch, so that a watch that misses changes does no harm. Hints in
// quick succession must not keep the reading from completing.
func TestHintsMakeFollowerReadStore(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	f := startFollower(t, fake, 20) // watches wait for 10 s
	g.Eventually(f.reachedNow, waitTimeout).Should(BeTrue())
	before := fake.Readings()
	g.Eventually(func() bool {
		f.Hint(netip.AddrPort{}, 0)
		return fake.Readings() >= before+2
	}, waitTimeout).Should(BeTrue())
}

func TestAgentIsListedAfterLostAnswer(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	fake.LoseAnswers(1)
	startPublishingAgent(t, fake, "10.0.0.1:1")
	g.Eventually(func() []string { return fake.Keys("saltbend/") }, waitTimeout).Should(Equal([]string{"saltbend/agents/10.0.0.1:1"}))
	f := startFollower(t, fake, 1)
	g.Eventually(f.hasListing(1, ""), waitTimeout).Should(BeTrue())
}

// A balancer whose calls the store refuses merges the listing of one that the store
// serves.
func TestFollowerMergesListingOfPeerWhenStoreRefuses(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	fake.Put(platform.ConfigKey, []byte("1"))
	served := startFollower(t, fake, 20)
	peer := httptest.NewServer(handlerOf(served.Follower))
	t.Cleanup(peer.Close)

	cut := newStore(t) // the same store as another host sees it
	cut.Put(platform.ConfigKey, []byte("1"))
	refused := startFollower(t, cut, 20)
	g.Eventually(refused.hasListing(0, "1"), waitTimeout).Should(BeTrue())
	cut.Fail(http.StatusServiceUnavailable)
	fake.Put(platform.ConfigKey, []byte("2"))
	startPublishingAgent(t, fake, "10.0.0.1:1")
	g.Eventually(served.hasListing(1, "2"), waitTimeout).Should(BeTrue())
	g.Eventually(func() bool {
		refused.Hint(netip.MustParseAddrPort(peer.Listener.Addr().String()), 0)
		return refused.hasListing(1, "2")()
	}, waitTimeout).Should(BeTrue())
}

// One balancer has seen the entry of an agent that has left since; the other one has read
// the store only after that. The listing of the first must not count as newer than that
// of the second.
func TestFollowerStartedAfterRemovalIsUpToDate(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	early := startFollower(t, fake, 20)
	startPublishingAgent(t, fake, "10.0.0.1:1")
	leaving, _ := startPublishingAgent(t, fake, "10.0.0.2:1")
	g.Eventually(early.hasListing(2, ""), waitTimeout).Should(BeTrue())
	leaving.SetEntry(nil)
	g.Eventually(early.hasListing(1, ""), waitTimeout).Should(BeTrue())
	late := startFollower(t, fake, 20)
	g.Eventually(late.hasListing(1, ""), waitTimeout).Should(BeTrue())
	g.Expect(late.listAge().AsOf).To(BeNumerically(">=", early.listAge().Newest))
	g.Expect(late.listAge().Newest).To(BeNumerically("<=", late.listAge().AsOf))
}

// A balancer that starts while the store refuses calls or does not answer loads the
// newest listing of a seed, and continues from there when the store answers again.
func TestFollowerStartsFromSeedWhenStoreFails(t *testing.T) {
	for name, status := range map[string]int{"refused": http.StatusServiceUnavailable, "silent": packetplatform.Silent} {
		t.Run(name, func(t *testing.T) { testStartFromSeed(t, status) })
	}
}

func testStartFromSeed(t *testing.T, status int) {
	g := NewWithT(t)
	fake := newStore(t)
	fake.Put(platform.ConfigKey, []byte("1"))
	served := startFollower(t, fake, 20)
	startPublishingAgent(t, fake, "10.0.0.1:1")
	g.Eventually(served.hasListing(1, "1"), waitTimeout).Should(BeTrue())
	seed := httptest.NewServer(handlerOf(served.Follower))
	t.Cleanup(seed.Close)
	empty := httptest.NewServer(handlerOf(registry.NewFollower(client(fake), discardLog)))
	t.Cleanup(empty.Close)

	fake.Fail(status)
	late := newFollower(t, fake, 20)
	late.SetSeeds([]netip.AddrPort{
		netip.MustParseAddrPort(empty.Listener.Addr().String()),
		netip.MustParseAddrPort(seed.Listener.Addr().String()),
		netip.MustParseAddrPort("127.0.0.1:1"), // gone
	})
	late.start(t)
	g.Eventually(late.hasListing(1, "1"), waitTimeout).Should(BeTrue())
	g.Expect(late.reachedNow()).To(BeFalse())
	fake.Put(platform.ConfigKey, []byte("2"))
	fake.Fail(0)
	g.Eventually(late.hasListing(1, "2"), waitTimeout).Should(BeTrue())
	g.Eventually(late.reachedNow, waitTimeout).Should(BeTrue())
}

// An agent whose calls the store refuses from its start is listed through a balancer that
// relays them.
func TestAgentIsListedThroughSeedWhenStoreRefuses(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	served := startFollower(t, fake, 20)
	g.Eventually(served.reachedNow, waitTimeout).Should(BeTrue())
	seed := httptest.NewServer(handlerOf(served.Follower))
	t.Cleanup(seed.Close)
	refusing := newStore(t)
	refusing.Fail(http.StatusTooManyRequests)
	agent, entry := startAgent(t, refusing, "10.0.0.1:1")
	agent.SetSeeds([]netip.AddrPort{
		netip.MustParseAddrPort("127.0.0.1:1"), // gone
		netip.MustParseAddrPort(seed.Listener.Addr().String()),
	})
	agent.SetEntry(entry)
	g.Eventually(served.hasListing(1, ""), waitTimeout).Should(BeTrue())
	fake.Lapse()
	g.Eventually(func() bool {
		agent.EntryMissing()
		return len(fake.Keys("saltbend/agents/")) == 1
	}, waitTimeout).Should(BeTrue())
	agent.SetEntry(nil)
	g.Eventually(served.hasListing(0, ""), waitTimeout).Should(BeTrue())
}

// A balancer that starts receives the agents whose entries have expired from its seeds.
// Seeds that are down must not delay it.
func TestFollowerRequestsUnlistedAgentsFromSeeds(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	early := newFollower(t, fake, 20)
	early.known = []steer.Agent{{Addr: netip.MustParseAddrPort("10.0.0.1:1"), Service: 1 << 63, DataCentre: "a", Slots: 3}}
	early.start(t)
	g.Eventually(early.reachedNow, waitTimeout).Should(BeTrue())
	g.Eventually(early.asked, waitTimeout).Should(Receive(BeEmpty()))
	seed := httptest.NewServer(handlerOf(early.Follower))
	t.Cleanup(seed.Close)
	late := newFollower(t, fake, 20)
	late.SetSeeds([]netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort(seed.Listener.Addr().String())})
	late.start(t)
	g.Eventually(late.asked, waitTimeout).Should(Receive(Equal(early.known)))
}
