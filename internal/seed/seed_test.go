package seed_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/saltbend/saltbend/internal/seed"
)

var start = time.Unix(1_000_000, 0)

func newMachine() *seed.Machine { return seed.New(rand.New(rand.NewPCG(1, 2)), seed.DefaultLease) }

// claimLease makes the machine claim and get a lease at now.
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
		"first rank":                        {seed.Input{Rank: 0}, seed.Claim, 0},
		"second rank":                       {seed.Input{Rank: 1}, seed.Claim, 1},
		"spare, fresh reading of the store": {seed.Input{Rank: 2}, seed.None, 0},
		"spare, stale reading of the store": {seed.Input{Rank: 3, Age: seed.Stale}, seed.Claim, 1},
		"rank after the spares":             {seed.Input{Rank: 4, Age: seed.Stale}, seed.None, 0},
		"negative rank":                     {seed.Input{Rank: -1, Age: seed.Stale}, seed.None, 0},
	} {
		t.Run(name, func(t *testing.T) {
			a := newMachine().Decide(start, c.in)
			if a.Kind != c.kind || a.Slot != c.slot {
				t.Errorf("action %v, want the kind and slot of the test case", a)
			}
		})
	}
}

// A holder that was paused until after the end of its lease must not consider
// itself a holder when it resumes, and must claim the slot again instead of
// extending the lease.
func TestPausedHolderLosesItsLease(t *testing.T) {
	m := newMachine()
	claimLease(t, m, start)
	woken := start.Add(seed.DefaultLease)
	if m.Holding(woken) {
		t.Error("machine holds a lease that has expired")
	}
	a := m.Decide(woken, seed.Input{})
	if a.Kind != seed.Claim || a.Revision != 0 {
		t.Fatalf("action %v, want a claim of a free slot", a)
	}
	m.Done(woken, woken, a, seed.Taken, 0)
	if m.Holding(woken) {
		t.Error("machine holds a lease on a slot that another process has taken")
	}
	if again := m.Decide(woken.Add(time.Second), seed.Input{}); again.Kind != seed.None {
		t.Errorf("action %v one second after the slot was taken, want none", again)
	}
}

// The balancer of the first rank may hold the second slot, because it claimed it
// when it had the second rank.
func TestClaimsOtherSlotWhenSlotIsTaken(t *testing.T) {
	m := newMachine()
	a := m.Decide(start, seed.Input{Rank: 1})
	m.Done(start, start, a, seed.Taken, 0)
	later := start.Add(2 * seed.DefaultLease)
	if next := m.Decide(later, seed.Input{Rank: 1}); next.Kind != seed.Claim || next.Slot == a.Slot {
		t.Errorf("claimed slot %d, then action %v; want a claim of the other slot", a.Slot, next)
	}
}

// The lease is counted from the time when the call was sent, so that after a slow
// answer only the rest of the lease remains.
func TestLeaseStartsWhenTheCallIsSent(t *testing.T) {
	m := newMachine()
	a := m.Decide(start, seed.Input{})
	m.Done(start.Add(10*time.Second), start, a, seed.Held, 7)
	if !m.Holding(start.Add(seed.DefaultLease-time.Second)) || m.Holding(start.Add(seed.DefaultLease)) {
		t.Error("lease does not end one lease length after the call was sent")
	}
}

func TestHolderExtendsExpectingItsRevision(t *testing.T) {
	m := newMachine()
	claimLease(t, m, start)
	if a := m.Decide(start.Add(time.Second), seed.Input{}); a.Kind != seed.None {
		t.Errorf("action %v one second after the claim, want none", a)
	}
	a := m.Decide(start.Add(2*seed.DefaultLease/3), seed.Input{})
	if a.Kind != seed.Extend || a.Revision != 7 {
		t.Errorf("action %v, want to extend revision 7", a)
	}
}

func TestUnknownOutcomeIsInspected(t *testing.T) {
	m := newMachine()
	a := m.Decide(start, seed.Input{})
	m.Done(start, start, a, seed.Unknown, 0)
	if m.Holding(start) {
		t.Error("machine holds a lease although the outcome of the claim is unknown")
	}
	later := start.Add(time.Minute)
	a = m.Decide(later, seed.Input{})
	if a.Kind != seed.Inspect {
		t.Fatalf("action %v, want to inspect the slot", a)
	}
	m.Done(later, later, a, seed.Held, 9)
	if next := m.Decide(later, seed.Input{}); next.Kind != seed.Extend || next.Revision != 9 {
		t.Errorf("action %v, want to extend revision 9 at once", next)
	}
}

// A holder that is no longer among the first ranks keeps its lease for a while. A
// holder that drains releases it at once.
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
		t.Errorf("action %v after %v, want a release after 30 s to 2 min", a, held)
	}
	m = newMachine()
	claimLease(t, m, start)
	if a := m.Decide(start.Add(time.Second), seed.Input{Rank: -1}); a.Kind != seed.Release {
		t.Errorf("action %v while draining, want a release", a)
	}
}

// Processes that lost the store at the same time must not retry at the same time.
func TestBackoffSpreadsRetries(t *testing.T) {
	const processes = 1000
	perSecond := make(map[time.Duration]int)
	for i := range processes {
		random := rand.New(rand.NewPCG(uint64(i), 0))
		b := seed.Backoff{Min: time.Second, Max: 30 * time.Second}
		var at time.Duration
		for at < 10*time.Minute {
			at += b.Next(random)
		}
		perSecond[at.Truncate(time.Second)]++
	}
	for second, n := range perSecond {
		if n > processes/10 {
			t.Errorf("%d of %d processes retry in second %v, want at most a tenth", n, processes, second)
		}
	}
}
