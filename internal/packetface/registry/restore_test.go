package registry_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/registry"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

// Tests with a store that is restored from a copy some seconds old.

// config returns the text of a configuration.
func config(version int) []byte { return fmt.Appendf(nil, `{"version":%d}`, version) }

// Guards against listeners that ignore changes of a restored store because its revisions
// are lower than those they know. In a data centre that had only listeners, three
// configurations took effect late, the first by 5.2 s: the watchers had read the restored
// store at revision 48, but the listeners were at revision 52 and ignored versions 24, 27
// and 31, which had the revisions 49, 50 and 51. Version 35 got revision 53, and all
// three listeners adopted it within 80 ms, from version 21.
func TestListenerAppliesChangesAfterRestore(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	watcher, listener, tell := startPair(t, fake)
	bothHave := func(config string) func() bool {
		return func() bool {
			if watcher.hasListing(0, config)() {
				tell()
			}
			return listener.hasListing(0, config)()
		}
	}
	fake.Put(platform.ConfigKey, config(21))
	g.Eventually(bothHave(string(config(21))), waitTimeout).Should(BeTrue())
	old := fake.Copy()
	for range 4 { // changes that the restore loses
		fake.Put("op/other", nil)
	}
	g.Eventually(func() store.Position { return watcher.listAge().AsOf }, waitTimeout).Should(Equal(store.At(0, fake.Revision())))
	g.Eventually(bothHave(string(config(21))), waitTimeout).Should(BeTrue())
	g.Eventually(func() store.Position { tell(); return listener.listAge().AsOf }, waitTimeout).Should(Equal(store.At(0, fake.Revision())))
	fake.Return(old)
	fake.Put(platform.ConfigKey, config(24))
	g.Eventually(bothHave(string(config(24))), waitTimeout).Should(BeTrue())
}

// When a restored store has reached the revision of the follower again, a watch continues
// without the changes in between. The follower must detect that by the era of the answer.
func TestFollowerReadsAllKeysWhenRevisionIsReused(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	fake.Put(platform.ConfigKey, config(1))
	f := startFollower(t, fake, 1)
	g.Eventually(f.hasListing(0, string(config(1))), waitTimeout).Should(BeTrue())
	old := fake.Copy()
	fake.Put(platform.ConfigKey, config(2))
	g.Eventually(f.hasListing(0, string(config(2))), waitTimeout).Should(BeTrue())
	fake.Return(old)
	fake.Put(platform.ConfigKey, config(3))
	g.Eventually(f.hasListing(0, string(config(3))), waitTimeout).Should(BeTrue())
}

// The restored store has an older configuration until operators write the current one
// again. Neither that nor another older one that operators write first may replace the
// known configuration.
func TestOlderConfigurationInCopyIsIgnored(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	fake.Put(platform.ConfigKey, config(1))
	old := fake.Copy()
	f := startFollower(t, fake, 1)
	fake.Put(platform.ConfigKey, config(3))
	g.Eventually(f.hasListing(0, string(config(3))), waitTimeout).Should(BeTrue())
	fake.Return(old)
	fake.Put(platform.ConfigKey, config(2))
	startPublishingAgent(t, fake, "10.0.0.1:1") // a later change
	g.Eventually(f.hasListing(1, string(config(3))), waitTimeout).Should(BeTrue())
	fake.Put(platform.ConfigKey, config(4))
	g.Eventually(f.hasListing(1, string(config(4))), waitTimeout).Should(BeTrue())
}

// A balancer that starts while the restored store has an older configuration gets a hint
// of the current one from agents, and fetches it from the balancer that the hint names.
func TestFollowerStartedAfterRestoreTakesConfigurationOfPeer(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	fake.Put(platform.ConfigKey, config(1))
	old := fake.Copy()
	early := startFollower(t, fake, 20)
	fake.Put(platform.ConfigKey, config(2))
	g.Eventually(early.hasListing(0, string(config(2))), waitTimeout).Should(BeTrue())
	fake.Return(old)
	g.Eventually(func() uint64 { return early.listAge().AsOf.Era() }, waitTimeout).Should(BeEquivalentTo(1))
	late := startFollower(t, fake, 20)
	g.Eventually(late.hasListing(0, string(config(1))), waitTimeout).Should(BeTrue())
	peer := startServer(t, early)
	g.Eventually(func() bool {
		late.Hint(peer, 2)
		return late.hasListing(0, string(config(2)))()
	}, waitTimeout).Should(BeTrue())
	g.Consistently(func() string { _, config := late.view(); return config }, "1s").Should(Equal(string(config(2))))
}

