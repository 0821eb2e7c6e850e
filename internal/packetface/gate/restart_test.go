package gate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

// An upstream may begin again under the id that it had; its start tells the lives apart.

const born = 1_764_000_000_000

func (b *bench) beatBorn(at int64, sequence uint64) {
	r, ok := b.gate.Heartbeat(b.now, platform.Heartbeat{Life: platform.Life{ID: "i-1", Born: at}, Slots: slots, Sequence: sequence})
	b.Expect(ok).To(BeTrue())
	b.last = r
}

// running returns a bench whose upstream has reported 40 times and holds flow 1.
func running(t *testing.T) *bench {
	b := newBench(t)
	b.beatBorn(born, 1)
	b.settle()
	b.open(flow(1))
	for sequence := range uint64(40) {
		b.now += second
		b.beatBorn(born, 2+sequence)
	}
	return b
}

func TestARestartUnderTheSameIDBeginsAnew(t *testing.T) {
	b := running(t)
	b.now += 300 * time.Millisecond
	b.beatBorn(born+45_000, 1)
	b.Expect(resets(b)).To(ConsistOf(flow(1)), "it holds nothing of before")
	b.Expect(b.verdict(flow(2), 0)).To(Equal(inner.VerdictNone), "the agent has seen all of this life")
	b.now += second
	b.beatBorn(born+45_000, 2)
	b.Expect(b.gate.Counts(b.now).HeartbeatAge).To(BeZero(), "its sequence begins anew")
	b.open(flow(3))
}

// Without its first heartbeat the upstream has to tell: its caller's next packet comes
// back, and the flow is held by none.
func TestARestartWhoseFirstHeartbeatWasLost(t *testing.T) {
	b := running(t)
	b.now += 300 * time.Millisecond
	b.beatBorn(born+45_000, 2)
	b.Expect(b.upstreamID()).To(Equal("i-1@1764000045000"))
	b.Expect(resets(b)).To(BeEmpty())
	b.Expect(b.verdict(flow(1), 0)).To(Equal(inner.VerdictMaybe))
	b.send(flow(1), 2, platform.FlagACK, 30)
	b.upstreamSends(fromCaller(flow(1), 2, 101, platform.FlagACK|platform.FlagBounced, 30))
	b.Expect(b.returned()).To(Equal(inner.ReasonUnknown))
	b.open(flow(3))
}

func TestAHeartbeatOfAnEarlierStartIsLate(t *testing.T) {
	b := running(t)
	b.beatBorn(born+45_000, 1)
	b.open(flow(2))
	for sequence := range uint64(3) {
		b.now += second
		b.beatBorn(born+45_000, 2+sequence)
		b.beatBorn(born, 100+sequence)
		b.Expect(resets(b)).To(BeEmpty())
		b.Expect(b.upstreamID()).To(Equal("i-1@1764000045000"))
	}
}

func TestALeaveOfAnEarlierStartIsLate(t *testing.T) {
	b := running(t)
	b.beatBorn(born+45_000, 1)
	b.open(flow(2))
	b.gate.Left(b.now, platform.Life{ID: "i-1", Born: born})
	b.now += second
	b.last = b.gate.Tick(b.now)
	b.Expect(resets(b)).To(BeEmpty())
	b.Expect(b.gate.Status(b.now).State).To(Equal(inner.StateReady))
	b.gate.Left(b.now, platform.Life{ID: "i-1", Born: born + 45_000})
	b.Expect(b.gate.Status(b.now).State).To(Equal(inner.StateDown))
}

// The host's clock is set back between two starts: the life of now looks earlier. It is
// believed in once it has reported twice and nothing else has; nothing is reset on that.
func TestAClockThatIsSetBackKeepsNoLifeOut(t *testing.T) {
	b := running(t)
	b.now += second
	b.beatBorn(born-10_000, 1)
	b.Expect(b.upstreamID()).To(Equal("i-1@1764000000000"))
	b.now += second
	b.beatBorn(born-10_000, 2)
	b.Expect(b.upstreamID()).To(Equal("i-1@1763999990000"))
	b.Expect(resets(b)).To(BeEmpty())
	b.open(flow(2))
	b.beatBorn(born, 60) // the life before, late
	b.Expect(b.upstreamID()).To(Equal("i-1@1763999990000"), "a later start is no proof where that life has ended")
	b.Expect(resets(b)).To(BeEmpty())
}

// An upstream of before does not tell its start.
func TestAHeartbeatWithoutAStartGoesByItsSequence(t *testing.T) {
	b := newBench(t)
	b.beatBorn(0, 1)
	b.open(flow(1))
	b.now += second
	b.beatBorn(born, 2)
	b.Expect(resets(b)).To(BeEmpty())
	b.now += second
	b.beatBorn(0, 3)
	b.Expect(b.gate.Counts(b.now).HeartbeatAge).To(BeZero())
}
