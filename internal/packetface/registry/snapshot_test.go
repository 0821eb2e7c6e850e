package registry_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/platform"
	"github.com/saltbend/saltbend/test/packetplatform"
)

// Tests of balancers that start from the snapshot in the store.

const (
	snapshotKey = "saltbend/listing"
	manyAgents  = 600
)

// writeAgentEntries writes the entries of many agents under one lease.
func writeAgentEntries(t *testing.T, fake *packetplatform.Store, agents int) (lease uint64) {
	g := NewWithT(t)
	c := client(fake)
	granted, err := c.Grant(t.Context(), time.Minute)
	g.Expect(err).NotTo(HaveOccurred())
	var writes []platform.Write
	for n := range agents {
		addr := fmt.Sprintf("10.0.%d.%d:1", n/250, n%250+1)
		value := fmt.Sprintf(`{"addr":%q,"service":"s","dc":"a","slots":2}`, addr)
		writes = append(writes, platform.Write{Key: "saltbend/agents/" + addr, Value: []byte(value), Lease: granted.ID})
		if len(writes) == platform.MaxWrites || n == agents-1 {
			_, err := c.Apply(t.Context(), writes...)
			g.Expect(err).NotTo(HaveOccurred())
			writes = nil
		}
	}
	return granted.ID
}

// startSharedFollower returns a running balancer whose watch others share.
func startSharedFollower(t *testing.T, fake *packetplatform.Store) *follower {
	f := newFollower(t, fake, 20)
	f.Shared = func() bool { return true }
	f.start(t)
	return f
}

// startWithSnapshots returns a balancer that starts in a fleet that has run before.
func startWithSnapshots(t *testing.T, fake *packetplatform.Store) *follower {
	f := newFollower(t, fake, 20)
	f.Snapshots = true
	f.start(t)
	return f
}

// newStoreWithSnapshot returns a store with many agents, a configuration and a snapshot
// of both.
func newStoreWithSnapshot(t *testing.T) *packetplatform.Store {
	return newStoreWithSnapshotUntil(t.Context(), t)
}

// newStoreWithSnapshotUntil is like newStoreWithSnapshot, with a context that ends the
// balancer that writes the snapshot.
func newStoreWithSnapshotUntil(ctx context.Context, t *testing.T) *packetplatform.Store {
	fake := newStore(t)
	fake.Put(platform.ConfigKey, config(1))
	writeAgentEntries(t, fake, manyAgents)
	leader := newFollower(t, fake, 20)
	leader.Shared = func() bool { return true }
	go leader.Run(ctx)
	NewWithT(t).Eventually(func() []byte { return fake.Value(snapshotKey) }, waitTimeout).ShouldNot(BeEmpty())
	return fake
}

func TestFollowerStartsFromSnapshotAndLaterChanges(t *testing.T) {
	g := NewWithT(t)
	fake := newStoreWithSnapshot(t)
	g.Expect(len(fake.Value(snapshotKey))).To(BeNumerically("<", 20*manyAgents), "bytes for each agent; an uncompressed entry has 150")
	fake.Put(platform.ConfigKey, config(2))
	fake.Remove("saltbend/agents/10.0.0.7:1")
	readings, watches := fake.Readings(), fake.CallsOf("/kv-watch")
	f := startWithSnapshots(t, fake)
	g.Eventually(f.hasListing(manyAgents-1, string(config(2))), waitTimeout).Should(BeTrue())
	g.Expect(fake.Readings()).To(Equal(readings))
	g.Expect(fake.CallsOf("/kv-key")).To(Equal(1))
	g.Expect(fake.CallsOf("/kv-watch")-watches).To(BeNumerically("<=", 4), "some are of the balancer that wrote the snapshot")
}