// The store is restored a second time before any balancer has detected the first restore,
// and drops its history in between.
func TestFollowerCatchesUpAfterTwoRestores(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	fake.Put(platform.ConfigKey, config(1))
	watcher, listener, tell := startPair(t, fake)
	older := fake.Copy()
	fake.Put(platform.ConfigKey, config(2))
	old := fake.Copy()
	fake.Put("op/other", nil)
	g.Eventually(watcher.hasListing(0, string(config(2))), waitTimeout).Should(BeTrue())
	fake.Return(old)
	fake.Compact()
	fake.Return(older)
	fake.Put(platform.ConfigKey, config(3))
	for _, f := range []*follower{watcher, listener} {
		g.Eventually(func() bool { tell(); return f.hasListing(0, string(config(3)))() }, waitTimeout).Should(BeTrue())
		g.Eventually(func() uint64 { tell(); return f.listAge().AsOf.Era() }, waitTimeout).Should(BeEquivalentTo(2))
	}
}

// A peer that has not detected the restore has agents and configurations of the earlier
// era. Merging its listing must not bring back what has been removed or replaced since.
func TestMergeIgnoresListingOfEarlierEra(t *testing.T) {
	g := NewWithT(t)
	agent := item(entryText, store.At(1, 40), 7)
	before, _ := registry.NewListing([]platform.Item{{Key: platform.ConfigKey, Value: config(2), At: store.At(1, 50)}, agent}, store.At(1, 52))
	now, _ := registry.NewListing([]platform.Item{{Key: platform.ConfigKey, Value: config(3), At: store.At(2, 20)}}, store.At(2, 30))
	changed, unreadable := now.Merge(before.Shared())
	g.Expect(changed).To(BeFalse())
	g.Expect(unreadable).To(BeEmpty())
	g.Expect(now.Config).To(Equal(config(3)))
	g.Expect(now.Agents()).To(BeEmpty())
	changed, _ = before.Merge(now.Shared())
	g.Expect(changed).To(BeTrue())
	g.Expect(before.AsOf).To(Equal(store.At(2, 30)))
	g.Expect(before.Config).To(Equal(config(3)))
	g.Expect(before.Agents()).To(HaveLen(1), "an agent that the other listing lacks may be running")
}

// Agents whose entries the restored store lacks are listed again. Lease IDs are granted a
// second time, so an agent that leaves must not end the lease of another one.
func TestAgentsAreListedAgainAfterRestore(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	f := startFollower(t, fake, 1)
	g.Eventually(f.reachedNow, waitTimeout).Should(BeTrue())
	old := fake.Copy()
	agentsByAddr := map[string]*registry.EntryKeeper{}
	for _, addr := range []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"} {
		agentsByAddr[addr], _ = startPublishingAgent(t, fake, addr)
		g.Eventually(f.hasListing(len(agentsByAddr), ""), waitTimeout).Should(BeTrue())
	}
	fake.Return(old)
	for _, k := range agentsByAddr {
		k.ObserveEra(1) // as balancers report it
	}
	g.Eventually(f.hasListing(3, ""), waitTimeout).Should(BeTrue())
	agentsByAddr["10.0.0.1:1"].SetEntry(nil)
	g.Eventually(f.hasListing(2, ""), waitTimeout).Should(BeTrue())
	g.Expect(fake.Keys("saltbend/agents/")).To(Equal([]string{"saltbend/agents/10.0.0.2:1", "saltbend/agents/10.0.0.3:1"}))
}

// A balancer whose calls the store refuses detects the restore by the listing of one that
// the store serves.
func TestFollowerDetectsRestoreFromPeerWhenStoreRefuses(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	fake.Put(platform.ConfigKey, config(1))
	served := startFollower(t, fake, 20)
	g.Eventually(served.hasListing(0, string(config(1))), waitTimeout).Should(BeTrue())
	peer := startServer(t, served)
	cut := newStore(t) // the same store as another host sees it, at a higher revision
	cut.Put(platform.ConfigKey, config(1))
	for range 5 {
		cut.Put("op/other", nil)
	}
	refused := startFollower(t, cut, 20)
	g.Eventually(refused.hasListing(0, string(config(1))), waitTimeout).Should(BeTrue())
	cut.Fail(http.StatusServiceUnavailable)
	fake.Return(fake.Copy())
	fake.Put(platform.ConfigKey, config(2))
	startPublishingAgent(t, fake, "10.0.0.1:1")
	g.Eventually(served.hasListing(1, string(config(2))), waitTimeout).Should(BeTrue())
	g.Eventually(func() bool {
		refused.Hint(peer, 2)
		return refused.hasListing(1, string(config(2)))()
	}, waitTimeout).Should(BeTrue())
	g.Expect(refused.listAge().AsOf.Era()).To(BeEquivalentTo(1))
	readings := cut.Readings()
	cut.Fail(0) // it answers again, still in the era before the restore
	g.Eventually(cut.Readings, waitTimeout).Should(BeNumerically(">", readings))
	g.Consistently(func() uint64 { return refused.listAge().AsOf.Era() }, "300ms").Should(BeEquivalentTo(1))
}

