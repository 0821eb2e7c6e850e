package timeline

import (
	"context"
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/peer"
)

// probes is the number of replies from which a process's clock is estimated
// before its events are shown; later ones sharpen it.
const probes = 3

// Collector reads the event ring of one process, from the oldest kept event
// on. It is used by one goroutine.
type Collector struct {
	caller peer.Caller
	addr   netip.AddrPort
	age    time.Duration
	now    func() time.Time
	start  time.Time
	next   uint64
	offset Offset
	known  bool
}

// NewCollector returns a collector of the process at addr. It starts with the
// events of the given age; 0 means all that are kept.
func NewCollector(caller peer.Caller, addr netip.AddrPort, age time.Duration, now func() time.Time) *Collector {
	return &Collector{caller: caller, addr: addr, age: age, now: now}
}

// Addr returns the control address of the process.
func (c *Collector) Addr() netip.AddrPort { return c.addr }

// Collect returns the events since the last call. With an error it returns
// those that came before it.
func (c *Collector) Collect(ctx context.Context) (Log, error) {
	var log Log
	for probe := 0; ; probe++ {
		reply, err := c.ask(ctx)
		log.Offset = c.offset
		if err != nil {
			return log, err
		}
		if len(log.Events) == 0 {
			log.Expected = reply.First
		}
		log.Events = append(log.Events, reply.Events...)
		if !reply.More && (c.known || probe+1 >= probes) {
			c.known = true
			return log, nil
		}
	}
}

// ask makes one request; when the process was replaced since the last one, it
// asks the new one from its first event on.
func (c *Collector) ask(ctx context.Context) (SinceReply, error) {
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
