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

// Tests of balancers that start with what another one knows.

// waiting returns a follower that waits for a source.
func waiting(t *testing.T, fake *packetplatform.Store) *follower {
	f := prepare(t, fake, 20)
	f.AwaitSource = true
	f.start(t)
	return f
}

func TestFollowerStartsFromSource(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	fake.Put(platform.ConfigKey, []byte("1"))
	publish(t, fake, "10.0.0.1:1")
	source := prepare(t, fake, 20)
	source.known = []steer.Agent{{Addr: netip.MustParseAddrPort("10.0.0.9:1"), Service: 1, DataCentre: "a", Slots: 3}}
	source.start(t)
	g.Eventually(source.sees(1, "1"), patience).Should(BeTrue())
	calls := fake.Calls()
	f := waiting(t, fake)
	f.Listen(serve(t, source))
	g.Eventually(f.sees(1, "1"), patience).Should(BeTrue())
	g.Eventually(f.asked, patience).Should(Receive(Equal(source.known)), "agents that the store does not list")
	fake.Put(platform.ConfigKey, []byte("2"))
	g.Eventually(func() bool { f.News(); return f.sees(1, "2")() }, patience).Should(BeTrue())
	watches := 2 // of the source: the one that told of the change, and the next
	g.Expect(fake.Calls() - calls).To(BeNumerically("<=", watches))
}

func TestFollowerWithoutSourceReadsStore(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	fake.Put(platform.ConfigKey, []byte("1"))
	f := waiting(t, fake)
	g.Consistently(f.sees(0, "1"), 100*time.Millisecond).Should(BeFalse())
	g.Expect(fake.Readings()).To(BeZero())
	f.ReadStore()
	g.Eventually(f.sees(0, "1"), patience).Should(BeTrue())
}

func TestFollowerReadsStoreWhenFirstSourceIsUnreachable(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	fake.Put(platform.ConfigKey, []byte("1"))
	f := waiting(t, fake)
	f.Listen(netip.MustParseAddrPort("127.0.0.1:1"))
	g.Eventually(f.sees(0, "1"), patience).Should(BeTrue())
}

// The store drops its history: the balancer that watches reads everything, and those that
// listen to it get the few changes since, also that a key is gone.
func TestListenersReceiveDifferencesAfterCompaction(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	fake.Put(platform.ConfigKey, []byte("1"))
	leaving, _ := publish(t, fake, "10.0.0.1:1")
	publish(t, fake, "10.0.0.2:1")
	watcher := follow(t, fake, 1)
	g.Eventually(watcher.sees(2, "1"), patience).Should(BeTrue())
	source := serve(t, watcher)
	listener := waiting(t, fake)
	listener.Listen(source)
	g.Eventually(listener.sees(2, "1"), patience).Should(BeTrue())
	before := listener.listAge().AsOf

	fake.Fail(packetplatform.Silent)
	g.Eventually(watcher.reachedNow, patience).Should(BeFalse())
	leaving.Want(nil)
	fake.Fail(0)
	g.Eventually(func() []string { return fake.Keys("saltbend/agents/") }, patience).Should(HaveLen(1))
	fake.Put(platform.ConfigKey, []byte("2"))
	fake.Compact()
	g.Eventually(watcher.sees(1, "2"), patience).Should(BeTrue())
	g.Expect(changesSince(t, source, before)).To(HaveLen(2), "the configuration, and the agent that is gone")
	g.Eventually(func() bool { listener.News(); return listener.sees(1, "2")() }, patience).Should(BeTrue())
}

// A balancer that has read the store asks the seeds for what it lacks; one that knows
// less of the store than it can't tell, and one of an earlier version tells all.
func TestFollowerTakesUnlistedAgentsOfUpToDateSeed(t *testing.T) {
	g := NewWithT(t)
	behind, fake := newStore(t), newStore(t)
	lagging := prepare(t, behind, 20)
	lagging.known = []steer.Agent{{Addr: netip.MustParseAddrPort("10.0.0.8:1"), Service: 1, DataCentre: "a"}}
	lagging.start(t)
	seed := prepare(t, fake, 20)
	seed.known = []steer.Agent{{Addr: netip.MustParseAddrPort("10.0.0.9:1"), Service: 1, DataCentre: "a"}}
	fake.Put(platform.ConfigKey, []byte("1"))
	seed.start(t)
	g.Eventually(seed.sees(0, "1"), patience).Should(BeTrue())
	g.Eventually(lagging.reachedNow, patience).Should(BeTrue())
	f := prepare(t, fake, 20)
	f.SetSeeds([]netip.AddrPort{serve(t, lagging), serve(t, seed)})
	f.start(t)
	g.Eventually(f.asked, patience).Should(Receive(Equal(seed.known)))
}
