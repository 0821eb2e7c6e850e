package steer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/admission"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/routing"
	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/platform"
)

// loadedBench returns a bench of three agents in two data centres, whose route states a
// target latency and a timeout.
func loadedBench(t *testing.T) *bench {
	b := newBench(t, agentAt(101, "a"), agentAt(102, "a"), agentAt(103, "b"))
	b.core.SetTable(b.now, routing.NewTable(platform.Configuration{Version: 2, Routes: []platform.Route{{
		Name: "r", Face: face, Shares: []platform.Share{{Service: service, Weight: 1}},
		Priority: 2, TargetLatency: 250 * time.Millisecond, Timeout: 4 * time.Second,
	}}}), time.Minute)
	return b
}

// report has all agents send statuses with the given number of running requests, of four
// slots each, and the given bar, for the duration d. It returns all notes.
func (b *bench) report(d time.Duration, running uint16, bar admission.Standing) (notes []steer.Note) {
	for end := b.now + d; b.now < end; b.now += 20 * time.Millisecond {
		for n := range 3 {
			load := inner.Load{Wait: time.Duration(100*(n+1)) * time.Millisecond, Utilization: 0.25 * float64(n+1), Bar: bar, Epoch: 1}
			b.status(101+n, inner.Status{Running: running, HasLoad: true, Load: load})
		}
		b.last = b.core.Tick(b.now)
		notes = append(notes, b.last.Notes...)
	}
	return notes
}

func TestViewShowsRoomOfServicesAndDataCentres(t *testing.T) {
	b := loadedBench(t)
	b.report(20*time.Millisecond, 3, 0)
	view := b.core.View(b.now)
	b.Expect(view.Services).To(Equal([]steer.ServiceView{{
		Service: service, Agents: 3, Recent: 3, Slots: 12, FreeSlots: 3,
		ShortestWait: 100 * time.Millisecond, LongestWait: 300 * time.Millisecond,
		NewestAge: 20 * time.Millisecond, OldestAge: 20 * time.Millisecond,
	}}))
	b.Expect(view.DataCentres).To(HaveLen(2))
	b.Expect(view.DataCentres[0].Utilization).To(BeNumerically("~", 0.375, 0.002))
	b.Expect(view.DataCentres[1]).To(And(HaveField("DataCentre", "b"), HaveField("Agents", 1), HaveField("FreeSlots", 1)))
	b.Expect(view.Agents[0].StatusAge).To(Equal(20 * time.Millisecond))
}

// The shortage begins with the first observation of it, is noted once and ends a while
// after room has been found.
func TestShortageIsNotedWithItsBeginningAndEnd(t *testing.T) {
	b := loadedBench(t)
	bar := admission.StandingOf(2, 255) // all openings of the route are refused
	b.report(500*time.Millisecond, 4, bar)
	b.callerSends(caller(1), platform.FlagSYN, 0)
	began := b.now
	notes := b.report(3*time.Second, 4, bar)
	b.Expect(notes).To(ContainElement(And(HaveField("Kind", steer.KindShort), HaveField("Reason", service), HaveField("Count", 3))))
	b.Expect(notes).To(HaveLen(1))
	b.Expect(b.core.ShortServices()).To(Equal(1))
	b.callerSends(caller(2), platform.FlagSYN, 0)
	view := b.core.View(b.now).Services[0]
	b.Expect(view.Short).To(BeTrue())
	b.Expect(view.ShortFor).To(BeNumerically("~", b.now-began, 300*time.Millisecond))
	b.Expect(view.Bar).To(And(BeNumerically(">", admission.StandingOf(2, 128)), BeNumerically("<=", bar)))

	notes = b.report(3*time.Second, 3, 0)
	b.Expect(notes).To(ConsistOf(And(HaveField("Kind", steer.KindRoom), HaveField("Took", BeNumerically("~", 3*time.Second, 300*time.Millisecond)))))
	b.Expect(b.core.ShortServices()).To(BeZero())
	b.Expect(b.core.View(b.now).Services[0].Short).To(BeFalse())
}

func TestSingleObservationOfAFullServiceIsNoShortage(t *testing.T) {
	b := loadedBench(t)
	b.callerSends(caller(1), platform.FlagSYN, 0)
	b.Expect(b.report(200*time.Millisecond, 4, 0)).To(BeEmpty())
	b.Expect(b.report(3*time.Second, 2, 0)).To(BeEmpty())
}

func TestShareOfRefusedOpeningsCoversTheLastSeconds(t *testing.T) {
	b := loadedBench(t)
	bar := admission.StandingOf(2, 255)
	b.report(500*time.Millisecond, 4, bar)
	for n := range 64 {
		id := caller(1)
		id.Caller[3] = byte(n) // callers of many ranks
		b.callerSends(id, platform.FlagSYN, 0)
	}
	share := b.core.View(b.now).Services[0].RefusedShare
	b.Expect(share).To(BeNumerically(">", 0.5))
	b.Expect(share).To(BeNumerically("<", 1), "some openings are tried to find new room")
	b.report(time.Minute, 2, 0)
	b.Expect(b.core.View(b.now).Services[0].RefusedShare).To(BeZero())
}

// Routes without a target latency have no room to report.
func TestNoShortageWithoutTargetLatency(t *testing.T) {
	b := newBench(t, agentAt(101, "a"), agentAt(102, "a"), agentAt(103, "a"))
	for n := range 10 {
		b.callerSends(caller(n), platform.FlagSYN, 0)
		b.Expect(b.report(500*time.Millisecond, 4, 0)).To(BeEmpty())
	}
}
