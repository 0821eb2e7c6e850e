package registry_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/platform"
	"github.com/saltbend/saltbend/test/packetplatform"
)

// Tests of balancers that load their first listing from another one.

// startAwaitingSource returns a running follower that waits for a source.
func startAwaitingSource(t *testing.T, fake *packetplatform.Store) *follower {
	f := newFollower(t, fake, 20)
	f.AwaitSource = true
	f.start(t)
	return f
}

func TestFollowerStartsFromSource(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	fake.Put(platform.ConfigKey, []byte("1"))
	startPublishingAgent(t, fake, "10.0.0.1:1")
	source := newFollower(t, fake, 20)
	source.known = []steer.Agent{{Addr: netip.MustParseAddrPort("10.0.0.9:1"), Service: 1, DataCentre: "a", Slots: 3}}
	source.start(t)
	g.Eventually(source.hasListing(1, "1"), waitTimeout).Should(BeTrue())
	calls := fake.Calls()
	f := startAwaitingSource(t, fake)
	f.SetSource(startServer(t, source))
	g.Eventually(f.hasListing(1, "1"), waitTimeout).Should(BeTrue())
	g.Eventually(f.asked, waitTimeout).Should(Receive(Equal(source.known)), "agents that the store does not list")
	fake.Put(platform.ConfigKey, []byte("2"))
	g.Eventually(func() bool { f.SourceChanged(); return f.hasListing(1, "2")() }, waitTimeout).Should(BeTrue())
	watches := 2 // of the source: the one that returned the change, and the next
	g.Expect(fake.Calls() - calls).To(BeNumerically("<=", watches))
}

func TestFollowerWithoutSourceReadsStore(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	fake.Put(platform.ConfigKey, []byte("1"))
	f := startAwaitingSource(t, fake)
	g.Consistently(f.hasListing(0, "1"), 100*time.Millisecond).Should(BeFalse())
	g.Expect(fake.Readings()).To(BeZero())
	f.ReadStore()
	g.Eventually(f.hasListing(0, "1"), waitTimeout).Should(BeTrue())
}

func TestFollowerReadsStoreWhenFirstSourceIsUnreachable(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	fake.Put(platform.ConfigKey, []byte("1"))
	f := startAwaitingSource(t, fake)
	f.SetSource(netip.MustParseAddrPort("127.0.0.1:1"))
	g.Eventually(f.hasListing(0, "1"), waitTimeout).Should(BeTrue())
}

// When the store drops its history, the watching balancer reads all keys. Its listeners
// receive only the differences, including removed keys.
func TestListenersReceiveDifferencesAfterCompaction(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	fake.Put(platform.ConfigKey, []byte("1"))
	leaving, _ := startPublishingAgent(t, fake, "10.0.0.1:1")
	startPublishingAgent(t, fake, "10.0.0.2:1")
	watcher := startFollower(t, fake, 1)
	g.Eventually(watcher.hasListing(2, "1"), waitTimeout).Should(BeTrue())
	source := startServer(t, watcher)
	listener := startAwaitingSource(t, fake)
	listener.SetSource(source)
	g.Eventually(listener.hasListing(2, "1"), waitTimeout).Should(BeTrue())
	before := listener.listAge().AsOf

	fake.Fail(packetplatform.Silent)
	g.Eventually(watcher.reachedNow, waitTimeout).Should(BeFalse())
	leaving.SetEntry(nil)
	fake.Fail(0)
	g.Eventually(func() []string { return fake.Keys("saltbend/agents/") }, waitTimeout).Should(HaveLen(1))
	fake.Put(platform.ConfigKey, []byte("2"))
	fake.Compact()
	g.Eventually(watcher.hasListing(1, "2"), waitTimeout).Should(BeTrue())
	g.Expect(changesSince(t, source, before)).To(HaveLen(2), "the configuration, and the removed agent")
	g.Eventually(func() bool { listener.SourceChanged(); return listener.hasListing(1, "2")() }, waitTimeout).Should(BeTrue())
}

// A balancer that has read the store requests the agents that it lacks from the seeds. A
// seed with an older listing refuses, and its agents must not appear in the result.
func TestFollowerTakesUnlistedAgentsOfUpToDateSeed(t *testing.T) {
	g := NewWithT(t)
	behind, fake := newStore(t), newStore(t)
	lagging := newFollower(t, behind, 20)
	lagging.known = []steer.Agent{{Addr: netip.MustParseAddrPort("10.0.0.8:1"), Service: 1, DataCentre: "a"}}
	lagging.start(t)
	seed := newFollower(t, fake, 20)
	seed.known = []steer.Agent{{Addr: netip.MustParseAddrPort("10.0.0.9:1"), Service: 1, DataCentre: "a"}}
	fake.Put(platform.ConfigKey, []byte("1"))
	seed.start(t)
	g.Eventually(seed.hasListing(0, "1"), waitTimeout).Should(BeTrue())
	g.Eventually(lagging.reachedNow, waitTimeout).Should(BeTrue())
	f := newFollower(t, fake, 20)
	f.SetSeeds([]netip.AddrPort{startServer(t, lagging), startServer(t, seed)})
	f.start(t)
	g.Eventually(f.asked, waitTimeout).Should(Receive(Equal(seed.known)))
}