// A listener that has detected the restore elsewhere ignores a source that has not, and
// late answers of the store in the earlier era.
func TestLateAnswersOfEarlierEraAreIgnored(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	fake.Put(platform.ConfigKey, config(1))
	late := startFollower(t, fake, 20)
	g.Eventually(late.hasListing(0, string(config(1))), waitTimeout).Should(BeTrue())
	source := startServer(t, late)
	fake.Return(fake.Copy())
	ahead := newStore(t) // the same store after its return, as another host sees it
	ahead.Return(ahead.Copy())
	ahead.Return(ahead.Copy())
	ahead.Put(platform.ConfigKey, config(2))
	f := startFollower(t, ahead, 20)
	g.Eventually(f.hasListing(0, string(config(2))), waitTimeout).Should(BeTrue())
	f.SetSource(source)
	g.Consistently(func() uint64 { f.SourceChanged(); return f.listAge().AsOf.Era() }, "300ms").Should(BeEquivalentTo(2))
	f.Store.SetAddress(netip.MustParseAddrPort(fake.Address())) // answers of era 1
	f.Hint(netip.AddrPort{}, 0)
	g.Eventually(f.reachedNow, waitTimeout).Should(BeFalse())
	g.Expect(f.hasListing(0, string(config(2)))()).To(BeTrue())
	g.Expect(f.listAge().AsOf.Era()).To(BeEquivalentTo(2))
}

// The answer to an agent's write is lost, and the store is restored from a copy without
// the entry.
func TestEntryIsWrittenAgainAfterLostAnswerAndRestore(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	old := fake.Copy()
	fake.LoseAnswers(1)
	agent, _ := startPublishingAgent(t, fake, "10.0.0.1:1")
	g.Eventually(func() []string { return fake.Keys("saltbend/") }, waitTimeout).ShouldNot(BeEmpty())
	fake.Return(old)
	agent.ObserveEra(1)
	g.Eventually(func() []string { return fake.Keys("saltbend/") }, waitTimeout).ShouldNot(BeEmpty())
}

// A restore is recorded in the store as settled, once. A value that another program
// writes to that key must be ignored.
func TestEraIsRecordedAsSettledAfterRestore(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	fake.Put("saltbend/settled-era", []byte("7"))
	f := startFollower(t, fake, 1)
	g.Eventually(f.reachedNow, waitTimeout).Should(BeTrue())
	fake.Return(fake.Copy())
	g.Eventually(func() uint64 { return f.listAge().AsOf.Era() }, waitTimeout).Should(BeEquivalentTo(1))
	g.Expect(f.listAge().Relisting).To(BeTrue())
	g.Eventually(func() string { return string(fake.Value("saltbend/settled-era")) }, waitTimeout).Should(Equal("1"))
	g.Eventually(func() bool { return f.listAge().Relisting }, waitTimeout).Should(BeFalse())
	started := startFollower(t, fake, 1)
	g.Eventually(func() uint64 { return started.listAge().AsOf.Era() }, waitTimeout).Should(BeEquivalentTo(1))
	g.Expect(started.listAge().Relisting).To(BeFalse())
}

// After a restore a balancer retains the evacuation that the copy lacks. A second
// reading, after a hint, must not report it to listeners as withdrawn.
func TestReadingAfterRestoreReportsNoRemovals(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	fake.Put(platform.ConfigKey, config(1))
	f := startSharedFollower(t, fake)
	g.Eventually(f.hasListing(0, string(config(1))), waitTimeout).Should(BeTrue())
	copied := fake.Copy()
	fake.Put(platform.EvacuationKey("a"), nil)
	g.Eventually(f.evacuated, waitTimeout).Should(BeTrue())
	fake.Return(copied)
	fake.Put(platform.ConfigKey, config(2))
	g.Eventually(f.hasListing(0, string(config(2))), waitTimeout).Should(BeTrue())
	before := f.listAge().AsOf
	fake.Put(platform.ConfigKey, config(3))
	readings := fake.Readings()
	g.Eventually(func() int { f.Hint(netip.AddrPort{}, 0); return fake.Readings() }, waitTimeout).Should(BeNumerically(">", readings))
	g.Eventually(f.hasListing(0, string(config(3))), waitTimeout).Should(BeTrue())
	for _, item := range changesSince(t, startServer(t, f), before) {
		g.Expect(item.Removed).To(BeFalse(), item.Key)
	}
	g.Expect(f.evacuated()).To(BeTrue())
}
