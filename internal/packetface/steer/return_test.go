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

// The store comes back from a copy: positions of a later era, without some entries.

const (
	// maxNoticeTime is the time within which a balancer that the store serves notices it,
	// verifyWithin that within which agents look for their entries once they have heard.
	maxNoticeTime = 1500 * time.Millisecond
	maxVerifyTime = 2 * time.Second
	// callTime is what a look for an entry takes.
	callTime = 20 * time.Millisecond
	// settleWithin is the time after which a balancer notes a return as settled.
	settleWithin = 8 * time.Second
)

// restoreStore lets the store return from a copy that lacks some entries.
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
	w.logEvent("the store came back at %s, %s before", w.revision, before)
}

// readRestoredStore lets a balancer read a store that came back, once it notices.
func (w *simFleet) readRestoredStore(b *balancer) {
	if b.readsAt != 0 && w.now >= b.readsAt && !b.refused {
		w.sendList(b, nil)
	}
}

// verifyEntry lets an agent look for its entry after the store came back: some time after it
// has heard of it, soon when a balancer misses the entry or none calls.
func (w *simFleet) verifyEntry(s *simAgent) {
	if w.revision.Era() == 0 {
		return
	}
	soon := w.now + callTime
	if era := s.gate.Era(); era > s.era {
		s.era, s.verifyAt = era, w.now+time.Duration(w.random.Int64N(int64(maxVerifyTime)))
	}
	w.fromAgent(s, s.gate.CheckListed(w.now, true))
	alone := s.gate.TakeAlone()
	if s.entryLost && s.listedAt == 0 && (s.gate.TakeUnlisted() || alone) && (s.verifyAt == 0 || s.verifyAt > soon) {
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
	w.fromAgent(s, s.gate.SetSeen(w.now, w.revision))
}

// The same property, also while the store comes back from copies, twice in a row, and
// right after a loss of power.
func TestNoHeldFlowIsResetWhenStoreIsRestored(t *testing.T) {
	const mostLoss, never = 0.2, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newSimFleet(t, mostLoss, never)
		w.run(50 * time.Millisecond)
		for range rapid.IntRange(5, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 5).Draw(t, "return") == 0 {
				w.restoreStore()
			}
			w.step()
		}
	})
}

// A list of another era may lack an agent that only others knew of before. Its flows are
// not taken for dead before it had its time to be listed again.
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
	b.Expect(resets()).To(BeNumerically(">", 0), "those that wait")
}

// A flow that nobody holds is reset soon after a return, too.
func TestDeadFlowsAreResetAfterStoreIsRestored(t *testing.T) {
	const within = 6 * time.Second // 4 s, and 1.5 s until the last balancer notices
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
				t.Fatalf("%s is not reset\n%s", id, w.flowLog(id))
			}
		}
	})
}

// A balancer that had only just started heard of the configuration in force once, by the
// first status of an agent, 2 ms after its start: "Ready." version=1 after_ms=2. What is
// told within 200 ms of the last time is left out, and 0 counted as the last time. Nobody
// sent anything more, and it still had version 1 of the copy 25 s later.
func TestNewerVersionReportedAtStartIsNotedUntilApplied(t *testing.T) {
	b := newBench(t)
	b.now = 2 * time.Millisecond
	b.last = b.core.SetAgents(b.now, []steer.Agent{agentAt(101, "a")}, listAge(1))
	told := inner.Status{State: inner.StateReady, Known: inner.Known{Version: 2}, Source: [4]byte{10, 0, 0, 9}}
	b.status(101, told)
	b.Expect(b.notes(steer.KindNewer)).To(HaveLen(1))
	again := 0
	tick := func(d time.Duration) {
		for end := b.now + d; b.now < end; b.now += 50 * time.Millisecond {
			b.last = b.core.Tick(b.now)
			again += len(b.notes(steer.KindNewer))
		}
	}
	tick(5 * time.Second)
	b.Expect(again).To(Equal(3))
	b.core.SetTable(b.now, routing.NewTable(platform.Configuration{Version: 2}), time.Minute)
	again = 0
	tick(5 * time.Second)
	b.Expect(again).To(Equal(0))
}
