package gate_test

import (
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/types"

	"github.com/saltbend/saltbend/internal/packetface/gate"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/policy"
	"github.com/saltbend/saltbend/platform"
)

const (
	service = "results"
	slots   = 2
	second  = time.Second
)

var balancer = netip.MustParseAddrPort("10.0.0.1:7000")

// bench drives one Gate with a simulated clock and holds the result of the last call.
type bench struct {
	*WithT
	gate *gate.Gate
	now  time.Duration
	last *gate.Result
	beat uint64
}

func newBench(t *testing.T) *bench { return newBenchWithout(t, nil) }

// newBenchWithout returns a bench whose Gate has the given policies disabled.
func newBenchWithout(t types.GomegaTestingT, off []string) *bench {
	b := &bench{WithT: NewWithT(t), now: time.Millisecond}
	policies, unknown := policy.Without(off)
	b.Expect(unknown).To(BeEmpty())
	b.gate = gate.New(gate.Settings{
		Policies: policies,
		Service:  service, CallerPort: 9000, Incarnation: 5, Times: gate.Times{DrainTimeout: 3 * second, FlowMaxAge: time.Minute, HeartbeatInterval: second},
	})
	return b
}

// heartbeat delivers the next heartbeat of an instance of the upstream.
func (b *bench) heartbeat(id string, draining bool) {
	b.beat++
	r, ok := b.gate.Heartbeat(b.now, platform.Heartbeat{Instance: platform.Instance{ID: id}, Slots: slots, Sequence: b.beat, Draining: draining})
	b.Expect(ok).To(BeTrue())
	b.last = r
}

// begin delivers the first heartbeat of a new instance.
func (b *bench) begin(id string) {
	b.beat = 0
	b.heartbeat(id, false)
}

func flow(n int) platform.Flow {
	return platform.Flow{Caller: [4]byte{100, 64, 0, 1}, CallerPort: uint16(n), Face: [4]byte{198, 18, 0, 1}, FacePort: 443}
}

func packet(from, to [4]byte, fromPort, toPort uint16, seq, ack uint32, flags platform.Flags, size int) []byte {
	b := make([]byte, platform.PacketHeaderSize+size)
	binary.BigEndian.PutUint32(b, seq)
	binary.BigEndian.PutUint32(b[4:], ack)
	binary.BigEndian.PutUint16(b[12:], uint16(size))
	binary.BigEndian.PutUint16(b[14:], toPort)
	copy(b[16:], to[:])
	copy(b[20:], from[:])
	binary.BigEndian.PutUint16(b[24:], fromPort)
	b[30] = byte(flags)
	return b
}

func fromCaller(id platform.Flow, seq, ack uint32, flags platform.Flags, size int) []byte {
	return packet(id.Caller, id.Face, id.CallerPort, id.FacePort, seq, ack, flags, size)
}

func fromUpstream(id platform.Flow, seq, ack uint32, flags platform.Flags, size int) []byte {
	return packet(id.Face, id.Caller, id.FacePort, id.CallerPort, seq, ack, flags, size)
}

func (b *bench) balancerSends(datagram []byte) {
	r, err := b.gate.FromBalancer(b.now, balancer, datagram)
	b.Expect(err).NotTo(HaveOccurred())
	b.last = r
}

func (b *bench) upstreamSends(packet []byte) {
	r, err := b.gate.FromUpstream(b.now, packet)
	b.Expect(err).NotTo(HaveOccurred())
	b.last = r
}

func (b *bench) opening(id platform.Flow, head inner.Open) {
	if head.Service == 0 {
		head.Service = inner.ServiceID(service)
	}
	b.balancerSends(inner.AppendOpen(nil, head, fromCaller(id, 1, 0, platform.FlagSYN, 0)))
}

