// Package seed decides which balancers hold a lease in the store and watch the
// configuration there. The number of seeds depends on the number of data
// centres alone, so that the calls to the store do not grow with the fleet.
// The lease only bounds how many call: nothing that is routed depends on it,
// and a process that lost its lease merely stops being a seed.
//
// The package is pure: the time, randomness and outcomes come in, decisions
// come out.
package seed

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// Slots is the number of seeds of a data centre.
	Slots = 2
	// Spares is the number of further balancers of a data centre that may try
	// when no reading of the store has reached them for Stale: the first ones
	// may be cut off from the store.
	Spares = 2
	// Stale is the age of the newest known reading of the store from which
	// spares try. News of a reading takes some seconds through a large fleet, so
	// that spares may try in vain there: their number is fixed, too.
	Stale = DefaultLease
	// DefaultLease is how long a seed holds its slot without renewing. Together
	// with Stale it bounds how long a change waits when all seeds of a data
	// centre are cut from the store.
	DefaultLease = 10 * time.Second
	// renewalsPerLease is the number of renewals within a lease.
	renewalsPerLease = 3
	// demotionLeases is the number of leases for which a seed goes on that is no
	// longer among the first.
	demotionLeases = 4
)

// Prefix is the prefix of the store's keys of seeds.
const Prefix = "saltbend/seeds/"

// Key returns the store's key of a slot.
func Key(dataCentre string, slot int) string {
	return fmt.Sprintf("%s%s/%d", Prefix, dataCentre, slot)
}

// Kind tells what to do at the store.
type Kind uint8

// Kinds of actions.
const (
	// None: nothing is due.
	None Kind = iota
	// Claim: create the slot's key with a lease.
	Claim
	// Extend: write the key again, expecting Revision.
	Extend
	// Inspect: read the key, since the outcome of a write is not known.
	Inspect
	// Release: delete the key, expecting Revision.
	Release
)

// Action is one call to the store.
type Action struct {
	Kind     Kind
	Slot     int
	Revision uint64
}

// Result tells how a call to the store ended.
type Result uint8

// Results of calls.
const (
	// Held: the key is this process's own.
	Held Result = iota + 1
	// Taken: another process holds the slot.
	Taken
	// Free: nobody holds the slot.
	Free
	// Unavailable: the store was not reached, and nothing has changed.
	Unavailable
	// Unknown: the write may have taken effect.
	Unknown
)

// Input is what a decision rests on.
type Input struct {
	// Rank is the process's place among the balancers of its data centre, from
	// 0; negative for one that must not be a seed.
	Rank int
	// Age is the age of the newest known reading of the store.
	Age time.Duration
}

// Machine decides for one process. It belongs to one goroutine.
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
	// takenCount counts the slots found takenCount: who follows a holder that still sits
	// on the wrong slot must try the other.
	takenCount int
	backoff    Backoff
}

// New returns the machine of a process that holds no lease. It takes leases of
// the given length.
func New(random *rand.Rand, lease time.Duration) *Machine {
	return &Machine{rand: random, lease: lease, backoff: Backoff{Least: time.Second, Most: 30 * time.Second}}
}

// Lease returns the length of the leases that the machine takes.
func (m *Machine) Lease() time.Duration { return m.lease }

// Holding reports whether the process holds a lease at now, by its own clock.
func (m *Machine) Holding(now time.Time) bool { return m.holding && now.Before(m.heldUntil) }

// Decide returns the call that is due. Its outcome goes to Done.
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

// shouldRelease reports whether a holder has been out of the first ranks for so long
// that it gives its slot up.
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

func eligible(in Input) bool {
	limit := Slots
	if in.Age >= Stale {
		limit += Spares
	}
	return in.Rank >= 0 && in.Rank < limit
}

// Done takes in how the call ended. sent is when it was begun: a lease counts
// from there, since the store may have granted it at any later moment.
func (m *Machine) Done(now, sent time.Time, a Action, r Result, revision uint64) {
	m.busy = false
	m.mustInspect = false
	switch r {
	case Held:
		m.holding, m.revision = true, revision
		m.heldUntil = sent.Add(m.lease)
		m.next = now.Add(jitter(m.rand, m.lease/renewalsPerLease))
		if a.Kind == Inspect {
			m.next = now // how much of the lease is left is not known
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
