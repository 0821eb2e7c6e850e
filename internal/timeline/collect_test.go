package timeline_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/event"
	"github.com/saltbend/saltbend/internal/timeline"
)

var processAddr = netip.MustParseAddrPort("192.0.2.1:4100")

// localCaller calls a service in the test's process. Replacing the service simulates a
// restart of the process at the same address.
type localCaller struct {
	service *timeline.Service
	calls   int
}

func (d *localCaller) Call(_ context.Context, _ netip.AddrPort, _ string, args, reply any) error {
	d.calls++
	return d.service.Since(args.(timeline.SinceArgs), reply.(*timeline.SinceReply))
}

// tickingClock returns a clock that advances by a millisecond with each reading.
func tickingClock(start time.Time) func() time.Time {
	return func() time.Time {
		start = start.Add(time.Millisecond)
		return start
	}
}

func TestCollectorContinuesWithTheProcessThatReplacesAnother(t *testing.T) {
	g := NewWithT(t)
	clock := tickingClock(epoch.Add(time.Hour))
	ring := event.NewRing(4096, clock)
	caller := &localCaller{service: timeline.NewService(processAddr, ring, clock)}
	c := timeline.NewCollector(caller, processAddr, 0, tickingClock(epoch))
	for range timeline.MaxEvents + 10 {
		ring.Add("part", "kind", "")
	}
	log, err := c.Collect(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(log.Events).To(HaveLen(timeline.MaxEvents + 10))
	g.Expect(log.Events[0].Process).To(Equal(processAddr.String()))
	g.Expect(log.Offset.Ahead).To(BeNumerically("~", time.Hour, 10*time.Second))

	ring.Add("part", "later", "")
	log, err = c.Collect(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(log.Events).To(HaveLen(1))

	clock = tickingClock(epoch.Add(2 * time.Hour))
	ring = event.NewRing(16, clock)
	caller.service = timeline.NewService(processAddr, ring, clock)
	ring.Add("part", "first", "")
	log, err = c.Collect(context.Background())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(log.Events).To(HaveLen(1))
	g.Expect(log.Events[0].Kind).To(Equal(event.Kind("first")))
	g.Expect(log.Offset.Ahead).To(BeNumerically("~", 2*time.Hour, 10*time.Second))
}

func TestCollectorDoesNotCountEventsPastTheAgeLimitAsLost(t *testing.T) {
	g := NewWithT(t)
	now := epoch
	clock := func() time.Time { return now }
	const size = 8
	ring := event.NewRing(size, clock)
	c := timeline.NewCollector(&localCaller{service: timeline.NewService(processAddr, ring, clock)}, processAddr, time.Minute, clock)
	merger := timeline.NewMerger()
	collect := func() []timeline.Entry {
		log, err := c.Collect(context.Background())
		g.Expect(err).NotTo(HaveOccurred())
		merger.Add("p", log)
		return merger.Flush()
	}
	add := func(n int) {
		for range n {
			ring.Add("part", "kind", "")
		}
	}
	add(5)
	now = now.Add(time.Hour)
	g.Expect(collect()).To(BeEmpty())
	add(2)
	entries := collect()
	g.Expect(entries).To(HaveLen(2))
	g.Expect(entries[0].Lost).To(BeZero())
	add(size + 3)
	entries = collect()
	g.Expect(entries).To(HaveLen(size))
	g.Expect(entries[0].Lost).To(Equal(uint64(3)))
}