// open opens a flow, which the upstream accepts with sequence number 100.
func (b *bench) open(id platform.Flow) {
	b.opening(id, inner.Open{})
	b.Expect(b.toUpstream()).To(Equal(1))
	b.upstreamSends(fromUpstream(id, 100, 2, platform.FlagSYN|platform.FlagACK, 0))
	b.send(id, 2, platform.FlagACK, 0)
	b.Expect(b.toUpstream()).To(Equal(1))
}

// send sends a packet of an open flow.
func (b *bench) send(id platform.Flow, seq uint32, flags platform.Flags, size int) {
	b.balancerSends(inner.AppendForward(nil, inner.Forward{}, fromCaller(id, seq, 101, flags, size)))
}

func (b *bench) answer(id platform.Flow) {
	b.upstreamSends(fromUpstream(id, 101, 50, platform.FlagACK, 20))
}

func (b *bench) count(target gate.Target) int {
	n := 0
	for _, a := range b.last.Actions {
		if a.Target == target {
			n++
		}
	}
	return n
}

func (b *bench) toUpstream() int { return b.count(gate.ToUpstream) }

// returned returns the reason of the packet that was returned to the balancer, 0 for none.
func (b *bench) returned() inner.Reason {
	for _, a := range b.last.Actions {
		if inner.KindOf(a.Bytes) == inner.KindReturned && a.Target == gate.ToBalancer {
			head, _, err := inner.ParseReturned(a.Bytes)
			b.Expect(err).NotTo(HaveOccurred())
			return head.Reason
		}
	}
	return 0
}

func (b *bench) verdict(id platform.Flow, ack uint32) inner.Verdict {
	b.balancerSends(inner.AppendAsk(nil, inner.AskHead{}, []inner.Question{{Flow: id, Acknowledged: ack}}))
	answers, _, err := inner.ParseAnswers(nil, b.last.Actions[0].Bytes)
	b.Expect(err).NotTo(HaveOccurred())
	return answers[0].Verdict
}

func (b *bench) setListing() {
	b.gate.SetOwnPosition(b.now, 5)
	b.balancerSends(inner.AppendPoll(nil, inner.Poll{Versions: inner.Versions{Listing: 5}}))
}

func TestAgentRefusesOpeningPacketsByState(t *testing.T) {
	other := inner.Open{Service: inner.ServiceID("other"), Flags: inner.FlagLastChoice}
	cases := []struct {
		name    string
		prepare func(*bench)
		head    inner.Open
		want    inner.Reason
	}{
		{"ready", func(b *bench) {}, inner.Open{}, 0},
		{"another service", func(b *bench) {}, other, inner.ReasonService},
		{"draining", func(b *bench) { b.heartbeat("i-1", true) }, inner.Open{}, inner.ReasonDraining},
		{"draining, no other upstream is left", func(b *bench) { b.heartbeat("i-1", true) }, inner.Open{Flags: inner.FlagLastChoice}, 0},
		{"draining for nearly DrainTimeout, no other upstream is left", func(b *bench) {
			b.heartbeat("i-1", true)
			b.now += 2500 * time.Millisecond
		}, inner.Open{Flags: inner.FlagLastChoice}, inner.ReasonDraining},
		{"left", func(b *bench) { b.gate.HandleLeave(b.now, platform.Instance{ID: "i-1"}) }, inner.Open{Flags: inner.FlagLastChoice}, inner.ReasonDown},
		{"silent", func(b *bench) {
			b.now += 5 * second
			b.gate.Tick(b.now)
		}, inner.Open{Flags: inner.FlagLastChoice}, inner.ReasonDown},
		{"heartbeats resumed after silence", func(b *bench) {
			b.now += 5 * second
			b.gate.Tick(b.now)
			b.heartbeat("i-1", false)
		}, inner.Open{}, 0},
		{"stopping", func(b *bench) { b.gate.Stop(b.now) }, inner.Open{}, inner.ReasonDraining},
		{"stopping, no other upstream is left", func(b *bench) { b.gate.Stop(b.now) }, inner.Open{Flags: inner.FlagLastChoice}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			b.begin("i-1")
			c.prepare(b)
			b.opening(flow(1), c.head)
			b.Expect(b.returned()).To(Equal(c.want))
			b.Expect(b.toUpstream() == 1).To(Equal(c.want == 0))
		})
	}
}

