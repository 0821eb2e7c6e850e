package gate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/gate"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
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
	b.now += 100 * time.Millisecond
	b.answer(flow(0)) // the time that an answer takes is known
	b.request(0, 32, ordinary)
	admit := func(n int) {
		b.opening(flow(n), bounded)
		if b.toUpstream() == 0 {
			return
		}
		b.upstreamSends(fromUpstream(flow(n), 100, 2, platform.FlagSYN|platform.FlagACK, 0))
		b.requestOn(n, 2, bounded.Terms)
	}
	for n := slots; n < 8*slots; n++ { // a backlog of some hundred milliseconds
		admit(n)
		b.Expect(b.gate.Pressure(b.now).Held).To(BeZero())
	}
	for range 20 {
		b.now += 50 * time.Millisecond
		b.last = b.gate.Tick(b.now)
	}
	for n := 8 * slots; n < 11*slots; n++ { // requests in time take the room
		admit(n)
	}
	held := b.gate.Pressure(b.now).Held
	b.Expect(held).To(BeNumerically(">", 0))
	b.Expect(b.gate.Pressure(b.now).Lasting).To(BeTrue())
	b.Expect(b.toUpstream()).To(BeZero())
	for b.gate.Pressure(b.now).Held > 0 { // until its caller is about to abandon the attempt
		b.now += 10 * time.Millisecond
		b.last = b.gate.Tick(b.now)
	}
	b.Expect(b.last.OpeningsWaited).To(HaveLen(held))
	b.Expect(b.last.OpeningsWaited[0]).To(BeNumerically(">", second))
	b.Expect(b.last.Waited).To(BeEmpty())
}
