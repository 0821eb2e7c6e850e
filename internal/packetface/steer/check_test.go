package steer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/platform"
)

// check lets an agent ask whether the store lists it, and returns the poll that answers.
func (b *bench) check(host int) *inner.Poll {
	r, err := b.core.FromAgent(b.now, address(host, 1), inner.AppendCheck(nil))
	b.Expect(err).NotTo(HaveOccurred())
	b.last = r
	for _, a := range r.Actions {
		if a.To == address(host, 1) && inner.KindOf(a.Bytes) == inner.KindPoll {
			poll, err := inner.ParsePoll(a.Bytes)
			b.Expect(err).NotTo(HaveOccurred())
			return &poll
		}
	}
	return nil
}

func TestCheckIsAnsweredByPollWithListingState(t *testing.T) {
	b := newBench(t, agentAt(101, "a"))
	b.core.SetTableFresh(true)
	b.Expect(b.check(101).Flags & inner.FlagUnlisted).To(BeZero())
	b.Expect(b.check(102).Flags&inner.FlagUnlisted).NotTo(BeZero(), "it is not known")
	b.core.SetAgents(b.now, nil, listAge(2))
	b.Expect(b.check(101).Flags&inner.FlagUnlisted).NotTo(BeZero(), "it was listed before")
}

// A balancer that has not heard the store lately does not know.
func TestCheckIsNotAnsweredWithoutFreshConfiguration(t *testing.T) {
	b := newBench(t, agentAt(101, "a"))
	b.core.SetTableFresh(false)
	NewWithT(t).Expect(b.check(101)).To(BeNil())
	NewWithT(t).Expect(b.check(102)).To(BeNil())
}

// All entries had lapsed while the store was away, and a balancer was frozen for 2.4 s.
// When it woke it took that time for silence and forgot all agents: "agent-gone"
// reason=unlisted age_ms=2437. Those whose datagrams had waited came back at once, one did
// not, and its flows were reset as "held-by-none" count=2, though it lived.
func TestPauseDoesNotRemoveUnlistedAgents(t *testing.T) {
	b := newBench(t, agentAt(101, "a"), agentAt(102, "a"))
	b.status(101, inner.Status{Known: inner.Known{Listing: 1}})
	b.status(102, inner.Status{Known: inner.Known{Listing: 1}})
	b.last = b.core.SetAgents(b.now, nil, listAge(2))
	b.now += 2400 * time.Millisecond
	b.last = b.core.Tick(b.now)
	b.Expect(b.notes(steer.KindGone)).To(BeEmpty())
	b.callerSends(caller(1), platform.FlagACK, 30)
	b.answer(101, caller(1), inner.VerdictNone, 2)
	b.now += 5 * time.Millisecond
	b.last = b.core.Tick(b.now)
	b.Expect(b.resets()).To(Equal(0), "the other one may hold it")
	for end := b.now + 3*time.Second; b.now < end; b.now += 50 * time.Millisecond {
		b.last = b.core.Tick(b.now)
	}
	b.Expect(b.core.Known()).To(BeEmpty(), "silent for longer without a pause")
}