func TestBusyUpstreamReturnsAnOpeningPacketAtMostThreeTimes(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	for n := range slots {
		b.open(flow(n))
		b.send(flow(n), 2, platform.FlagACK, 30)
	}
	for hops := range uint8(3) {
		b.opening(flow(9), inner.Open{Hops: hops})
		b.Expect(b.returned()).To(Equal(inner.ReasonBusy))
	}
	b.opening(flow(9), inner.Open{Hops: 3})
	b.Expect(b.returned()).To(BeZero())
}

func TestRepliesAreSentDirectlyToTheCaller(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	b.open(flow(1))
	b.send(flow(1), 2, platform.FlagACK, 30)
	b.answer(flow(1))
	b.Expect(b.last.Actions).To(HaveLen(1))
	b.Expect(b.last.Actions[0].Target).To(Equal(gate.ToCaller))
	b.Expect(b.last.Actions[0].To.String()).To(Equal("100.64.0.1:9000"))
}

func TestBouncedOpeningPacketIsReturnedUnchanged(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	b.opening(flow(1), inner.Open{})
	bounced := fromCaller(flow(1), 1, 0, platform.FlagSYN|platform.FlagBounced, 0)
	b.upstreamSends(bounced)
	b.Expect(b.returned()).To(Equal(inner.ReasonBounced))
	_, packet, err := inner.ParseReturned(b.last.Actions[0].Bytes)
	b.Expect(err).NotTo(HaveOccurred())
	b.Expect(packet).To(Equal(fromCaller(flow(1), 1, 0, platform.FlagSYN, 0)))
}

func TestVerdictsOnFlows(t *testing.T) {
	b := newBench(t)
	b.Expect(b.verdict(flow(1), 101)).To(Equal(inner.VerdictUnknown)) // the upstream has not reported
	b.begin("i-1")
	b.Expect(b.verdict(flow(1), 101)).To(Equal(inner.VerdictUnsure)) // no position of the store is known
	b.setListing()
	b.Expect(b.verdict(flow(1), 101)).To(Equal(inner.VerdictNone))
	b.opening(flow(1), inner.Open{})
	b.upstreamSends(fromUpstream(flow(1), 100, 2, platform.FlagSYN|platform.FlagACK, 0))
	b.Expect(b.verdict(flow(1), 101)).To(Equal(inner.VerdictHeld))
	b.Expect(b.verdict(flow(1), 1<<30)).To(Equal(inner.VerdictNone)) // the caller has acknowledged another upstream's answer
}

func TestAgentStartedAfterItsUpstreamProbesForUnknownFlows(t *testing.T) {
	b := newBench(t)
	b.beat = 6
	b.heartbeat("i-1", false)
	b.setListing()
	b.Expect(b.verdict(flow(1), 101)).To(Equal(inner.VerdictUnknown))
	b.send(flow(1), 2, platform.FlagACK, 30)
	b.Expect(b.toUpstream()).To(Equal(1))
	b.answer(flow(1))
	b.Expect(b.verdict(flow(1), 101)).To(Equal(inner.VerdictHeld))

	b.send(flow(2), 2, platform.FlagACK, 30)
	b.upstreamSends(fromCaller(flow(2), 2, 101, platform.FlagACK|platform.FlagBounced, 30))
	b.Expect(b.returned()).To(Equal(inner.ReasonUnknown))
}

