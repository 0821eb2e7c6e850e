package gate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"github.com/saltbend/saltbend/internal/packetface/gate"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/policy"
	"github.com/saltbend/saltbend/platform"
)

const urgent, ordinary = 1, 2

// request sends a request with the given priority.
func (b *bench) request(n int, seq uint32, priority int) {
	b.requestOn(n, seq, inner.Terms{Priority: uint8(priority)})
}

// requestOn sends a request on a route with the given terms.
func (b *bench) requestOn(n int, seq uint32, terms inner.Terms) {
	b.balancerSends(inner.AppendForward(nil, inner.Forward{Terms: terms}, fromCaller(flow(n), seq, 101, platform.FlagACK, 30)))
}

// longUptime is an uptime after which flows count as first tries.
const longUptime = 10 * second

// filled returns a bench whose process has run for longUptime, with open flows of which the
// first ones occupy all slots.
func filled(t types.GomegaTestingT, flows int) *bench {
	b := newBenchWithout(t, nil)
	b.now = longUptime
	return b.fill(flows)
}

// fill opens flows of which the first ones occupy all slots.
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

// openLate opens a flow by a retransmission of its opening packet, although all slots are
// in use.
func (b *bench) openLate(id platform.Flow, copies uint32) { b.openFlagged(id, copies, 0) }

func (b *bench) openFlagged(id platform.Flow, copies uint32, flags inner.Flags) {
	head := inner.Open{Flags: flags, Service: inner.ServiceID(service), Hops: inner.MaxBusyHops}
	b.balancerSends(inner.AppendOpen(nil, head, fromCaller(id, 1, copies, platform.FlagSYN, 0)))
	b.upstreamSends(fromUpstream(id, 100, 2, platform.FlagSYN|platform.FlagACK, 0))
}

// ran returns the caller ports of the flows whose packets the last call forwarded to the
// upstream.
func (b *bench) ran() []uint16 {
	var out []uint16
	for _, a := range b.last.Actions {
		if p, err := platform.ParsePacket(a.Bytes); err == nil && a.Target == gate.ToUpstream {
			out = append(out, p.FromPort)
		}
	}
	return out
}

func TestRequestsWaitingForASlotRunInPriorityOrder(t *testing.T) {
	b := filled(t, 8)
	b.answer(flow(0)) // frees a slot; the flow counts as served from now on
	b.request(0, 32, ordinary)
	b.request(5, 2, ordinary)
	b.request(4, 2, ordinary)
	b.request(6, 2, urgent)
	b.Expect(b.gate.Counts(b.now).Waiting).To(Equal(3))
	b.answer(flow(0))
	b.Expect(b.ran()).To(Equal([]uint16{6}))
	b.request(0, 62, ordinary) // a first try, because the flow has been served before
	b.answer(flow(1))
	b.Expect(b.ran()).To(Equal([]uint16{0}))
	b.answer(flow(6))
	b.Expect(b.ran()).To(Equal([]uint16{5}))
	b.answer(flow(5))
	b.Expect(b.ran()).To(Equal([]uint16{4}))
}

