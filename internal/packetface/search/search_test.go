package search_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/search"
)

// asked returns a search in which the agents were asked in the given order.
func asked(ids ...search.ID) *search.Search {
	s := search.New(time.Second)
	for _, id := range ids {
		s.Ask(id)
	}
	return s
}

func TestVerdictsAreCountedByState(t *testing.T) {
	w := NewWithT(t)
	s := asked(5, 2, 9, 7)
	w.Expect(s.Ask(2)).To(BeFalse())
	s.RecordVerdict(5, inner.VerdictNone)
	s.RecordVerdict(2, inner.VerdictUnknown)
	s.RecordVerdict(9, inner.VerdictUnsure)
	s.RecordVerdict(44, inner.VerdictNone) // this agent was not asked
	w.Expect(s.Count(search.NotHeld)).To(Equal(1))
	w.Expect(s.Count(search.CannotTell)).To(Equal(1))
	w.Expect(slices.Collect(s.InState(search.Waiting))).To(Equal([]search.ID{9, 7}))
	w.Expect(s.Proved(5)).To(BeTrue())
	w.Expect(s.Proved(44)).To(BeFalse())
}

// An agent's proof stands: a late answer that the agent gave before, when it was still
// unsure, does not revoke it.
func TestLaterVerdictsDoNotRevokeProof(t *testing.T) {
	w := NewWithT(t)
	s := asked(1)
	s.RecordVerdict(1, inner.VerdictNone)
	s.RecordVerdict(1, inner.VerdictUnsure)
	s.RecordVerdict(1, inner.VerdictUnknown)
	w.Expect(s.AskAgain(1)).To(BeFalse())
	w.Expect(s.Proved(1)).To(BeTrue())
}

func TestAgentsAreProbedInOrderAsked(t *testing.T) {
	w := NewWithT(t)
	s := asked(8, 3, 6)
	for _, id := range []search.ID{3, 6, 8} {
		s.RecordVerdict(id, inner.VerdictUnknown)
	}
	w.Expect(s.Probe(2)).To(Equal([]search.ID{8, 3}))
	w.Expect(s.Count(search.Probed)).To(Equal(2))
	w.Expect(s.WasAsked(8)).To(BeTrue())
	w.Expect(s.WasAsked(9)).To(BeFalse())
	w.Expect(s.Probe(2)).To(Equal([]search.ID{6}))
	w.Expect(s.Probe(2)).To(BeEmpty())
	s.BeginRound(2 * time.Second) // probes or their returns may be lost
	w.Expect(s.Probe(3)).To(Equal([]search.ID{8, 3, 6}))
}

func TestForgottenAgentIsNotCounted(t *testing.T) {
	w := NewWithT(t)
	s := asked(1, 2)
	s.RecordVerdict(1, inner.VerdictUnknown)
	s.Probe(1)
	s.Forget(1)
	s.Forget(1)
	w.Expect(s.Asked()).To(Equal(1))
	w.Expect(s.Count(search.Probed)).To(BeZero())
	w.Expect(s.Ask(1)).To(BeTrue()) // the id belongs to another agent now
}

func TestTimeBetweenRoundsDoublesUpToMaximum(t *testing.T) {
	w := NewWithT(t)
	s := asked(1)
	now, due := time.Second, []time.Duration(nil)
	for begun := now; len(due) < 5; now += time.Millisecond {
		if s.RoundDue(now) {
			due = append(due, (now - begun).Round(10*time.Millisecond))
			begun = now
			s.BeginRound(now)
		}
	}
	ms := time.Millisecond
	w.Expect(due).To(Equal([]time.Duration{100 * ms, 200 * ms, 400 * ms, 800 * ms, 800 * ms}))
}

// If the process's ticks are late, the answers of a stage wait unread, and more questions
// would only lengthen the queue.
func TestStageWaitsLongerIfProcessIsLate(t *testing.T) {
	w := NewWithT(t)
	s := asked(1)
	s.NoteStageAsked(time.Second)
	later := time.Second + 20*time.Millisecond
	w.Expect(s.StageDue(later, 0)).To(BeTrue())
	w.Expect(s.StageDue(later, 50*time.Millisecond)).To(BeFalse())
	s.Stage = search.End
	w.Expect(s.StageDue(later, 0)).To(BeFalse())
}

// Whatever the order of calls, the counts match the states, and only an agent's own
// verdict proves that its upstream does not hold the flow.
func TestCountsMatchStates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := search.New(0)
		proved := map[search.ID]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			id := search.ID(rapid.IntRange(0, 9).Draw(t, "id"))
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				s.Ask(id)
			case 2:
				verdict := rapid.SampledFrom([]inner.Verdict{inner.VerdictNone, inner.VerdictUnknown, inner.VerdictUnsure}).Draw(t, "verdict")
				_, known := index(s, id)
				s.RecordVerdict(id, verdict)
				if known && verdict == inner.VerdictNone {
					proved[id] = true
				}
			case 3:
				s.Probe(rapid.IntRange(0, 3).Draw(t, "limit"))
			case 4:
				s.BeginRound(0)
			case 5:
				s.Forget(id)
				delete(proved, id)
			case 6:
				s.AskAgain(id)
			}
			total := 0
			for _, state := range []search.State{search.Waiting, search.CannotTell, search.Probed, search.NotHeld} {
				in := slices.Collect(s.InState(state))
				if len(in) != s.Count(state) {
					t.Fatalf("%d agents are in state %d, but Count returns %d", len(in), state, s.Count(state))
				}
				total += len(in)
			}
			if total != s.Asked() {
				t.Fatalf("%d agents are in any state, but Asked returns %d", total, s.Asked())
			}
			for id := range search.ID(10) {
				if s.Proved(id) != proved[id] {
					t.Fatalf("agent %d: Proved returns %t, want %t", id, s.Proved(id), proved[id])
				}
			}
		}
	})
}

// index returns the state of an agent, and whether it was asked.
func index(s *search.Search, id search.ID) (search.State, bool) {
	for _, state := range []search.State{search.Waiting, search.CannotTell, search.Probed, search.NotHeld} {
		if slices.Contains(slices.Collect(s.InState(state)), id) {
			return state, true
		}
	}
	return 0, false
}