func resets(b *bench) []platform.Flow {
	var out []platform.Flow
	for _, a := range b.last.Actions {
		if a.Target != gate.ToCaller {
			continue
		}
		p, err := platform.ParsePacket(a.Bytes)
		b.Expect(err).NotTo(HaveOccurred())
		if p.Flags == platform.FlagRST {
			out = append(out, p.FromUpstream())
		}
	}
	return out
}

func TestFlowsOfAnEndedInstanceAreReset(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	b.open(flow(1))
	b.now += second
	b.heartbeat("i-1", false)
	b.now += 100 * time.Millisecond
	b.open(flow(2)) // opened after the last heartbeat: may belong to the next instance
	b.now += 100 * time.Millisecond
	b.opening(flow(3), inner.Open{}) // still opening: a retransmission may have opened it elsewhere
	b.begin("i-2")
	b.Expect(resets(b)).To(Equal([]platform.Flow{flow(1)}))
	b.setListing()
	b.Expect(b.verdict(flow(1), 101)).To(Equal(inner.VerdictNone))
	b.Expect(b.verdict(flow(2), 101)).To(Equal(inner.VerdictUnknown))
}

func TestUpstreamIsDownAfterRefusedPackets(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	b.open(flow(1))
	b.now += 10 * time.Millisecond
	b.last = b.gate.HandleRefusedPacket(b.now)
	b.Expect(resets(b)).To(BeEmpty())
	b.now += 50 * time.Millisecond
	b.last = b.gate.HandleRefusedPacket(b.now)
	b.Expect(resets(b)).To(Equal([]platform.Flow{flow(1)}))
	b.Expect(b.gate.Status(b.now).State).To(Equal(inner.StateDown))
	b.Expect(b.gate.Registration().Listed).To(BeFalse())
}

func TestFlowsAreResetShortlyAfterUpstreamLeaves(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	b.open(flow(1))
	b.now += 10 * time.Millisecond
	b.gate.HandleLeave(b.now, platform.Instance{ID: "i-1"})
	b.last = b.gate.Tick(b.now)
	b.Expect(resets(b)).To(BeEmpty())
	b.now += 300 * time.Millisecond
	b.last = b.gate.Tick(b.now)
	b.Expect(resets(b)).To(Equal([]platform.Flow{flow(1)}))
}

func TestDelayedHeartbeatIsIgnored(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	b.heartbeat("i-1", true)
	_, ok := b.gate.Heartbeat(b.now, platform.Heartbeat{Instance: platform.Instance{ID: "i-1"}, Slots: slots, Sequence: 1})
	b.Expect(ok).To(BeTrue())
	b.Expect(b.gate.Status(b.now).State).To(Equal(inner.StateDraining))
}

func TestMalformedDatagramsAreRejected(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	for _, datagram := range [][]byte{nil, {0}, {99}, {byte(inner.KindOpen)}, inner.AppendForward(nil, inner.Forward{}, []byte("short")), {byte(inner.KindAsk)}} {
		_, err := b.gate.FromBalancer(b.now, balancer, datagram)
		b.Expect(err).To(HaveOccurred())
	}
	_, err := b.gate.FromUpstream(b.now, []byte("short"))
	b.Expect(err).To(HaveOccurred())
}

// The packets of an answer may be reordered. If the end of the flow arrives first, it
// counts as the answer, so that the response time is recorded once.
func TestEndOfFlowBeforeItsAnswerCountsAsTheAnswer(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	b.open(flow(1))
	b.send(flow(1), 2, platform.FlagACK, 30)
	b.now += 30 * time.Millisecond
	b.upstreamSends(fromUpstream(flow(1), 901, 50, platform.FlagACK|platform.FlagFIN, 0))
	b.Expect(b.last.Answered).To(Equal([]time.Duration{30 * time.Millisecond}))
	b.upstreamSends(fromUpstream(flow(1), 101, 50, platform.FlagACK, 800))
	b.Expect(b.last.Answered).To(BeEmpty())
	b.Expect(b.gate.Counts(b.now).Running).To(BeZero())
}
