package registry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

// Tests of an agent's entry when the store is restored from an older copy.

// agentEntry returns an entry as an agent writes it.
func agentEntry(at store.Position, lease uint64) platform.Item {
	text := `{"addr":"10.0.0.1:1","service":"s","dc":"a","slots":3}`
	return platform.Item{Key: agentPrefix + "10.0.0.1:1", Value: []byte(text), At: at, Lease: lease}
}

// newPublishedInEra1 returns a publisher whose entry was written in era 1, under lease 7.
func newPublishedInEra1(g *WithT) *Publisher {
	entry := agentEntry(0, 0)
	p := NewPublisher(entry.Key)
	p.Want(entry.Value)
	p.ObserveEra(0, 1, 0)
	g.Expect(p.Next(0)).To(Equal(StepGrant), "the first observed era is not a restore")
	p.Granted(platform.Lease{ID: 7, TTL: leaseTTL}, 0)
	p.Wrote(entry.Value, store.At(1, 50), nil)
	g.Expect(p.Next(0)).To(Equal(StepNone))
	return p
}

// A lease that was granted after the copy was made is missing in the restored store, and
// its ID may be granted again to another agent. It must be neither renewed nor ended; the
// entry is written again under a new lease.
func TestLeaseMissingFromCopyIsAbandonedAfterRestore(t *testing.T) {
	g := NewWithT(t)
	p := newPublishedInEra1(g)
	p.ObserveEra(time.Second, 2, time.Second)
	g.Expect(p.Next(time.Second)).To(Equal(StepNone), "the reading is not due before verifyAt")
	g.Expect(p.Due(time.Second)).To(Equal(time.Second))
	g.Expect(p.Next(leaseTTL)).To(Equal(StepRead), "the entry is read before the lease is renewed")
	p.Read(platform.Item{}, store.At(2, 0), store.ErrNotFound)
	g.Expect(p.asOf).To(Equal(store.At(2, 0)))
	g.Expect(p.Next(leaseTTL)).To(Equal(StepGrant))
	p.Granted(platform.Lease{ID: 7, TTL: leaseTTL}, leaseTTL) // the store happens to grant the same ID to this agent
	g.Expect(p.Next(leaseTTL)).To(Equal(StepWrite))
	g.Expect(p.Write().Expected).To(BeEquivalentTo(store.Create))
}

// An agent that leaves after a restore must not end a lease whose ID may belong to
// another agent now.
func TestWithdrawalAfterRestoreReadsEntryFirst(t *testing.T) {
	g := NewWithT(t)
	p := newPublishedInEra1(g)
	p.ObserveEra(0, 2, time.Hour)
	p.Want(nil)
	g.Expect(p.Next(0)).To(Equal(StepRead))
	p.Read(platform.Item{}, store.At(2, 0), store.ErrNotFound)
	g.Expect(p.Next(0)).To(Equal(StepNone))
}

// If the copy has the entry, the lease was granted before the copy was made and is still
// that of this agent.
func TestEntryInCopyKeepsItsLease(t *testing.T) {
	g := NewWithT(t)
	p := newPublishedInEra1(g)
	p.ObserveEra(0, 2, 0)
	g.Expect(p.Next(0)).To(Equal(StepRead))
	p.Read(agentEntry(store.At(2, 48), 7), store.At(2, 48), nil)
	g.Expect(p.Next(0)).To(Equal(StepRenew), "the remaining time of the lease is not known")
	p.Renewed(nil, 0)
	g.Expect(p.Next(0)).To(Equal(StepNone))
}

// The copy has an earlier version of the entry, under an earlier lease of the agent.
func TestOlderEntryInCopyIsOverwritten(t *testing.T) {
	g := NewWithT(t)
	p := newPublishedInEra1(g)
	p.ObserveEra(0, 2, 0)
	older := agentEntry(store.At(2, 30), 3)
	older.Value = []byte(`{"addr":"10.0.0.1:1","service":"s","dc":"a","slots":2}`)
	p.Read(older, store.At(2, 48), nil)
	g.Expect(p.Next(0)).To(Equal(StepWrite))
	g.Expect(p.Write()).To(Equal(platform.Write{Key: older.Key, Expected: store.At(2, 30), Value: agentEntry(0, 0).Value, Lease: 3}))
}

// An entry that was withdrawn after the copy was made is in the store again after the
// restore, and must be withdrawn again.
func TestWithdrawnEntryInCopyIsWithdrawnAgain(t *testing.T) {
	g := NewWithT(t)
	p := newPublishedInEra1(g)
	p.Want(nil)
	g.Expect(p.Next(0)).To(Equal(StepEnd))
	p.Ended(nil)
	g.Expect(p.Next(0)).To(Equal(StepNone))
	p.ObserveEra(0, 2, time.Hour)
	g.Expect(p.Next(0)).To(Equal(StepRead))
	p.Read(agentEntry(store.At(2, 40), 7), store.At(2, 48), nil)
	g.Expect(p.Next(0)).To(Equal(StepEnd))
	p.Ended(nil)
	g.Expect(p.Next(0)).To(Equal(StepNone))
}

// The lease of an entry that another program has written under the agent's key is not
// used.
func TestLeaseOfForeignEntryIsNotAdopted(t *testing.T) {
	g := NewWithT(t)
	p := newPublishedInEra1(g)
	p.ObserveEra(0, 2, 0)
	foreign := agentEntry(store.At(2, 40), 9)
	foreign.Value = []byte("{}")
	p.Read(foreign, store.At(2, 48), nil)
	g.Expect(p.Next(0)).To(Equal(StepGrant))
}

// A failed reading does not confirm the entry. An earlier era must be ignored, and a
// later one must cause another reading.
func TestEntryIsReadUntilReadingSucceedsAfterRestore(t *testing.T) {
	g := NewWithT(t)
	p := newPublishedInEra1(g)
	p.ObserveEra(0, 2, 0)
	p.Read(platform.Item{}, 0, store.ErrUnavailable)
	g.Expect(p.Next(0)).To(Equal(StepRead))
	p.Read(agentEntry(store.At(2, 48), 7), store.At(2, 48), nil)
	p.ObserveEra(0, 1, 0)
	p.ObserveEra(0, 2, 0)
	g.Expect(p.Next(0)).To(Equal(StepRenew))
	p.ObserveEra(0, 4, 0)
	g.Expect(p.Next(0)).To(Equal(StepRead))
}
