package gate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/gate"
	"github.com/saltbend/saltbend/internal/packetface/inner"
)

// bounded are terms of a route whose openings may be held.
var bounded = inner.Open{
	Flags: inner.FlagTerms, Hops: inner.MaxBusyHops,
	Terms: inner.Terms{Priority: ordinary, TargetLatency: 248 * time.Millisecond, Timeout: 4032 * time.Millisecond},
}

// An opening that waited for room is not counted among the requests that waited for a slot:
// its request has not run and could still be refused.
func TestWaitsOfOpeningsAreApartFromThoseOfRequests(t *testing.T) {
	b := filled(t, slots)
	b.Expect(b.gate.Pressure(b.now)).To(Equal(gate.Pressure{}))
	for n := slots; b.gate.Pressure(b.now).Held == 0; n++ {
		b.Expect(n).To(BeNumerically("<", 10*slots))
		b.opening(flow(n), bounded)
	}
	b.Expect(b.toUpstream()).To(BeZero())
	b.now += 60 * time.Millisecond
	b.answer(flow(0))
	for b.gate.Pressure(b.now).Held > 0 {
		b.now += 10 * time.Millisecond
		b.last = b.gate.Tick(b.now)
	}
	b.Expect(b.last.OpeningsWaited).To(HaveLen(1))
	b.Expect(b.last.OpeningsWaited[0]).To(BeNumerically(">=", 60*time.Millisecond))
	b.Expect(b.last.Waited).To(BeEmpty())
}
