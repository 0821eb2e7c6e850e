package gate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

// heartbeatOf delivers one heartbeat of any instance.
func (b *bench) heartbeatOf(id string, sequence uint64, service string) {
	r, ok := b.gate.Heartbeat(b.now, platform.Heartbeat{Instance: platform.Instance{ID: id}, Service: service, Slots: slots, Sequence: sequence})
	b.Expect(ok).To(BeTrue())
	b.last = r
}

func (b *bench) upstreamID() string { return b.gate.Registration().Upstream }

// A heartbeat that arrives after its sender has crashed must not replace the new instance.
func TestHeartbeatOfAnEndedInstanceIsIgnored(t *testing.T) {
	b := newBench(t)
	b.heartbeatOf("a", 1, "")
	b.now += second
	b.heartbeatOf("a", 2, "")
	b.now += second
	b.heartbeatOf("b", 1, "")
	b.now += 200 * time.Millisecond
	b.open(flow(1))
	b.now += second
	b.heartbeatOf("b", 2, "")
	b.heartbeatOf("a", 3, "")
	b.Expect(resets(b)).To(BeEmpty())
	b.Expect(b.upstreamID()).To(Equal("b"))
	b.Expect(b.gate.Status(b.now).State).To(Equal(inner.StateReady))
}

// If the agent started after an instance had ended, delayed heartbeats of that instance must
// not replace the running one, either.
func TestDelayedHeartbeatsOfAnUnknownInstanceAreIgnored(t *testing.T) {
	b := newBench(t)
	b.heartbeatOf("b", 1, "")
	b.open(flow(1))
	b.now += second
	b.heartbeatOf("b", 2, "")
	for sequence := range uint64(3) { // several were delayed, and arrive together
		b.heartbeatOf("a", 17+sequence, "")
		b.Expect(resets(b)).To(BeEmpty())
		b.Expect(b.upstreamID()).To(Equal("b"))
	}
}

// An instance that keeps reporting is adopted in the end, even if it had counted as ended.
// No flow is reset because of that.
func TestInstanceThatKeepsReportingIsAdopted(t *testing.T) {
	b := newBench(t)
	b.heartbeatOf("a", 1, "")
	b.heartbeatOf("b", 1, "")
	b.open(flow(1))
	b.now += second
	b.heartbeatOf("a", 2, "")
	b.Expect(b.upstreamID()).To(Equal("b"))
	b.now += second
	b.heartbeatOf("a", 3, "")
	b.Expect(b.upstreamID()).To(Equal("a"))
	b.Expect(resets(b)).To(BeEmpty())
}

// An instance whose first heartbeat was lost is adopted once the previous one is overdue.
func TestInstanceIsAdoptedAfterItsFirstHeartbeatWasLost(t *testing.T) {
	b := newBench(t)
	b.heartbeatOf("a", 1, "")
	b.open(flow(1))
	b.now += 3 * second
	b.heartbeatOf("b", 2, "")
	b.Expect(b.upstreamID()).To(Equal("b"))
}

// If an upstream of another service starts at the address, opening packets for the previous
// service are refused.
func TestInstanceOfAnotherServiceChangesTheService(t *testing.T) {
	b := newBench(t)
	b.heartbeatOf("a", 1, service)
	b.now += second
	b.heartbeatOf("b", 1, "other")
	b.Expect(b.gate.Registration().Service).To(Equal("other"))
	b.opening(flow(1), inner.Open{Service: inner.ServiceID(service)})
	b.Expect(b.returned()).To(Equal(inner.ReasonService))
}

// A delayed heartbeat of the address's previous service must not make a new agent process
// serve it.
func TestDelayedHeartbeatOfAnotherServiceIsIgnored(t *testing.T) {
	b := newBench(t)
	b.heartbeatOf("old", 17, "other")
	b.Expect(b.gate.Registration().Listed).To(BeFalse())
	b.heartbeatOf("new", 1, service)
	b.Expect(b.gate.Registration().Service).To(Equal(service))
}

// The entry contains the data centre reported by the upstream, and follows an instance that
// starts in another one.
func TestEntryFollowsTheUpstreamsDataCentre(t *testing.T) {
	b := newBench(t)
	for i, dataCentre := range []string{"a", "b"} {
		b.now += second
		_, ok := b.gate.Heartbeat(b.now, platform.Heartbeat{Instance: platform.Instance{ID: dataCentre}, DataCentre: dataCentre, Slots: slots, Sequence: 1})
		b.Expect(ok).To(BeTrue())
		b.Expect(b.gate.Registration().DataCentre).To(Equal(dataCentre), "instance %d", i)
	}
}

// Balancers place no flows on an upstream whose heartbeats have stopped, so no packet would
// show them that the heartbeats have resumed: the agent must send a status.
func TestResumedHeartbeatsAreAnnounced(t *testing.T) {
	b := newBench(t)
	b.begin("a")
	b.balancerSends(inner.AppendPoll(nil, inner.Poll{Versions: inner.Versions{}}))
	b.now += 5 * second
	b.last = b.gate.Tick(b.now)
	b.Expect(b.states()).To(Equal([]inner.State{inner.StateSilent}))
	b.now += second
	b.heartbeat("a", false)
	b.Expect(b.states()).To(Equal([]inner.State{inner.StateReady}))
	b.now += 300 * time.Millisecond
	b.Expect(b.gate.Status(b.now).StateFor).To(Equal(300 * time.Millisecond))
}

// states returns the states in the statuses that the last call sent to balancers.
func (b *bench) states() (out []inner.State) {
	for _, a := range b.last.Actions {
		if s, err := inner.ParseStatus(a.Bytes); err == nil {
			out = append(out, s.State)
		}
	}
	return out
}

// If another service reports from the address and no configuration is available to check
// it, neither service gets a flow until one of the two instances reports again.
func TestContestedAddressRefusesFlows(t *testing.T) {
	b := newBench(t)
	b.heartbeatOf("a", 1, service)
	b.now += second
	b.heartbeatOf("a", 2, service)
	other := platform.Heartbeat{Instance: platform.Instance{ID: "b"}, Service: "other", Slots: slots, Sequence: 1}
	_, contested := b.gate.HandleUncheckedHeartbeat(b.now, other)
	b.Expect(contested).To(BeTrue())
	for _, name := range []string{service, "other"} {
		b.opening(flow(1), inner.Open{Service: inner.ServiceID(name), Flags: inner.FlagLastChoice})
		b.Expect(b.toUpstream()).To(BeZero())
	}
	b.now += second
	b.heartbeatOf("a", 3, service)
	b.open(flow(2)) // the instance has reported again
	b.Expect(b.upstreamID()).To(Equal("a"))

	b.now += 2 * second
	_, contested = b.gate.HandleUncheckedHeartbeat(b.now, other)
	b.Expect(contested).To(BeFalse(), "the current instance is overdue")
}
