package gate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/gate"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

const coldRate = 4

// arrive opens flows, one each 20 ms, and returns how many the upstream got.
func (b *bench) arrive(first, count int, flags inner.Flags) (taken int) {
	for n := range count {
		b.now += 20 * time.Millisecond
		head := inner.Open{Cold: inner.Cold{Rate: coldRate}, Hops: inner.MaxBusyHops, Flags: flags, Known: inner.Known{Version: 3}}
		b.opening(flow(first+n), head)
		if b.toUpstream() == 1 {
			taken++
			continue
		}
		b.Expect(b.returned()).To(Equal(inner.ReasonCold))
	}
	return taken
}

// All balancers see an idle upstream that has just started, and send it their flows.
func TestAColdUpstreamGetsWhatItBears(t *testing.T) {
	b := newBench(t)
	b.beat = 1
	r, _ := b.gate.Heartbeat(b.now, platform.Heartbeat{Life: platform.Life{ID: "i-1"}, Slots: 50, Sequence: 1, ColdFor: 5 * second})
	b.last = r
	b.Expect(b.arrive(1, 40, 0)).To(Equal(coldRate))
	b.Expect(b.arrive(100, 20, 0)).To(Equal(coldRate), "the next second has begun")
	b.gate.SetTimes(gate.Times{HeartbeatEvery: second, ColdOverage: 2})
	b.now += second
	b.Expect(b.arrive(150, 40, inner.FlagMust)).To(Equal(7), "nobody else takes them")
	b.now += 3 * second
	b.Expect(b.arrive(200, 40, 0)).To(Equal(40), "it is warm")
}

// An agent that has only just started can't know that its upstream has not.
func TestAnUnknownUpstreamCountsAsCold(t *testing.T) {
	b := newBench(t)
	b.Expect(b.arrive(1, 40, 0)).To(Equal(coldRate))
	b.beat = 7
	b.heartbeat("i-1", false)
	b.Expect(b.arrive(100, 4, 0)).To(Equal(4))
}

// A balancer with an older configuration changes nothing.
func TestTheNewestColdRateCounts(t *testing.T) {
	b := newBench(t)
	b.Expect(b.arrive(1, 10, 0)).To(Equal(coldRate))
	b.opening(flow(50), inner.Open{Known: inner.Known{Version: 2}})
	b.Expect(b.returned()).To(Equal(inner.ReasonCold))
}
