package steer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/platform"
)

// check sends the balancer an agent's check of whether the store lists it, and returns
// the poll sent in reply, nil if there is none.
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
	b.Expect(b.check(102).Flags&inner.FlagUnlisted).NotTo(BeZero(), "agent 102 is unknown to the balancer")
	b.core.SetAgents(b.now, nil, listAge(2))
	b.Expect(b.check(101).Flags&inner.FlagUnlisted).NotTo(BeZero(), "agent 101 is no longer listed")
}

// A balancer that has not reached the store lately cannot know whether the store lists an
// agent.
func TestCheckIsNotAnsweredWithoutFreshConfiguration(t *testing.T) {
	b := newBench(t, agentAt(101, "a"))
	b.core.SetTableFresh(false)
	NewWithT(t).Expect(b.check(101)).To(BeNil())
	NewWithT(t).Expect(b.check(102)).To(BeNil())
}

// All entries had expired while the store was unavailable, and a balancer was frozen for
// 2.4 s. When it resumed, it counted that time as silence of the agents and removed them
// all: "agent-gone" reason=unlisted age_ms=2437. Agents whose datagrams had been queued
// were restored at once, one was not, and its flows were reset as "held-by-none" count=2,
// although it was running.
func TestPauseDoesNotRemoveUnlistedAgents(t *testing.T) {
	b := newBench(t, agentAt(101, "a"), agentAt(102, "a"))
	b.status(101, inner.Status{Versions: inner.Versions{Listing: 1}})
	b.status(102, inner.Status{Versions: inner.Versions{Listing: 1}})
	b.last = b.core.SetAgents(b.now, nil, listAge(2))
	b.now += 2400 * time.Millisecond
	b.last = b.core.Tick(b.now)
	b.Expect(b.notes(steer.KindRemoved)).To(BeEmpty())
	b.callerSends(caller(1), platform.FlagACK, 30)
	b.answer(101, caller(1), inner.VerdictNone, 2)
	b.now += 5 * time.Millisecond
	b.last = b.core.Tick(b.now)
	b.Expect(b.resets()).To(Equal(0), "agent 102 may hold the flow")
	for end := b.now + 3*time.Second; b.now < end; b.now += 50 * time.Millisecond {
		b.last = b.core.Tick(b.now)
	}
	b.Expect(b.core.Known()).To(BeEmpty(), "agents silent for 3 s without a pause are removed")
}
