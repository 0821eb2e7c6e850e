package steer_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/inner"
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

func TestAnAgentThatAsksIsToldWhetherItIsListed(t *testing.T) {
	b := newBench(t, at(101, "a"))
	b.core.SetTableFresh(true)
	b.Expect(b.check(101).Flags & inner.FlagUnlisted).To(BeZero())
	b.Expect(b.check(102).Flags&inner.FlagUnlisted).NotTo(BeZero(), "it is not known")
	b.core.SetAgents(b.now, nil, listAge(2))
	b.Expect(b.check(101).Flags&inner.FlagUnlisted).NotTo(BeZero(), "it was listed before")
}

// A balancer that has not heard the store lately does not know.
func TestABalancerThatTheStoreTurnsAwayTellsNothing(t *testing.T) {
	b := newBench(t, at(101, "a"))
	b.core.SetTableFresh(false)
	NewWithT(t).Expect(b.check(101)).To(BeNil())
	NewWithT(t).Expect(b.check(102)).To(BeNil())
}
