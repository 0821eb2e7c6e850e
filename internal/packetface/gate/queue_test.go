package gate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/gate"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/policy"
	"github.com/saltbend/saltbend/platform"
)

const urgent, ordinary = 1, 2

// request sends a request of a rank.
func (b *bench) request(n int, seq uint32, rank int) {
	b.requestOn(n, seq, inner.Terms{Rank: uint8(rank)})
}

// requestOn sends a request on a route with the terms.
func (b *bench) requestOn(n int, seq uint32, terms inner.Terms) {
	b.balancerSends(inner.AppendForward(nil, inner.Forward{Terms: terms}, fromCaller(flow(n), seq, 101, platform.FlagACK, 30)))
}

// settledAfter is an age of a process from which on flows count for first tries.
const settledAfter = 10 * second

// filled returns a bench with open flows, whose first ones take all slots. The
// process has run for a while.
func filled(t *testing.T, flows int) *bench {
	b := newBench(t)
	b.now = settledAfter
	return b.fill(flows)
}

// fill opens flows, whose first ones take all slots.
func (b *bench) fill(flows int) *bench {
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

// openLate opens a flow by a copy of its opening packet, though all slots are taken.
func (b *bench) openLate(id platform.Flow, copies uint32) { b.openFlagged(id, copies, 0) }

func (b *bench) openFlagged(id platform.Flow, copies uint32, flags inner.Flags) {
	head := inner.Open{Flags: flags, Service: inner.ServiceID(service), Hops: inner.MaxBusyHops}
	b.balancerSends(inner.AppendOpen(nil, head, fromCaller(id, 1, copies, platform.FlagSYN, 0)))
	b.upstreamSends(fromUpstream(id, 100, 2, platform.FlagSYN|platform.FlagACK, 0))
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
	b.Expect(b.last.Notes).To(ContainElement(And(HaveField("Kind", gate.KindWaited), HaveField("Reason", "overdue"))))
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
	b.now += 300 * time.Millisecond
	b.send(flow(2), 32, platform.FlagRST, 0)
	b.Expect(b.gate.Counts(b.now).Waiting).To(BeZero())
	b.Expect(b.last.Notes).To(ContainElement(And(
		HaveField("Kind", gate.KindAbandoned), HaveField("Reason", "first-try"), HaveField("Took", 300*time.Millisecond),
	)))
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

// What counts as late depends on the route's aim and on how long answers take.
func TestLateIsWhatMissesTheRoutesAim(t *testing.T) {
	patient := inner.Terms{Aim: 400 * time.Millisecond, Timeout: 4 * time.Second}
	cases := []struct {
		name string
		wait time.Duration
		want uint16
	}{
		{"in time yet, the first goes first", 150 * time.Millisecond, 2},
		{"late, the one that can be in time goes first", 450 * time.Millisecond, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := filled(t, 4)
			b.requestOn(2, 2, patient)
			b.now += c.wait
			b.requestOn(3, 2, patient)
			b.answer(flow(0))
			b.Expect(b.ran()).To(Equal([]uint16{c.want}))
		})
	}
}

// A flow that was opened by a late copy is for a request that has waited already.
func TestARequestIsAsOldAsItsOpeningPacket(t *testing.T) {
	b := filled(t, 2)
	b.openLate(flow(2), 2)
	b.openLate(flow(3), 0)
	terms := inner.Terms{Aim: 250 * time.Millisecond}
	b.requestOn(2, 2, terms)
	b.requestOn(3, 2, terms)
	b.answer(flow(0))
	b.Expect(b.ran()).To(Equal([]uint16{3}))
}

// A request is kept for as long as its caller waits.
func TestARequestIsKeptForItsTimeout(t *testing.T) {
	b := filled(t, 3)
	b.requestOn(2, 2, inner.Terms{Timeout: 4032 * time.Millisecond})
	b.now += 4 * second
	b.last = b.gate.Tick(b.now)
	b.Expect(b.toUpstream()).To(BeZero())
	b.now += 100 * time.Millisecond
	b.last = b.gate.Tick(b.now)
	b.Expect(b.ran()).To(Equal([]uint16{2}))
}

// A flow that its balancer takes for a repetition runs before one that looks as old
// and began earlier, though both are late.
func TestRepetitionsHaveLessTimeLeft(t *testing.T) {
	for name, want := range map[inner.Flags]uint16{0: 2, inner.FlagRepeated: 4} {
		b := filled(t, 2)
		terms := inner.Terms{Aim: 152 * time.Millisecond, Timeout: 2496 * time.Millisecond}
		b.openLate(flow(2), 2) // its caller's attempt began 0.6 s before
		b.requestOn(2, 2, terms)
		b.openLate(flow(3), 0)
		b.requestOn(3, 2, terms)
		b.now += 30 * time.Millisecond
		b.answer(flow(0))
		b.Expect(b.ran()).To(Equal([]uint16{3})) // it can be in its aim
		b.openFlagged(flow(4), 0, name)          // it may have asked first 1.5 s ago
		b.requestOn(4, 2, terms)
		b.now += 550 * time.Millisecond
		b.answer(flow(1))
		b.Expect(b.ran()).To(Equal([]uint16{want}))
	}
}

// A rush comes before the first heartbeat: the upstream gets as many requests as the
// store lists slots for it, and the others wait.
func TestRequestsWaitBeforeTheFirstHeartbeat(t *testing.T) {
	cases := []struct {
		name string
		off  []string
		want int
	}{
		{"with the policy", nil, 3},
		{"without it", []string{string(policy.ListedSlots)}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBenchWithout(t, c.off)
			for n := range 5 {
				b.opening(flow(n), inner.Open{Slots: slots, Hops: inner.MaxBusyHops})
				b.upstreamSends(fromUpstream(flow(n), 100, 2, platform.FlagSYN|platform.FlagACK, 0))
				b.request(n, 2, ordinary)
			}
			b.Expect(b.gate.Counts(b.now).Waiting).To(Equal(c.want))
			b.begin("i-1") // the upstream's own word goes before
			b.Expect(b.gate.Counts(b.now).Waiting).To(Equal(c.want))
		})
	}
}
