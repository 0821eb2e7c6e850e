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

// openFlows opens flows, one every 20 ms, and returns how many the upstream got. The others
// must be returned with inner.ReasonCold.
func (b *bench) openFlows(first, count int, flags inner.Flags) (taken int) {
	for n := range count {
		b.now += 20 * time.Millisecond
		head := inner.Open{Cold: inner.Cold{Rate: coldRate}, Hops: inner.MaxBusyHops, Flags: flags, Versions: inner.Versions{Version: 3}}
		b.opening(flow(first+n), head)
		if b.toUpstream() == 1 {
			taken++
			continue
		}
		b.Expect(b.returned()).To(Equal(inner.ReasonCold))
	}
	return taken
}

// A cold upstream looks idle to all balancers, so that each sends its flows there. The
// agent limits them to the cold rate in each second, or to ColdOverage times that for flows
// that no other upstream accepts.
func TestColdUpstreamGetsNoMoreFlowsThanItsBound(t *testing.T) {
	b := newBench(t)
	b.beat = 1
	r, _ := b.gate.Heartbeat(b.now, platform.Heartbeat{Instance: platform.Instance{ID: "i-1"}, Slots: 50, Sequence: 1, WarmupLeft: 5 * second})
	b.last = r
	b.Expect(b.openFlows(1, 40, 0)).To(Equal(coldRate))
	b.Expect(b.openFlows(100, 20, 0)).To(Equal(coldRate), "the bound applies anew to the next second")
	b.gate.SetTimes(gate.Times{HeartbeatInterval: second, ColdOverage: 2})
	b.now += second
	b.Expect(b.openFlows(150, 40, inner.FlagLastChoice)).To(Equal(7), "flows that no other upstream accepts")
	b.now += 3 * second
	b.Expect(b.openFlows(200, 40, 0)).To(Equal(40), "the upstream is warm")
}

// An agent that has just started cannot know yet whether its upstream is warm.
func TestUpstreamWithoutHeartbeatCountsAsCold(t *testing.T) {
	b := newBench(t)
	b.Expect(b.openFlows(1, 40, 0)).To(Equal(coldRate))
	b.beat = 7
	b.heartbeat("i-1", false)
	b.Expect(b.openFlows(100, 4, 0)).To(Equal(4))
}

// An opening packet from a balancer with an older configuration, which has no cold rate,
// does not change the bound.
func TestColdRateOfOlderConfigurationIsIgnored(t *testing.T) {
	b := newBench(t)
	b.Expect(b.openFlows(1, 10, 0)).To(Equal(coldRate))
	b.opening(flow(50), inner.Open{Versions: inner.Versions{Version: 2}})
	b.Expect(b.returned()).To(Equal(inner.ReasonCold))
}
