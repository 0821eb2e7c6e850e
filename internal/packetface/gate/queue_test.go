package gate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/gate"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

const urgent, ordinary = 1, 2

// request sends a request of a rank.
func (b *bench) request(n int, seq uint32, rank int) {
	b.balancerSends(inner.AppendForward(nil, inner.Flags(0).WithRank(rank), fromCaller(flow(n), seq, 101, platform.FlagACK, 30)))
}

// filled returns a bench with open flows, whose first ones take all slots.
func filled(t *testing.T, flows int) *bench {
	b := newBench(t)
	b.begin("i-1")
	for n := range flows {
		b.open(flow(n))
	}
	for n := range slots {
		b.request(n, 2, ordinary)
		b.Expect(b.toUpstream()).To(Equal(1))
	}
	return b
}

// ran returns the flows whose packets went to the upstream at last.
func (b *bench) ran() []uint16 {
	var out []uint16
	for _, a := range b.last.Actions {
		if p, err := platform.ParsePacket(a.Bytes); err == nil && a.Target == gate.ToUpstream {
			out = append(out, p.FromPort)
		}
	}
	return out
}

func TestRequestsWaitForASlotInTheirOrder(t *testing.T) {
	b := filled(t, 8)
	b.answer(flow(0)) // frees a slot; the flow has been served
	b.request(0, 32, ordinary)
	b.request(5, 2, ordinary)
	b.request(4, 2, ordinary)
	b.request(6, 2, urgent)
	b.Expect(b.gate.Counts(b.now).Waiting).To(Equal(3))
	b.answer(flow(0))
	b.Expect(b.ran()).To(Equal([]uint16{6}))
	b.request(0, 62, ordinary) // a first try: its flow was served before
	b.answer(flow(1))
	b.Expect(b.ran()).To(Equal([]uint16{0}))
	b.answer(flow(6))
	b.Expect(b.ran()).To(Equal([]uint16{5}))
	b.answer(flow(5))
	b.Expect(b.ran()).To(Equal([]uint16{4}))
}

func TestNoRequestWaitsForLong(t *testing.T) {
	b := filled(t, 3)
	b.request(2, 2, ordinary)
	b.Expect(b.toUpstream()).To(BeZero())
	b.now += 1400 * time.Millisecond
	b.last = b.gate.Tick(b.now)
	b.Expect(b.toUpstream()).To(BeZero())
	b.now += 200 * time.Millisecond
	b.last = b.gate.Tick(b.now)
	b.Expect(b.ran()).To(Equal([]uint16{2}))
}

// A caller repeats what is not acknowledged: that is no second request, neither
// while the first waits nor once it was answered.
func TestRepeatedDataIsNoNewRequest(t *testing.T) {
	b := filled(t, 3)
	b.request(2, 2, ordinary)
	b.request(2, 2, ordinary)
	b.answer(flow(0))
	b.Expect(b.ran()).To(Equal([]uint16{2}))
	b.answer(flow(2))
	b.answer(flow(1))
	b.request(2, 2, ordinary)
	b.Expect(b.gate.Counts(b.now).Running).To(BeZero())
}

// A flow that either end has closed runs nothing more.
func TestClosedFlowsHoldNoSlot(t *testing.T) {
	b := filled(t, 3)
	b.request(2, 2, ordinary)
	b.send(flow(2), 32, platform.FlagACK|platform.FlagFIN, 0) // the caller has given up
	b.Expect(b.ran()).To(Equal([]uint16{2, 2}))
	b.Expect(b.gate.Counts(b.now).Running).To(Equal(slots))
	for n := range slots {
		b.upstreamSends(fromUpstream(flow(n), 101, 50, platform.FlagACK|platform.FlagFIN, 0))
	}
	b.Expect(b.gate.Counts(b.now).Running).To(BeZero())
}

func TestAResetDropsWhatWaits(t *testing.T) {
	b := filled(t, 3)
	b.request(2, 2, ordinary)
	b.send(flow(2), 32, platform.FlagRST, 0)
	b.Expect(b.gate.Counts(b.now).Waiting).To(BeZero())
}

func TestAcknowledgementsDoNotWait(t *testing.T) {
	b := filled(t, 3)
	b.request(2, 2, ordinary)
	b.send(flow(2), 2, platform.FlagACK, 0)
	b.Expect(b.ran()).To(Equal([]uint16{2}))
}

// What has waited for too long is late already and lets through what is not, but
// for more urgent routes.
func TestLateRequestsLetOthersPass(t *testing.T) {
	b := filled(t, 8)
	b.request(4, 2, ordinary)
	b.request(5, 2, urgent)
	b.now += 130 * time.Millisecond
	b.request(6, 2, ordinary)
	b.answer(flow(0))
	b.Expect(b.ran()).To(Equal([]uint16{5}))
	b.answer(flow(1))
	b.Expect(b.ran()).To(Equal([]uint16{6}))
	b.answer(flow(5))
	b.Expect(b.ran()).To(Equal([]uint16{4}))
}
