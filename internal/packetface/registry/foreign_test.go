package registry_test

import (
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/registry"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

const entryKey = "saltbend/agents/10.0.0.1:1"

const entryText = `{"addr":"10.0.0.1:1","service":"s","dc":"a","slots":3}`

// foreignEntries are values of an agent's key that no agent writes.
var foreignEntries = []string{
	"", "{", "null", "[]", "\xff\xfe", `{"state":"ready"}`,
	`{"addr":"10.0.0.1:1","service":"","dc":"a","slots":3}`,
	`{"addr":"10.0.0.1:1","service":7,"dc":"a","slots":3}`,
	`{"addr":"10.0.0.1:1","service":"s","slots":3}`,
	`{"addr":"10.0.0.2:1","service":"s","dc":"a","slots":3}`,
	`{"addr":"10.0.0.1:1","service":"s","dc":"a","slots":-3}`,
	`{"addr":"10.0.0.1:1","service":"s","dc":"a","slots":1.5}`,
	`{"addr":"10.0.0.1:1","service":"s","dc":"a","slots":1e9}`,
	`{"addr":"10.0.0.1:1","service":"s","dc":"a","slots":3,"warmup_ms":-1}`,
	`{"addr":"10.0.0.1:1","service":"s","dc":"a","slots":3,"warmup_ms":1e9}`,
}

func item(text string, revision store.Position, lease uint64) platform.Item {
	return platform.Item{Key: entryKey, Value: []byte(text), At: revision, Lease: lease}
}

// An entry that another program has overwritten leaves the known agent unchanged, but
// marks it as damaged so that the agent writes the entry again.
func TestForeignEntryMarksAgentDamagedAndKeepsIt(t *testing.T) {
	for _, text := range foreignEntries {
		t.Run(text, func(t *testing.T) {
			g := NewWithT(t)
			l, unreadable := registry.NewListing([]platform.Item{item(entryText, 4, 7)}, 4)
			g.Expect(unreadable).To(BeEmpty())
			before := l.Agents()[0]
			for _, lease := range []uint64{0, 7} {
				g.Expect(l.Apply([]platform.Item{item(text, 5, lease)}, 5)).To(HaveLen(1))
				before.Damaged = true
				g.Expect(l.Agents()).To(Equal([]steer.Agent{before}))
			}
			g.Expect(l.Apply([]platform.Item{item(entryText, 6, 7)}, 6)).To(BeEmpty())
			g.Expect(l.Agents()[0].Damaged).To(BeFalse())

			fresh, unreadable := registry.NewListing([]platform.Item{item(text, 5, 7)}, 5)
			g.Expect(unreadable).To(HaveLen(1))
			g.Expect(fresh.Agents()).To(BeEmpty())
		})
	}
}

// An entry without a lease would never expire, so it is ignored even if it is valid
// otherwise.
func TestEntryWithoutLeaseIsIgnored(t *testing.T) {
	g := NewWithT(t)
	l, unreadable := registry.NewListing([]platform.Item{item(entryText, 4, 0)}, 4)
	g.Expect(unreadable).To(HaveLen(1))
	g.Expect(l.Agents()).To(BeEmpty())
}

// Entries in a peer's listing carry their leases; without them Merge would reject them as
// foreign.
func TestMergedEntriesKeepTheirLease(t *testing.T) {
	g := NewWithT(t)
	knows, _ := registry.NewListing([]platform.Item{item(entryText, 4, 7)}, 4)
	l, _ := registry.NewListing(nil, 1)
	_, unreadable := l.Merge(knows.Shared())
	g.Expect(unreadable).To(BeEmpty())
	g.Expect(l.Agents()).To(HaveLen(1))
}

// Invalid entries of other programs must fail neither a reading of several pages nor a
// watch. The agent whose entry they replace writes it again once a balancer sends a hint.
func TestOverwrittenEntryIsWrittenAgainAfterHint(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	fake.Put("saltbend/agents/garbage", []byte("{"))
	f := newFollower(t, fake, 1)
	var mu sync.Mutex
	var agents []steer.Agent
	f.Changed = func(l *registry.Listing) {
		mu.Lock()
		defer mu.Unlock()
		agents = l.Agents()
	}
	seen := func() []steer.Agent {
		mu.Lock()
		defer mu.Unlock()
		return agents
	}
	f.start(t)
	agent, _ := startPublishingAgent(t, fake, "10.0.0.1:1")
	g.Eventually(seen, waitTimeout).Should(HaveLen(1))
	for _, text := range foreignEntries {
		fake.Put(entryKey, []byte(text))
		g.Eventually(func() bool { a := seen(); return len(a) == 1 && a[0].Damaged }, waitTimeout).Should(BeTrue())
		g.Eventually(func() bool {
			agent.EntryMissing()
			a := seen()
			return len(a) == 1 && !a[0].Damaged
		}, waitTimeout, 50*time.Millisecond).Should(BeTrue())
	}
}

func FuzzEntry(f *testing.F) {
	f.Add([]byte(entryText))
	for _, text := range foreignEntries {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		l, _ := registry.NewListing([]platform.Item{item(string(text), 4, 7)}, 4)
		for _, a := range l.Agents() {
			if a.Addr.String() != "10.0.0.1:1" || a.DataCentre == "" || a.Slots < 0 || a.Service == 0 {
				t.Fatalf("agent accepted from an invalid entry: %+v", a)
			}
		}
	})
}