// If nothing has changed since the snapshot, it is usable even after the store has
// dropped its history.
func TestSnapshotOfUnchangedStoreNeedsNoHistory(t *testing.T) {
	g := NewWithT(t)
	ctx, stop := context.WithCancel(t.Context())
	fake := newStoreWithSnapshotUntil(ctx, t)
	stop() // else it would read all keys after the compaction below
	fake.Compact()
	readings := fake.Readings()
	f := startWithSnapshots(t, fake)
	g.Eventually(f.hasListing(manyAgents, string(config(1))), waitTimeout).Should(BeTrue())
	g.Expect(fake.Readings()).To(Equal(readings))
	g.Expect(f.listAge().AsOf).To(BeNumerically(">", f.listAge().Newest), "the listing is as of the snapshot's own write")
}

func TestFollowerReadsStoreWhenSnapshotIsUnusable(t *testing.T) {
	for name, invalidate := range map[string]func(fake *packetplatform.Store){
		"history dropped": func(fake *packetplatform.Store) {
			fake.Put(platform.ConfigKey, config(2))
			fake.Compact()
		},
		"other writer":           func(fake *packetplatform.Store) { fake.Put(snapshotKey, []byte("not a snapshot")) },
		"revision in the future": func(fake *packetplatform.Store) { fake.Put(snapshotKey, []byte("\xff\xff\xff\xff\xff\xff\xff\xff")) },
		"removed":                func(fake *packetplatform.Store) { fake.Remove(snapshotKey) },
		"an empty listing":       func(fake *packetplatform.Store) { fake.Put(snapshotKey, make([]byte, 8)) },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			fake := newStoreWithSnapshot(t)
			invalidate(fake)
			readings := fake.Readings()
			f := startWithSnapshots(t, fake)
			g.Eventually(func() int { agents, _ := f.view(); return agents }, waitTimeout).Should(Equal(manyAgents))
			g.Expect(fake.Readings()).To(BeNumerically(">", readings))
		})
	}
}

// The store is restored from a copy that has a snapshot. That snapshot belongs to the
// history of the copy and is usable; a later one is lost with the other later changes.
func TestSnapshotInRestoredCopyIsUsed(t *testing.T) {
	g := NewWithT(t)
	fake := newStoreWithSnapshot(t)
	copied := fake.Copy()
	fake.Remove("saltbend/agents/10.0.0.7:1")
	fake.Return(copied)
	fake.Put(platform.ConfigKey, config(3))
	f := startWithSnapshots(t, fake)
	g.Eventually(f.hasListing(manyAgents, string(config(3))), waitTimeout).Should(BeTrue())
	g.Expect(f.listAge().AsOf.Era()).To(BeEquivalentTo(1))
}

// A fleet whose entries fit in one call needs no snapshot.
func TestNoSnapshotIsWrittenForSmallFleet(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	writeAgentEntries(t, fake, 60)
	f := startSharedFollower(t, fake)
	g.Eventually(f.hasListing(60, ""), waitTimeout).Should(BeTrue())
	fake.Put(platform.ConfigKey, config(1))
	g.Eventually(f.hasListing(60, string(config(1))), waitTimeout).Should(BeTrue())
	g.Expect(fake.Value(snapshotKey)).To(BeEmpty())
	late := startWithSnapshots(t, fake)
	g.Eventually(late.hasListing(60, string(config(1))), waitTimeout).Should(BeTrue())
}

// Only starting balancers need the snapshot, so it is not among the changes for
// listeners.
func TestChangesForListenersOmitSnapshot(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	fake.Put(platform.ConfigKey, config(1))
	watcher := startSharedFollower(t, fake)
	g.Eventually(watcher.hasListing(0, string(config(1))), waitTimeout).Should(BeTrue())
	before := watcher.listAge().AsOf
	writeAgentEntries(t, fake, manyAgents)
	g.Eventually(func() []byte { return fake.Value(snapshotKey) }, waitTimeout).ShouldNot(BeEmpty())
	fake.Put(platform.ConfigKey, config(2))
	g.Eventually(watcher.hasListing(manyAgents, string(config(2))), waitTimeout).Should(BeTrue())
	for _, item := range changesSince(t, startServer(t, watcher), before) {
		g.Expect(item.Key).NotTo(Equal(snapshotKey))
	}
}
