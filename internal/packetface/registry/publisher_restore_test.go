package registry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

// Tests of an agent's entry through returns of the store from a copy.

// agentEntry is an entry as an agent writes it.
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
	g.Expect(p.Next(0)).To(Equal(StepGrant), "a first era is no return")
	p.Granted(platform.Lease{ID: 7, TTL: leaseTTL}, 0)
	p.Wrote(entry.Value, store.At(1, 50), nil)
	g.Expect(p.Next(0)).To(Equal(StepNone))
	return p
}

// The number of a lease that was granted after the copy may be another agent's now: it is
// neither renewed nor ended, and the entry is written anew under another one.
func TestLeaseMissingFromCopyIsAbandonedAfterRestore(t *testing.T) {
	g := NewWithT(t)
	p := newPublishedInEra1(g)
	p.ObserveEra(time.Second, 2, time.Second)
	g.Expect(p.Next(time.Second)).To(Equal(StepNone), "it has its time")
	g.Expect(p.Due(time.Second)).To(Equal(time.Second))
	g.Expect(p.Next(leaseTTL)).To(Equal(StepRead), "before the renewal")
	p.Read(platform.Item{}, store.At(2, 0), store.ErrNotFound)
	g.Expect(p.asOf).To(Equal(store.At(2, 0)))
	g.Expect(p.Next(leaseTTL)).To(Equal(StepGrant))
	p.Granted(platform.Lease{ID: 7, TTL: leaseTTL}, leaseTTL) // the number is given out again, to this one
	g.Expect(p.Next(leaseTTL)).To(Equal(StepWrite))
	g.Expect(p.Write().Expected).To(BeEquivalentTo(store.Create))
}

// An agent that leaves does not end the lease of another one.
func TestWithdrawalAfterRestoreReadsEntryFirst(t *testing.T) {
	g := NewWithT(t)
	p := newPublishedInEra1(g)
	p.ObserveEra(0, 2, time.Hour)
	p.Want(nil)
	g.Expect(p.Next(0)).To(Equal(StepRead))
	p.Read(platform.Item{}, store.At(2, 0), store.ErrNotFound)
	g.Expect(p.Next(0)).To(Equal(StepNone))
}

// An entry that the copy has was written before it, and so was its lease granted.
func TestEntryInCopyKeepsItsLease(t *testing.T) {
	g := NewWithT(t)
	p := newPublishedInEra1(g)
	p.ObserveEra(0, 2, 0)
	g.Expect(p.Next(0)).To(Equal(StepRead))
	p.Read(agentEntry(store.At(2, 48), 7), store.At(2, 48), nil)
	g.Expect(p.Next(0)).To(Equal(StepRenew), "nobody knows how much of it is left")
	p.Renewed(nil, 0)
	g.Expect(p.Next(0)).To(Equal(StepNone))
}

// The copy has the entry under the lease of before, and with what it said then.
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

// What was withdrawn after the copy is withdrawn again.
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

// An entry of another writer at the key brings no lease of its own.
func TestLeaseOfForeignEntryIsNotAdopted(t *testing.T) {
	g := NewWithT(t)
	p := newPublishedInEra1(g)
	p.ObserveEra(0, 2, 0)
	foreign := agentEntry(store.At(2, 40), 9)
	foreign.Value = []byte("{}")
	p.Read(foreign, store.At(2, 48), nil)
	g.Expect(p.Next(0)).To(Equal(StepGrant))
}

// A reading that fails proves nothing, and one of an earlier era does not make the next
// return pass unnoticed.
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
