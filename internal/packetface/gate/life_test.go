package gate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

// beatOf delivers one heartbeat of any life.
func (b *bench) beatOf(id string, sequence uint64, service string) {
	r, ok := b.gate.Heartbeat(b.now, platform.Heartbeat{Life: platform.Life{ID: id}, Service: service, Slots: slots, Sequence: sequence})
	b.Expect(ok).To(BeTrue())
	b.last = r
}

func (b *bench) upstreamID() string { return b.gate.Registration().Upstream }

// A heartbeat that was delayed until after its sender's crash must not bring the
// ended life back.
func TestAHeartbeatOfAnEndedLifeIsOutdated(t *testing.T) {
	b := newBench(t)
	b.beatOf("a", 1, "")
	b.now += second
	b.beatOf("a", 2, "")
	b.now += second
	b.beatOf("b", 1, "")
	b.now += 200 * time.Millisecond
	b.open(flow(1))
	b.now += second
	b.beatOf("b", 2, "")
	b.beatOf("a", 3, "")
	b.Expect(resets(b)).To(BeEmpty())
	b.Expect(b.upstreamID()).To(Equal("b"))
	b.Expect(b.gate.Status(b.now).State).To(Equal(inner.StateReady))
}

// The same where the agent began after the first life.
func TestALateHeartbeatOfAnUnknownLifeIsOutdated(t *testing.T) {
	b := newBench(t)
	b.beatOf("b", 1, "")
	b.open(flow(1))
	b.now += second
	b.beatOf("b", 2, "")
	for sequence := range uint64(3) { // several were delayed, and arrive together
		b.beatOf("a", 17+sequence, "")
		b.Expect(resets(b)).To(BeEmpty())
		b.Expect(b.upstreamID()).To(Equal("b"))
	}
}

// A life that goes on reporting is believed in in the end, whatever was thought
// of it; nothing is reset on that.
func TestALifeThatGoesOnReportingIsBelievedIn(t *testing.T) {
	b := newBench(t)
	b.beatOf("a", 1, "")
	b.beatOf("b", 1, "")
	b.open(flow(1))
	b.now += second
	b.beatOf("a", 2, "")
	b.Expect(b.upstreamID()).To(Equal("b"))
	b.now += second
	b.beatOf("a", 3, "")
	b.Expect(b.upstreamID()).To(Equal("a"))
	b.Expect(resets(b)).To(BeEmpty())
}

// A first heartbeat that was lost does not keep a new life out.
func TestALifeWhoseFirstHeartbeatWasLostTakesOver(t *testing.T) {
	b := newBench(t)
	b.beatOf("a", 1, "")
	b.open(flow(1))
	b.now += 3 * second
	b.beatOf("b", 2, "")
	b.Expect(b.upstreamID()).To(Equal("b"))
}

// An address whose upstream is of another service now: opening packets for the
// service before are refused.
func TestALifeOfAnotherServiceChangesTheService(t *testing.T) {
	b := newBench(t)
	b.beatOf("a", 1, service)
	b.now += second
	b.beatOf("b", 1, "other")
	b.Expect(b.gate.Registration().Service).To(Equal("other"))
	b.opening(flow(1), inner.Open{Service: inner.ServiceID(service)})
	b.Expect(b.returned()).To(Equal(inner.ReasonService))
}

// A late heartbeat of the service before must not make a new process serve it.
func TestALateHeartbeatOfAnotherServiceIsNotBelieved(t *testing.T) {
	b := newBench(t)
	b.beatOf("old", 17, "other")
	b.Expect(b.gate.Registration().Listed).To(BeFalse())
	b.beatOf("new", 1, service)
	b.Expect(b.gate.Registration().Service).To(Equal(service))
}

// The entry names the data centre that the upstream reports: a life that begins
// elsewhere moves it.
func TestTheEntryFollowsTheUpstreamsDataCentre(t *testing.T) {
	b := newBench(t)
	for i, dataCentre := range []string{"a", "b"} {
		b.now += second
		_, ok := b.gate.Heartbeat(b.now, platform.Heartbeat{Life: platform.Life{ID: dataCentre}, DataCentre: dataCentre, Slots: slots, Sequence: 1})
		b.Expect(ok).To(BeTrue())
		b.Expect(b.gate.Registration().DataCentre).To(Equal(dataCentre), "life %d", i)
	}
}

// Balancers place no flows at an upstream whose heartbeats have stopped, so they
// would not hear that they are back unless they are told.
func TestHeartbeatsThatAreBackAreAnnounced(t *testing.T) {
	b := newBench(t)
	b.begin("a")
	b.balancerSends(inner.AppendPoll(nil, inner.Poll{Known: inner.Known{}}))
	b.now += 5 * second
	b.last = b.gate.Tick(b.now)
	b.Expect(b.states()).To(Equal([]inner.State{inner.StateSilent}))
	b.now += second
	b.heartbeat("a", false)
	b.Expect(b.states()).To(Equal([]inner.State{inner.StateReady}))
	b.now += 300 * time.Millisecond
	b.Expect(b.gate.Status(b.now).StateFor).To(Equal(300 * time.Millisecond))
}

// states returns the states that the last result tells balancers.
func (b *bench) states() (out []inner.State) {
	for _, a := range b.last.Actions {
		if s, err := inner.ParseStatus(a.Bytes); err == nil {
			out = append(out, s.State)
		}
	}
	return out
}

// Where no configuration can be asked whether there is such a service, neither service
// gets a flow until it is clear who lives there.
func TestAContestedAddressTakesNoFlow(t *testing.T) {
	b := newBench(t)
	b.beatOf("a", 1, service)
	b.now += second
	b.beatOf("a", 2, service)
	stranger := platform.Heartbeat{Life: platform.Life{ID: "b"}, Service: "other", Slots: slots, Sequence: 1}
	_, contested := b.gate.Contest(b.now, stranger)
	b.Expect(contested).To(BeTrue())
	for _, name := range []string{service, "other"} {
		b.opening(flow(1), inner.Open{Service: inner.ServiceID(name), Flags: inner.FlagMust})
		b.Expect(b.toUpstream()).To(BeZero())
	}
	b.now += second
	b.beatOf("a", 3, service)
	b.open(flow(2)) // it lives
	b.Expect(b.upstreamID()).To(Equal("a"))

	b.now += 2 * second
	_, contested = b.gate.Contest(b.now, stranger)
	b.Expect(contested).To(BeFalse(), "the life before is overdue")
}