func TestRequestIsForwardedAfterTheMaximumWait(t *testing.T) {
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

// A caller retransmits data that is not acknowledged. The retransmission is not a second
// request, neither while the first waits nor once it has been answered.
func TestRetransmittedDataIsNotANewRequest(t *testing.T) {
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

// A flow that either end has closed has no running request.
func TestClosedFlowsReleaseTheirSlots(t *testing.T) {
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

func TestResetRemovesTheWaitingRequest(t *testing.T) {
	b := filled(t, 3)
	b.request(2, 2, ordinary)
	b.now += 300 * time.Millisecond
	b.send(flow(2), 32, platform.FlagRST, 0)
	b.Expect(b.gate.Counts(b.now).Waiting).To(BeZero())
	b.Expect(b.last.Notes).To(ContainElement(And(
		HaveField("Kind", gate.KindAbandoned), HaveField("Reason", "first-try"), HaveField("Took", 300*time.Millisecond),
	)))
}

func TestAcknowledgementsAreForwardedWithoutWaiting(t *testing.T) {
	b := filled(t, 3)
	b.request(2, 2, ordinary)
	b.send(flow(2), 2, platform.FlagACK, 0)
	b.Expect(b.ran()).To(Equal([]uint16{2}))
}

// A request that has missed its target latency lets requests pass that can still meet
// theirs, and those of more urgent routes.
func TestLateRequestsRunAfterThoseInTime(t *testing.T) {
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

// Whether a request is late depends on the route's target latency and on the mean response
// time.
func TestRequestIsLateIfItMissesTheRoutesTargetLatency(t *testing.T) {
	patient := inner.Terms{TargetLatency: 400 * time.Millisecond, Timeout: 4 * time.Second}
	cases := []struct {
		name string
		wait time.Duration
		want uint16
	}{
		{"still in time: the first request runs first", 150 * time.Millisecond, 2},
		{"late: the request that can meet its target latency runs first", 450 * time.Millisecond, 3},
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

// The request of a flow that was opened by a late retransmission has already waited.
func TestRequestAgeIncludesAgeOfItsOpeningPacket(t *testing.T) {
	b := filled(t, 2)
	b.openLate(flow(2), 2)
	b.openLate(flow(3), 0)
	terms := inner.Terms{TargetLatency: 250 * time.Millisecond}
	b.requestOn(2, 2, terms)
	b.requestOn(3, 2, terms)
	b.answer(flow(0))
	b.Expect(b.ran()).To(Equal([]uint16{3}))
}

// A request waits until its caller's timeout. It is dropped then, because the upstream would
// work on it for nobody, and the flow stays open.
func TestRequestIsDroppedAfterItsTimeout(t *testing.T) {
	b := filled(t, 3)
	terms := inner.Terms{Timeout: 4032 * time.Millisecond}
	b.requestOn(2, 2, terms)
	b.now += 4 * second
	b.last = b.gate.Tick(b.now)
	b.Expect(b.toUpstream()).To(BeZero())
	b.Expect(b.gate.Counts(b.now).Waiting).To(Equal(1))
	b.now += 100 * time.Millisecond
	b.last = b.gate.Tick(b.now)
	b.Expect(b.toUpstream()).To(BeZero())
	b.Expect(b.last.Notes).To(ContainElement(And(
		HaveField("Kind", gate.KindAbandoned), HaveField("Reason", "deadline-passed"), HaveField("Took", 4100*time.Millisecond),
	)))
	b.Expect(b.gate.Counts(b.now).Waiting).To(BeZero())
	b.answer(flow(0))
	b.answer(flow(1))
	b.Expect(b.toUpstream()).To(BeZero())
	b.requestOn(2, 32, terms) // the caller's next request on the flow
	b.Expect(b.ran()).To(Equal([]uint16{2}))
	b.Expect(b.gate.Counts(b.now).Open).To(Equal(3))
}

// A request that a slot becomes free for just before its caller's deadline still runs.
func TestRequestRunsUntilItsTimeout(t *testing.T) {
	b := filled(t, 3)
	b.requestOn(2, 2, inner.Terms{Timeout: 4032 * time.Millisecond})
	b.now += 4 * second
	b.answer(flow(0))
	b.Expect(b.ran()).To(Equal([]uint16{2}))
}

// A request that its balancer flagged as a possible retry runs before one that looks
// equally old and arrived earlier, although both are late.
func TestPossibleRetryRunsBeforeAFirstTryOfTheSameAge(t *testing.T) {
	for flags, want := range map[inner.Flags]uint16{0: 2, inner.FlagMayBeRetry: 4} {
		b := filled(t, 2)
		terms := inner.Terms{TargetLatency: 152 * time.Millisecond, Timeout: 2496 * time.Millisecond}
		b.openLate(flow(2), 2) // the caller's attempt began 0.6 s ago
		b.requestOn(2, 2, terms)
		b.openLate(flow(3), 0)
		b.requestOn(3, 2, terms)
		b.now += 30 * time.Millisecond
		b.answer(flow(0))
		b.Expect(b.ran()).To(Equal([]uint16{3})) // it can meet its target latency
		b.openFlagged(flow(4), 0, flags)         // its caller may have made a first attempt 1.5 s ago
		b.requestOn(4, 2, terms)
		b.now += 550 * time.Millisecond
		b.answer(flow(1))
		b.Expect(b.ran()).To(Equal([]uint16{want}))
	}
}

// A burst of requests may arrive before the first heartbeat. The upstream then gets as many
// requests as the store lists slots for it, and the others wait.
func TestListedSlotsApplyBeforeTheFirstHeartbeat(t *testing.T) {
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
			b.begin("i-1") // the number of slots that the upstream reports takes precedence
			b.Expect(b.gate.Counts(b.now).Waiting).To(Equal(c.want))
		})
	}
}
