package gate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

const warmup = 2 * second

// heartbeatAtAge delivers a heartbeat of an upstream that started the given time ago.
func (b *bench) heartbeatAtAge(sequence uint64, age time.Duration) {
	r, ok := b.gate.Heartbeat(b.now, platform.Heartbeat{
		Instance: platform.Instance{ID: "i-1"}, Slots: slots, Sequence: sequence, WarmupLeft: max(0, warmup-age),
	})
	b.Expect(ok).To(BeTrue())
	b.last = r
}

func (b *bench) pollWithWarmup() {
	b.balancerSends(inner.AppendPoll(nil, inner.Poll{Service: inner.ServiceID(service), Versions: inner.Versions{Listing: 5}, Cold: inner.Cold{Warmup: warmup}}))
}

// After a common power loss upstreams start shortly before their agents, and their first
// heartbeats get no answer. No earlier agent process has forwarded a flow to them, so flows
// that the agent does not know are not held.
func TestUpstreamThatHasJustStartedHoldsNoUnknownFlow(t *testing.T) {
	for _, warmupFirst := range []bool{true, false} {
		b := newBench(t)
		b.gate.SetOwnPosition(b.now, 5)
		if warmupFirst {
			b.pollWithWarmup()
		}
		b.heartbeatAtAge(3, 90*time.Millisecond)
		if !warmupFirst {
			b.Expect(b.verdict(flow(1), 0)).To(Equal(inner.VerdictUnknown))
			b.pollWithWarmup()
			b.Expect(b.lastStatus().State).To(Equal(inner.StateReady), "balancers are notified and ask again")
		}
		b.Expect(b.verdict(flow(1), 0)).To(Equal(inner.VerdictNone))
		b.open(flow(2))
		b.Expect(b.verdict(flow(2), 101)).To(Equal(inner.VerdictHeld))
	}
}

// Balancers with lists of different age report different warm-ups in turn. If the agent
// announced each difference, it would send a status to all balancers for each opening
// packet.
func TestDifferentWarmUpIsNotAnnouncedAgain(t *testing.T) {
	b := newBench(t)
	b.gate.SetOwnPosition(b.now, 5)
	b.pollWithWarmup()
	b.heartbeatAtAge(3, 90*time.Millisecond)
	for n := range 6 {
		cold := inner.Cold{Warmup: warmup + time.Duration(n%2)*50*time.Millisecond}
		b.opening(flow(1+n), inner.Open{Cold: cold})
		b.Expect(b.states()).To(BeEmpty())
	}
}

// If the upstream may have been running for longer, an earlier agent process may have
// received its heartbeats and forwarded flows to it; only the upstream itself knows them.
func TestUpstreamThatMayHaveRunForLongerIsProbed(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(*bench)
	}{
		{"started half a heartbeat interval ago", func(b *bench) { b.pollWithWarmup(); b.heartbeatAtAge(2, 500*time.Millisecond) }},
		{"the upstream is warm", func(b *bench) { b.pollWithWarmup(); b.heartbeatAtAge(40, time.Minute) }},
		{"the warm-up is not known", func(b *bench) { b.heartbeatAtAge(2, 10*time.Millisecond) }},
		{"the warm-up is that of another service", func(b *bench) {
			b.balancerSends(inner.AppendPoll(nil, inner.Poll{Service: inner.ServiceID("other"), Cold: inner.Cold{Warmup: warmup}}))
			b.heartbeatAtAge(2, 10*time.Millisecond)
		}},
		{"the upstream had counted as down", func(b *bench) {
			b.heartbeatAtAge(2, 10*time.Millisecond)
			b.gate.HandleRefusedPacket(b.now)
			b.now += 100 * time.Millisecond
			b.gate.HandleRefusedPacket(b.now)
			b.heartbeatAtAge(3, 110*time.Millisecond)
			b.pollWithWarmup()
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.gate.SetOwnPosition(b.now, 5)
			c.prepare(b)
			b.Expect(b.verdict(flow(1), 0)).To(Equal(inner.VerdictUnknown))
		})
	}
}

// Not every configuration contains the warm-up. It is taken from an upstream's first
// heartbeat and stored in the entry.
func TestWarmUpIsTakenFromTheFirstHeartbeat(t *testing.T) {
	b := newBench(t)
	b.heartbeatAtAge(2, 10*time.Millisecond)
	b.Expect(b.gate.Registration().Warmup).To(BeZero(), "an earlier heartbeat may have been lost")
	b = newBench(t)
	b.heartbeatAtAge(1, 12*time.Millisecond)
	b.Expect(b.gate.Registration().Warmup).To(Equal(warmup))
	b.now += second
	b.heartbeatAtAge(2, second)
	b.Expect(b.gate.Registration().Warmup).To(Equal(warmup))
}

// The upstream started 0.9 s ago and an earlier agent process has forwarded flows to it,
// but the host's clock has since been set back by 0.8 s. By that clock alone the upstream
// would count as just started, and its flows as dead.
func TestHostClockAloneDoesNotProveARecentStart(t *testing.T) {
	b := newBench(t)
	b.gate.SetOwnPosition(b.now, 5)
	const actualAge, ageByClock = 900 * time.Millisecond, 100 * time.Millisecond
	_, ok := b.gate.Heartbeat(b.now, platform.Heartbeat{
		Instance: platform.Instance{ID: "i-1"}, Slots: slots, Sequence: 2, WarmupLeft: warmup - actualAge, Age: ageByClock,
	})
	b.Expect(ok).To(BeTrue())
	b.Expect(b.verdict(flow(1), 0)).To(Equal(inner.VerdictUnknown))
	b.Expect(b.gate.Status(b.now).Warmup).To(Equal(warmup-actualAge+ageByClock), "the estimate by the host's clock is only reported to balancers")
	b.pollWithWarmup() // the warm-up that most hosts have reported
	b.Expect(b.verdict(flow(1), 0)).To(Equal(inner.VerdictUnknown))
	b.Expect(b.gate.Status(b.now).KnowsAllFlows).To(BeFalse())
}
