package timeline

import (
	"context"
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/peer"
)

// minClockSamples is the number of replies from which the offset of a process's clock is
// estimated before its first events are returned. Later replies improve the estimate.
const minClockSamples = 3

// Collector reads the events of one process, beginning with the oldest event that the
// process still holds in its ring. It is not safe for concurrent use.
type Collector struct {
	caller peer.Caller
	addr   netip.AddrPort
	// age is the maximum age of the events to ask for, 0 for all.
	age time.Duration
	now func() time.Time
	// start is when the process started by its own clock, according to its last reply. A
	// change means that another process has replaced it.
	start time.Time
	// next is the sequence number of the next event to ask for.
	next   uint64
	offset Offset
	// calibrated is set once offset is based on minClockSamples replies.
	calibrated bool
}

// NewCollector returns a collector for the process at addr. It leaves out events that are
// older than age; 0 means no limit.
func NewCollector(caller peer.Caller, addr netip.AddrPort, age time.Duration, now func() time.Time) *Collector {
	return &Collector{caller: caller, addr: addr, age: age, now: now}
}

// Addr returns the control address of the process.
func (c *Collector) Addr() netip.AddrPort { return c.addr }

// Collect returns the events since the last call. If a request fails, it returns the
// error together with the events that were received before.
func (c *Collector) Collect(ctx context.Context) (Log, error) {
	var log Log
	for sample := 0; ; sample++ {
		reply, err := c.request(ctx)
		log.Offset = c.offset
		if err != nil {
			return log, err
		}
		if len(log.Events) == 0 {
			log.Expected = reply.First
		}
		log.Events = append(log.Events, reply.Events...)
		if !reply.More && (c.calibrated || sample+1 >= minClockSamples) {
			c.calibrated = true
			return log, nil
		}
	}
}

// request fetches the next events. If the process was replaced since the last request, it
// repeats the request for the new process, from its first event on.
func (c *Collector) request(ctx context.Context) (SinceReply, error) {
	for {
		var reply SinceReply
		sample := Sample{Sent: c.now()}
		if err := c.caller.Call(ctx, c.addr, methodSince, SinceArgs{Seq: c.next, Age: c.age}, &reply); err != nil {
			return SinceReply{}, err
		}
		sample.Remote, sample.Received = reply.Now, c.now()
		replaced := !c.start.IsZero() && !c.start.Equal(reply.Start)
		first := c.start.IsZero() || replaced
		c.start = reply.Start
		if first {
			c.offset = sample.Offset()
		} else {
			c.offset = c.offset.Better(sample.Offset())
		}
		if replaced {
			c.next = 0
			continue
		}
		c.next = reply.Next
		return reply, nil
	}
}
