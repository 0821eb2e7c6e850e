package steer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/routing"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

// Tests of a store that is restored from a copy: its positions are of a later era, and
// some entries are missing.

const (
	// maxNoticeTime is the time within which a balancer that the store serves detects the
	// restore, maxVerifyTime the time within which agents check their entries once they
	// have learned of it.
	maxNoticeTime = 1500 * time.Millisecond
	maxVerifyTime = 2 * time.Second
	// callTime is how long a check of an entry takes.
	callTime = 20 * time.Millisecond
	// settleWithin is the time after which a balancer takes the restore as settled.
	settleWithin = 8 * time.Second
)

// restoreStore restores the store from a copy that lacks some entries.
func (w *simFleet) restoreStore() {
	before := w.revision
	w.revision = store.At(before.Era()+1, max(1, before.Revision()-w.random.Uint64N(before.Revision())))
	for _, s := range w.agents {
		s.entryLost = s.entryLost || w.random.IntN(3) == 0
	}
	for _, b := range w.balancers {
		if !b.refused {
			b.readsAt = w.now + time.Duration(w.random.Int64N(int64(maxNoticeTime)))
		}
	}
	w.settleAt = w.now + settleWithin
	w.logEvent("the store was restored at position %s, its position before was %s", w.revision, before)
}

// readRestoredStore gives a balancer the list of a restored store once the balancer has
// detected the restore.
func (w *simFleet) readRestoredStore(b *balancer) {
	if b.readsAt != 0 && w.now >= b.readsAt && !b.refused {
		w.sendList(b, nil)
	}
}

// verifyEntry checks an agent's entry after a restore of the store: within maxVerifyTime
// after the agent has learned of the restore, or after callTime if a balancer reports the
// entry as missing or no balancer sends anything.
func (w *simFleet) verifyEntry(s *simAgent) {
	if w.revision.Era() == 0 {
		return
	}
	soon := w.now + callTime
	if era := s.gate.Era(); era > s.era {
		s.era, s.verifyAt = era, w.now+time.Duration(w.random.Int64N(int64(maxVerifyTime)))
	}
	w.fromAgent(s, s.gate.CheckListed(w.now, true))
	unanswered := s.gate.TakeNoBalancerAnswered()
	if s.entryLost && s.listedAt == 0 && (s.gate.TakeUnlisted() || unanswered) && (s.verifyAt == 0 || s.verifyAt > soon) {
		s.verifyAt = soon
	}
	if s.verifyAt == 0 || w.now < s.verifyAt {
		return
	}
	s.verifyAt, s.era = 0, w.revision.Era()
	if s.entryLost {
		w.writeEntry(s)
		return
	}
	w.fromAgent(s, s.gate.SetOwnPosition(w.now, w.revision))
}

// No flow that its upstream holds is reset while the store is restored from copies, also
// twice in a row and right after a power loss.
func TestNoHeldFlowIsResetWhenStoreIsRestored(t *testing.T) {
	const maxLoss, never = 0.2, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newSimFleet(t, maxLoss, never)
		w.run(50 * time.Millisecond)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 5).Draw(t, "return") == 0 {
				w.restoreStore()
			}
			w.step()
		}
	})
}

// A list of a new era may lack an agent that was listed in the era before. Its flows must
// not be reset before the agent has had time to be listed again.
func TestListOfNewEraPreventsResetsAtFirst(t *testing.T) {
	const askedEvery, wait = 100 * time.Millisecond, 4 * time.Second
	b := newBench(t, agentAt(101, "a"))
	b.status(101, inner.Status{})
	b.now += time.Minute
	b.last = b.core.SetAgents(b.now, []steer.Agent{agentAt(101, "a")}, steer.ListAge{AsOf: store.At(2, 1), Newest: store.At(2, 1), Relisting: true})
	resets := func() int {
		b.last = b.core.Tick(b.now)
		return b.resets()
	}
	for n, began := 1, b.now; b.now < began+wait; n++ {
		b.Expect(resets()).To(Equal(0), "%s after it", b.now-began)
		b.callerSends(caller(n), platform.FlagACK, 30)
		b.answer(101, caller(n), inner.VerdictNone, store.At(2, 1))
		b.Expect(b.resets()).To(Equal(0), "%s after it", b.now-began)
		b.now += askedEvery
	}
	b.Expect(resets()).To(BeNumerically(">", 0), "searches that have waited end with a reset")
}

// A flow that no upstream holds is reset soon after a restore of the store, too.
func TestDeadFlowsAreResetAfterStoreIsRestored(t *testing.T) {
	const within = 6 * time.Second // relistSettleTime of 4 s, and 1.5 s until the last balancer detects the restore
	rapid.Check(t, func(t *rapid.T) {
		w := newSimFleetOf(t, 3, 2, 0, steer.DefaultAbsentAfter)
		w.run(500 * time.Millisecond)
		w.openFlows(6)
		w.run(time.Second)
		w.restoreStore()
		w.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
		w.losePower()
		for range int(within / (200 * time.Millisecond)) {
			for _, id := range append([]platform.Flow(nil), w.flows...) {
				if ack, ok := w.accepted[id]; ok {
					w.callerSends(id, platform.FlagACK, ack, 30)
				}
			}
			w.run(200 * time.Millisecond)
		}
		for _, id := range w.flows {
			if _, ok := w.accepted[id]; ok {
				t.Fatalf("dead flow %s was not reset\n%s", id, w.flowLog(id))
			}
		}
	})
}

// A balancer that had just started received the newer configuration version once, in the
// first status of an agent 2 ms after its start: "Ready." version=1 after_ms=2. No note
// is added within 200 ms of the last one, and the initial 0 counted as the time of the
// last one, so this note was left out. No agent sent anything more, and the balancer
// still had version 1 of the copy 25 s later.
func TestNewerVersionReportedAtStartIsNotedUntilApplied(t *testing.T) {
	b := newBench(t)
	b.now = 2 * time.Millisecond
	b.last = b.core.SetAgents(b.now, []steer.Agent{agentAt(101, "a")}, listAge(1))
	status := inner.Status{State: inner.StateReady, Versions: inner.Versions{Version: 2}, Source: [4]byte{10, 0, 0, 9}}
	b.status(101, status)
	b.Expect(b.notes(steer.KindNewer)).To(HaveLen(1))
	repeated := 0
	tick := func(d time.Duration) {
		for end := b.now + d; b.now < end; b.now += 50 * time.Millisecond {
			b.last = b.core.Tick(b.now)
			repeated += len(b.notes(steer.KindNewer))
		}
	}
	tick(5 * time.Second)
	b.Expect(repeated).To(Equal(3))
	b.core.SetTable(b.now, routing.NewTable(platform.Configuration{Version: 2}), time.Minute)
	repeated = 0
	tick(5 * time.Second)
	b.Expect(repeated).To(Equal(0))
}
