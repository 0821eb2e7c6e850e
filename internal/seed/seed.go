// Package seed decides which balancers hold a lease in the store and watch the
// configuration there: the seeds. Each data centre has a fixed number of slots
// for seeds, so that the number of calls to the store does not grow with the
// number of balancers. The lease only limits how many balancers call the store.
// Routing does not depend on it, and a process that loses its lease merely stops
// being a seed.
//
// A reading of the store is the result of a read of the configuration's key.
// Processes forward readings, with their age, to each other.
//
// The package does no I/O and reads no clock: the owner of a Machine passes in
// time, randomness and the outcomes of calls, and carries out the returned actions.
package seed

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// Slots is the number of seeds of a data centre.
	Slots = 2
	// Spares is the number of further balancers of a data centre that may try to
	// become seeds when no reading of the store younger than Stale has reached
	// them. The first-ranked balancers may then be cut off from the store.
	Spares = 2
	// Stale is the age of the newest known reading of the store at which spares
	// begin to try to become seeds. A reading takes some seconds to propagate
	// through a large fleet, so in a large fleet spares may try although the seeds work. This
	// adds only a fixed number of calls, because the number of spares is fixed.
	Stale = DefaultLease
	// DefaultLease is how long a seed holds its slot without renewing the lease.
	// Together with Stale, it limits how long a configuration change is delayed
	// if all seeds of a data centre are cut off from the store.
	DefaultLease = 10 * time.Second
	// renewalsPerLease is the number of renewals within the length of a lease.
	renewalsPerLease = 3
	// demotionLeases is the number of lease lengths after which a seed that no
	// longer has one of the first ranks releases its slot.
	demotionLeases = 4
)

// Prefix is the common prefix of the seeds' keys in the store.
const Prefix = "saltbend/seeds/"

// Key returns the key of a slot in the store.
func Key(dataCentre string, slot int) string {
	return fmt.Sprintf("%s%s/%d", Prefix, dataCentre, slot)
}

// Kind is the kind of a call to the store.
type Kind uint8

// Kinds of actions.
const (
	// None: no call is due.
	None Kind = iota
	// Claim: create the key of the slot with a lease.
	Claim
	// Extend: renew the lease by writing the key if it still has Revision.
	Extend
	// Inspect: read the key, because the outcome of a write is unknown.
	Inspect
	// Release: delete the key if it still has Revision.
	Release
)

// Action is one call to the store.
type Action struct {
	Kind     Kind
	Slot     int
	Revision uint64
}

// Result is the outcome of a call to the store.
type Result uint8

// Results of calls.
const (
	// Held: this process holds the slot.
	Held Result = iota + 1
	// Taken: another process holds the slot.
	Taken
	// Free: no process holds the slot.
	Free
	// Unavailable: the store was not reached, and nothing was written.
	Unavailable
	// Unknown: the write may have taken effect.
	Unknown
)

// Input is the input of a decision.
type Input struct {
	// Rank is the rank of the process among the balancers of its data centre,
	// from 0. It is negative if the process must not be a seed.
	Rank int
	// Age is the age of the newest known reading of the store.
	Age time.Duration
}

// Machine is the state machine of one process's lease. It is not safe for
// concurrent use.
type Machine struct {
	rand        *rand.Rand
	lease       time.Duration
	busy        bool
	holding     bool
	mustInspect bool
	slot        int
	revision    uint64
	heldUntil   time.Time
	next        time.Time
	demotedAt   time.Time
	// takenCount counts the slots found taken. It selects the slot to claim: the
	// slot that belongs to this process's rank may be held by a process that took
	// it when that process had another rank; the other of the two slots is then
	// the one to claim.
	takenCount int
	backoff    Backoff
}

// New returns the machine of a process that holds no lease. lease is the length
// of the leases that it takes.
func New(random *rand.Rand, lease time.Duration) *Machine {
	return &Machine{rand: random, lease: lease, backoff: Backoff{Min: time.Second, Max: 30 * time.Second}}
}

// Lease returns the length of the leases.
func (m *Machine) Lease() time.Duration { return m.lease }

// Holding reports whether the process holds a lease at now, according to its own
// clock.
func (m *Machine) Holding(now time.Time) bool { return m.holding && now.Before(m.heldUntil) }

// Decide returns the call that is due. The outcome of the call must be passed to
// Done.
func (m *Machine) Decide(now time.Time, in Input) Action {
	if m.holding && !now.Before(m.heldUntil) {
		m.holding = false
	}
	if m.busy || now.Before(m.next) && !m.shouldRelease(now, in) {
		return Action{}
	}
	a := m.nextAction(now, in)
	m.busy = a.Kind != None
	return a
}

// nextAction returns the call to make, regardless of when the next call is due.
func (m *Machine) nextAction(now time.Time, in Input) Action {
	switch {
	case m.holding && m.shouldRelease(now, in):
		return Action{Kind: Release, Slot: m.slot, Revision: m.revision}
	case m.holding:
		return Action{Kind: Extend, Slot: m.slot, Revision: m.revision}
	case !eligible(in):
		return Action{}
	case m.mustInspect:
		return Action{Kind: Inspect, Slot: m.slot}
	}
	m.slot = (in.Rank + m.takenCount) % Slots
	return Action{Kind: Claim, Slot: m.slot}
}

// shouldRelease reports whether the process must release its slot: at once if it
// must not be a seed, or after it has not been eligible for demotionLeases lease
// lengths.
func (m *Machine) shouldRelease(now time.Time, in Input) bool {
	if eligible(in) {
		m.demotedAt = time.Time{}
		return false
	}
	if m.demotedAt.IsZero() {
		m.demotedAt = now
	}
	return m.holding && (in.Rank < 0 || now.Sub(m.demotedAt) >= demotionLeases*m.lease)
}

// eligible reports whether the process may claim a lease: its rank is one of the
// first Slots, or one of the next Spares if the newest known reading of the store
// is stale.
func eligible(in Input) bool {
	limit := Slots
	if in.Age >= Stale {
		limit += Spares
	}
	return in.Rank >= 0 && in.Rank < limit
}

// Done processes the outcome of a call. sent is when the call was sent: the lease
// is counted from then, because the store may have granted it at any time after
// that.
func (m *Machine) Done(now, sent time.Time, a Action, r Result, revision uint64) {
	m.busy = false
	m.mustInspect = false
	switch r {
	case Held:
		m.holding, m.revision = true, revision
		m.heldUntil = sent.Add(m.lease)
		m.next = now.Add(jitter(m.rand, m.lease/renewalsPerLease))
		if a.Kind == Inspect {
			m.next = now // the remaining time of the lease is unknown: extend it at once
		}
		m.backoff.Reset()
	case Taken:
		m.holding = false
		m.takenCount++
		m.next = now.Add(jitter(m.rand, m.lease))
		m.backoff.Reset()
	case Free:
		m.holding = false
		m.next = now
	case Unavailable:
		m.next = now.Add(m.backoff.Next(m.rand))
	case Unknown:
		m.mustInspect = true
		m.holding = m.holding && a.Kind == Extend
		m.next = now.Add(m.backoff.Next(m.rand))
	}
	if a.Kind == Release {
		m.holding = false
	}
}
