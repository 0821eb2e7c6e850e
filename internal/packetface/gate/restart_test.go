package gate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

// An upstream may restart under the same id; its start time distinguishes the instances.

const startedMS = 1_764_000_000_000

func (b *bench) heartbeatWithStart(at int64, sequence uint64) {
	r, ok := b.gate.Heartbeat(b.now, platform.Heartbeat{Instance: platform.Instance{ID: "i-1", StartedMS: at}, Slots: slots, Sequence: sequence})
	b.Expect(ok).To(BeTrue())
	b.last = r
}

// running returns a bench whose upstream has sent 41 heartbeats and holds flow 1.
func running(t *testing.T) *bench {
	b := newBench(t)
	b.heartbeatWithStart(startedMS, 1)
	b.setListing()
	b.open(flow(1))
	for sequence := range uint64(40) {
		b.now += second
		b.heartbeatWithStart(startedMS, 2+sequence)
	}
	return b
}

func TestRestartUnderTheSameIDResetsFlows(t *testing.T) {
	b := running(t)
	b.now += 300 * time.Millisecond
	b.heartbeatWithStart(startedMS+45_000, 1)
	b.Expect(resets(b)).To(ConsistOf(flow(1)), "the new instance does not hold the flow")
	b.Expect(b.verdict(flow(2), 0)).To(Equal(inner.VerdictNone), "the agent has seen every packet of this instance")
	b.now += second
	b.heartbeatWithStart(startedMS+45_000, 2)
	b.Expect(b.gate.Counts(b.now).HeartbeatAge).To(BeZero(), "sequence numbers restart with the instance")
	b.open(flow(3))
}

// If the first heartbeat of the new instance was lost, the agent probes the upstream: it
// returns the caller's next packet, which shows that it does not hold the flow.
func TestRestartIsProbedIfItsFirstHeartbeatWasLost(t *testing.T) {
	b := running(t)
	b.now += 300 * time.Millisecond
	b.heartbeatWithStart(startedMS+45_000, 2)
	b.Expect(b.upstreamID()).To(Equal("i-1@1764000045000"))
	b.Expect(resets(b)).To(BeEmpty())
	b.Expect(b.verdict(flow(1), 0)).To(Equal(inner.VerdictUnknown))
	b.send(flow(1), 2, platform.FlagACK, 30)
	b.upstreamSends(fromCaller(flow(1), 2, 101, platform.FlagACK|platform.FlagBounced, 30))
	b.Expect(b.returned()).To(Equal(inner.ReasonUnknown))
	b.open(flow(3))
}

func TestHeartbeatOfAnEarlierStartIsIgnored(t *testing.T) {
	b := running(t)
	b.heartbeatWithStart(startedMS+45_000, 1)
	b.open(flow(2))
	for sequence := range uint64(3) {
		b.now += second
		b.heartbeatWithStart(startedMS+45_000, 2+sequence)
		b.heartbeatWithStart(startedMS, 100+sequence)
		b.Expect(resets(b)).To(BeEmpty())
		b.Expect(b.upstreamID()).To(Equal("i-1@1764000045000"))
	}
}

func TestLeaveOfAnEarlierStartIsIgnored(t *testing.T) {
	b := running(t)
	b.heartbeatWithStart(startedMS+45_000, 1)
	b.open(flow(2))
	b.gate.HandleLeave(b.now, platform.Instance{ID: "i-1", StartedMS: startedMS})
	b.now += second
	b.last = b.gate.Tick(b.now)
	b.Expect(resets(b)).To(BeEmpty())
	b.Expect(b.gate.Status(b.now).State).To(Equal(inner.StateReady))
	b.gate.HandleLeave(b.now, platform.Instance{ID: "i-1", StartedMS: startedMS + 45_000})
	b.Expect(b.gate.Status(b.now).State).To(Equal(inner.StateDown))
}

// If the host's clock is set back between two starts, the new instance looks like an
// earlier one. It is adopted once it has sent two heartbeats and the other instance none;
// no flow is reset because of that.
func TestInstanceIsAdoptedAfterTheClockWasSetBack(t *testing.T) {
	b := running(t)
	b.now += second
	b.heartbeatWithStart(startedMS-10_000, 1)
	b.Expect(b.upstreamID()).To(Equal("i-1@1764000000000"))
	b.now += second
	b.heartbeatWithStart(startedMS-10_000, 2)
	b.Expect(b.upstreamID()).To(Equal("i-1@1763999990000"))
	b.Expect(resets(b)).To(BeEmpty())
	b.open(flow(2))
	b.heartbeatWithStart(startedMS, 60) // a delayed heartbeat of the previous instance
	b.Expect(b.upstreamID()).To(Equal("i-1@1763999990000"), "a later start time does not suffice for an instance that has ended")
	b.Expect(resets(b)).To(BeEmpty())
}

// Upstreams of an older version do not report their start time.
func TestHeartbeatWithoutStartTimeIsOrderedBySequence(t *testing.T) {
	b := newBench(t)
	b.heartbeatWithStart(0, 1)
	b.open(flow(1))
	b.now += second
	b.heartbeatWithStart(startedMS, 2)
	b.Expect(resets(b)).To(BeEmpty())
	b.now += second
	b.heartbeatWithStart(0, 3)
	b.Expect(b.gate.Counts(b.now).HeartbeatAge).To(BeZero())
}

// Balancers wait longer for an agent whose process is being restarted. They must be told so
// also if the state is that of a draining or silent upstream.
func TestStopIsReportedWhateverTheUpstreamsState(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(*bench)
		want inner.State
	}{
		{"ready", func(*bench) {}, inner.StateStopping},
		{"draining", func(b *bench) { b.heartbeat("i-1", true) }, inner.StateDraining},
		{"silent", func(b *bench) {
			b.now += 5 * second
			b.gate.Tick(b.now)
		}, inner.StateSilent},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.begin("i-1")
			b.balancerSends(inner.AppendPoll(nil, inner.Poll{}))
			c.do(b)
			b.last = b.gate.Stop(b.now)
			b.Expect(b.states()).To(Equal([]inner.State{c.want}))
			status, err := inner.ParseStatus(b.last.Actions[0].Bytes)
			b.Expect(err).NotTo(HaveOccurred())
			b.Expect(status.Stopping).To(BeTrue())
		})
	}
}

// The announcement that an agent process stops may be lost on the way to a balancer, which
// would then take a planned restart for a failure.
func TestStopIsAnnouncedAgain(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	b.balancerSends(inner.AppendPoll(nil, inner.Poll{}))
	b.last = b.gate.Stop(b.now)
	announced := 0
	for range 10 {
		b.now += 200 * time.Millisecond
		b.last = b.gate.Tick(b.now)
		announced += len(b.states())
	}
	b.Expect(announced).To(Equal(2))
}
