package steer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/platform"
)

const usualAnswer = 45 * time.Millisecond

// benchOfSeven returns a bench of seven upstreams with the given answer times and the
// same number of running requests each.
func benchOfSeven(t *testing.T, off []string, running uint16, answers [7]time.Duration) *bench {
	var agents []steer.Agent
	for n := range answers {
		agents = append(agents, agentAt(n+1, "a"))
	}
	b := newBenchWithout(t, off, agents...)
	for n, answer := range answers {
		b.status(n+1, inner.Status{Slots: 4, Running: running, ResponseTime: answer})
	}
	return b
}

// placed opens flows and counts those that are sent to an agent. status is called before
// each, so that the statuses are recent.
func (b *bench) placed(first, flows, agent int, status func()) (got int) {
	for n := range flows {
		status()
		b.callerSends(caller(first+n), platform.FlagSYN, 0)
		for _, to := range b.sent(inner.KindOpen) {
			if to == address(agent, 1) {
				got++
			}
		}
	}
	return got
}

// One upstream of seven becomes five times slower; like the others, it works on two
// requests in four slots.
func TestNewFlowsAvoidSlowUpstream(t *testing.T) {
	answers := [7]time.Duration{5 * usualAnswer}
	for n := range 6 {
		answers[n+1] = usualAnswer + time.Duration(n)*time.Millisecond
	}
	report := func(b *bench, slow time.Duration) func() {
		return func() {
			answers[0] = slow
			for n, answer := range answers {
				b.status(n+1, inner.Status{Slots: 4, Running: 2, ResponseTime: answer})
			}
		}
	}
	b := benchOfSeven(t, nil, 2, answers)
	b.Expect(b.placed(1000, 140, 1, report(b, 5*usualAnswer))).To(BeZero())
	b.Expect(b.placed(2000, 140, 1, report(b, 0))).To(BeNumerically(">", 5), "an upstream without recent answers is tried")
	b.Expect(b.placed(3000, 140, 1, report(b, usualAnswer))).To(BeNumerically(">", 5))

	without := benchOfSeven(t, []string{"slow-upstreams"}, 2, answers)
	without.Expect(without.placed(1000, 140, 1, report(without, 5*usualAnswer))).To(BeNumerically(">", 5))
}

// A slow upstream is better than a long queue at the others, and if all upstreams take
// equally long, none counts as slow.
func TestSlowUpstreamIsPreferredToLongQueues(t *testing.T) {
	b := benchOfSeven(t, nil, 0, [7]time.Duration{3 * usualAnswer, usualAnswer, usualAnswer, usualAnswer, usualAnswer, usualAnswer, usualAnswer})
	b.Expect(b.placed(1000, 20, 1, func() {
		b.status(1, inner.Status{Slots: 4, ResponseTime: 3 * usualAnswer})
		for n := range 6 {
			b.status(n+2, inner.Status{Slots: 4, Running: 8, ResponseTime: usualAnswer})
		}
	})).To(Equal(20))
	all := func() {
		for n := range 7 {
			b.status(n+1, inner.Status{Slots: 4, Running: 2, ResponseTime: 5 * usualAnswer})
		}
	}
	b.Expect(b.placed(2000, 140, 1, all)).To(BeNumerically(">", 5))
}
