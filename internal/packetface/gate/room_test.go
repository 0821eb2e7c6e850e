package gate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

// reportedLoad polls the agent as a balancer that accepts the load, and returns the load.
func (b *bench) reportedLoad() inner.Load {
	b.balancerSends(inner.AppendPoll(nil, inner.Poll{Flags: inner.FlagStatus | inner.FlagLoad, Service: inner.ServiceID(service)}))
	for _, a := range b.last.Actions {
		if inner.KindOf(a.Bytes) == inner.KindStatus {
			s, err := inner.ParseStatus(a.Bytes)
			b.Expect(err).NotTo(HaveOccurred())
			b.Expect(s.HasLoad).To(BeTrue())
			return s.Load
		}
	}
	b.Expect(false).To(BeTrue(), "no status")
	return inner.Load{}
}

// ask sends a request of the given priority on an open flow.
func (b *bench) ask(n int, seq uint32, priority uint8) {
	b.balancerSends(inner.AppendForward(nil, inner.Forward{Terms: inner.Terms{Priority: priority}}, fromCaller(flow(n), seq, 101, platform.FlagACK, 30)))
}

// One of two slots is in use for 30 of 40 ms; requests of two priorities take 30 ms.
func TestStatusReportsUseAndServiceTimes(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	b.open(flow(1))
	b.Expect(b.reportedLoad().Times).To(BeZero())
	seq := uint32(2)
	for i := range 900 {
		b.ask(1, seq, uint8(3+i%3/2))
		seq += 30
		b.now += 30 * time.Millisecond
		b.answer(flow(1))
		b.now += 10 * time.Millisecond
	}
	load := b.reportedLoad()
	b.Expect(load.Utilization).To(BeNumerically("~", 0.75/2, 0.01))
	b.Expect(load.Times).To(Equal([2]inner.ServiceTime{{Priority: 3, Mean: 30 * time.Millisecond}, {Priority: 4, Mean: 30 * time.Millisecond}}))
	b.now += 20 * second
	load = b.reportedLoad()
	b.Expect(load.Utilization).To(BeNumerically("<", 0.01))
	b.Expect(load.Times).To(BeZero(), "an upstream that was slow is tried again")
}

// Time in the agent's queue is no service time.
func TestWaitForSlotIsNoServiceTime(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	for n := range 2 * slots {
		b.open(flow(n))
	}
	seq := uint32(2)
	for range 40 {
		for n := range 2 * slots {
			b.ask(n, seq, 1)
		}
		seq += 30
		for n := range 2 * slots {
			if n%slots == 0 {
				b.now += 300 * time.Millisecond
			}
			b.answer(flow(n))
		}
	}
	b.Expect(b.reportedLoad().Times[0].Mean).To(BeNumerically("~", 300*time.Millisecond, 10*time.Millisecond))
}
