package seed_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/saltbend/saltbend/internal/seed"
)

var start = time.Unix(1_000_000, 0)

func newMachine() *seed.Machine { return seed.New(rand.New(rand.NewPCG(1, 2)), seed.DefaultLease) }

// claimLease makes the machine claim its slot at now.
func claimLease(t *testing.T, m *seed.Machine, now time.Time) {
	t.Helper()
	a := m.Decide(now, seed.Input{})
	if a.Kind != seed.Claim {
		t.Fatalf("action %v, want a claim", a)
	}
	m.Done(now, now, a, seed.Held, 7)
}

func TestRankAndReadingAgeDecideWhoClaims(t *testing.T) {
	for name, c := range map[string]struct {
		in   seed.Input
		kind seed.Kind
		slot int
	}{
		"the first":                       {seed.Input{Rank: 0}, seed.Claim, 0},
		"the second":                      {seed.Input{Rank: 1}, seed.Claim, 1},
		"a spare, all is well":            {seed.Input{Rank: 2}, seed.None, 0},
		"a spare, nobody reads the store": {seed.Input{Rank: 3, Age: seed.Stale}, seed.Claim, 1},
		"any other":                       {seed.Input{Rank: 4, Age: seed.Stale}, seed.None, 0},
		"who must not":                    {seed.Input{Rank: -1, Age: seed.Stale}, seed.None, 0},
	} {
		t.Run(name, func(t *testing.T) {
			a := newMachine().Decide(start, c.in)
			if a.Kind != c.kind || a.Slot != c.slot {
				t.Errorf("got %v", a)
			}
		})
	}
}

// A holder that was paused past its lease takes itself for no holder when it
// wakes, and claims anew rather than extend.
func TestPausedHolderLosesItsLease(t *testing.T) {
	m := newMachine()
	claimLease(t, m, start)
	woken := start.Add(seed.DefaultLease)
	if m.Holding(woken) {
		t.Error("holds a lapsed lease")
	}
	a := m.Decide(woken, seed.Input{})
	if a.Kind != seed.Claim || a.Revision != 0 {
		t.Fatalf("action %v, want a claim of a free slot", a)
	}
	m.Done(woken, woken, a, seed.Taken, 0)
	if m.Holding(woken) {
		t.Error("holds what another took")
	}
	if again := m.Decide(woken.Add(time.Second), seed.Input{}); again.Kind != seed.None {
		t.Errorf("tries again at once: %v", again)
	}
}

// The first in rank may sit on the second slot, taken when it was second.
func TestClaimsOtherSlotWhenSlotIsTaken(t *testing.T) {
	m := newMachine()
	a := m.Decide(start, seed.Input{Rank: 1})
	m.Done(start, start, a, seed.Taken, 0)
	later := start.Add(2 * seed.DefaultLease)
	if next := m.Decide(later, seed.Input{Rank: 1}); next.Kind != seed.Claim || next.Slot == a.Slot {
		t.Errorf("claims slot %d, then does %v", a.Slot, next)
	}
}

// The lease counts from before the call: an answer that was long under way
// grants what is left.
func TestLeaseStartsWhenTheCallIsSent(t *testing.T) {
	m := newMachine()
	a := m.Decide(start, seed.Input{})
	m.Done(start.Add(10*time.Second), start, a, seed.Held, 7)
	if !m.Holding(start.Add(seed.DefaultLease-time.Second)) || m.Holding(start.Add(seed.DefaultLease)) {
		t.Error("the lease does not end its length after the call")
	}
}

func TestHolderExtendsExpectingItsRevision(t *testing.T) {
	m := newMachine()
	claimLease(t, m, start)
	if a := m.Decide(start.Add(time.Second), seed.Input{}); a.Kind != seed.None {
		t.Errorf("extends early: %v", a)
	}
	a := m.Decide(start.Add(2*seed.DefaultLease/3), seed.Input{})
	if a.Kind != seed.Extend || a.Revision != 7 {
		t.Errorf("got %v", a)
	}
}

func TestUnknownOutcomeIsInspected(t *testing.T) {
	m := newMachine()
	a := m.Decide(start, seed.Input{})
	m.Done(start, start, a, seed.Unknown, 0)
	if m.Holding(start) {
		t.Error("holds what it does not know of")
	}
	later := start.Add(time.Minute)
	a = m.Decide(later, seed.Input{})
	if a.Kind != seed.Inspect {
		t.Fatalf("got %v", a)
	}
	m.Done(later, later, a, seed.Held, 9)
	if next := m.Decide(later, seed.Input{}); next.Kind != seed.Extend || next.Revision != 9 {
		t.Errorf("got %v, want to extend at once", next)
	}
}

// A holder that others have overtaken goes on for a while, and gives its lease
// up at once when it drains.
func TestDemotedOrDrainingHolderReleasesItsLease(t *testing.T) {
	m := newMachine()
	claimLease(t, m, start)
	now := start
	var a seed.Action
	for ; now.Before(start.Add(5 * time.Minute)); now = now.Add(time.Second) {
		a = m.Decide(now, seed.Input{Rank: 5})
		if a.Kind == seed.Release {
			break
		}
		if a.Kind != seed.None {
			m.Done(now, now, a, seed.Held, 7)
		}
	}
	if held := now.Sub(start); a.Kind != seed.Release || held < 30*time.Second || held > 2*time.Minute {
		t.Errorf("%v after %v, want a release after about a minute", a, held)
	}
	m = newMachine()
	claimLease(t, m, start)
	if a := m.Decide(start.Add(time.Second), seed.Input{Rank: -1}); a.Kind != seed.Release {
		t.Errorf("drains and does %v", a)
	}
}

// Processes that lost the store together do not come back together.
func TestBackoffSpreadsRetries(t *testing.T) {
	const processes = 1000
	perSecond := make(map[time.Duration]int)
	for i := range processes {
		random := rand.New(rand.NewPCG(uint64(i), 0))
		b := seed.Backoff{Least: time.Second, Most: 30 * time.Second}
		var at time.Duration
		for at < 10*time.Minute {
			at += b.Next(random)
		}
		perSecond[at.Truncate(time.Second)]++
	}
	for second, n := range perSecond {
		if n > processes/10 {
			t.Errorf("%d of %d retry in second %v", n, processes, second)
		}
	}
}
