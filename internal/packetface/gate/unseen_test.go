package gate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

const warmup = 2 * second

// reports delivers a heartbeat of an upstream that began some time ago.
func (b *bench) reports(sequence uint64, age time.Duration) {
	r, ok := b.gate.Heartbeat(b.now, platform.Heartbeat{
		Life: platform.Life{ID: "i-1"}, Slots: slots, Sequence: sequence, ColdFor: max(0, warmup-age),
	})
	b.Expect(ok).To(BeTrue())
	b.last = r
}

func (b *bench) hearWarmup() {
	b.balancerSends(inner.AppendPoll(nil, inner.Poll{Service: inner.ServiceID(service), Known: inner.Known{Listing: 5}, Cold: inner.Cold{Warmup: warmup}}))
}

// After a common loss of power upstreams start a moment before their agents, and their
// first reports find nobody. No process before this one has led a flow to them.
func TestAnUpstreamThatBeganAMomentAgoHoldsNoOtherFlow(t *testing.T) {
	for _, warmupFirst := range []bool{true, false} {
		b := newBench(t)
		b.gate.SetSeen(b.now, 5)
		if warmupFirst {
			b.hearWarmup()
		}
		b.reports(3, 90*time.Millisecond)
		if !warmupFirst {
			b.Expect(b.verdict(flow(1), 0)).To(Equal(inner.VerdictMaybe))
			b.hearWarmup()
			b.Expect(b.toldStatus().State).To(Equal(inner.StateReady), "balancers ask again")
		}
		b.Expect(b.verdict(flow(1), 0)).To(Equal(inner.VerdictNone))
		b.open(flow(2))
		b.Expect(b.verdict(flow(2), 101)).To(Equal(inner.VerdictHeld))
	}
}

// Balancers with lists of different age tell different warm-ups, in turn: what the agent
// knows already it does not announce again, to all balancers with each opening packet.
func TestADifferentWarmUpIsNoNews(t *testing.T) {
	b := newBench(t)
	b.gate.SetSeen(b.now, 5)
	b.hearWarmup()
	b.reports(3, 90*time.Millisecond)
	for n := range 6 {
		cold := inner.Cold{Warmup: warmup + time.Duration(n%2)*50*time.Millisecond}
		b.opening(flow(1+n), inner.Open{Cold: cold})
		b.Expect(b.states()).To(BeEmpty())
	}
}

// One that has lived for longer may have been heard by the process before.
func TestAnUpstreamThatHasLivedForLongerTellsItself(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(*bench)
	}{
		{"half of a heartbeat's time", func(b *bench) { b.hearWarmup(); b.reports(2, 500*time.Millisecond) }},
		{"it is warm", func(b *bench) { b.hearWarmup(); b.reports(40, time.Minute) }},
		{"the warm-up is not known", func(b *bench) { b.reports(2, 10*time.Millisecond) }},
		{"the warm-up is another service's", func(b *bench) {
			b.balancerSends(inner.AppendPoll(nil, inner.Poll{Service: inner.ServiceID("other"), Cold: inner.Cold{Warmup: warmup}}))
			b.reports(2, 10*time.Millisecond)
		}},
		{"it was held for gone", func(b *bench) {
			b.reports(2, 10*time.Millisecond)
			b.gate.Refused(b.now)
			b.now += 100 * time.Millisecond
			b.gate.Refused(b.now)
			b.reports(3, 110*time.Millisecond)
			b.hearWarmup()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.gate.SetSeen(b.now, 5)
			c.prepare(b)
			b.Expect(b.verdict(flow(1), 0)).To(Equal(inner.VerdictMaybe))
		})
	}
}

// Not every configuration tells the warm-up; an upstream shows it as it starts, and the
// entry in the store keeps it.
func TestTheWarmUpIsLearnedFromAStart(t *testing.T) {
	b := newBench(t)
	b.reports(2, 10*time.Millisecond)
	b.Expect(b.gate.Registration().Warmup).To(BeZero(), "an earlier report may have been longer ago")
	b = newBench(t)
	b.reports(1, 12*time.Millisecond)
	b.Expect(b.gate.Registration().Warmup).To(Equal(warmup))
	b.now += second
	b.reports(2, second)
	b.Expect(b.gate.Registration().Warmup).To(Equal(warmup))
}

// An upstream began 0.9 s before the process, which has led flows to it, ended; the host's
// clock was set back by 0.8 s meanwhile. By that clock alone the upstream would have begun
// a moment ago, and its flows would be taken for dead.
func TestAHostsOwnClockProvesNothing(t *testing.T) {
	b := newBench(t)
	b.gate.SetSeen(b.now, 5)
	const lives, byClock = 900 * time.Millisecond, 100 * time.Millisecond
	_, ok := b.gate.Heartbeat(b.now, platform.Heartbeat{
		Life: platform.Life{ID: "i-1"}, Slots: slots, Sequence: 2, ColdFor: warmup - lives, Age: byClock,
	})
	b.Expect(ok).To(BeTrue())
	b.Expect(b.verdict(flow(1), 0)).To(Equal(inner.VerdictMaybe))
	b.Expect(b.gate.Status(b.now).Warmup).To(Equal(warmup-lives+byClock), "what it tells")
	b.hearWarmup() // what most others have told
	b.Expect(b.verdict(flow(1), 0)).To(Equal(inner.VerdictMaybe))
	b.Expect(b.gate.Status(b.now).Whole).To(BeFalse())
}
