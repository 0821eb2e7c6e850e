package timeline

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/saltbend/saltbend/internal/peer"
)

// maxConcurrent is the maximum number of processes that are queried at the same time.
const maxConcurrent = 64

// FleetCollector collects the events of many processes. Each round queries each of them
// once.
type FleetCollector struct {
	caller peer.Caller
	now    func() time.Time
	// timeout limits the collecting from one process in one round.
	timeout    time.Duration
	age        time.Duration
	collectors map[netip.AddrPort]*Collector
}

// NewFleetCollector returns a collector that waits at most timeout for each process in
// each round, and leaves out events that are older than age; 0 means no limit.
func NewFleetCollector(caller peer.Caller, timeout, age time.Duration, now func() time.Time) *FleetCollector {
	return &FleetCollector{caller: caller, now: now, timeout: timeout, age: age, collectors: make(map[netip.AddrPort]*Collector)}
}

// Round is the result of one round of requests.
type Round struct {
	// Began is the collector's time before the first request.
	Began time.Time
	// Logs holds the new events by process.
	Logs map[netip.AddrPort]Log
	// Failed holds the errors of processes that did not answer all requests. Such a
	// process may have returned a part of its events, which is in Logs.
	Failed map[netip.AddrPort]error
}

// Collect queries all processes for their events since the last round.
func (f *FleetCollector) Collect(ctx context.Context, processes []netip.AddrPort) Round {
	round := Round{Began: f.now(), Logs: make(map[netip.AddrPort]Log), Failed: make(map[netip.AddrPort]error)}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxConcurrent)
	for _, addr := range processes {
		c := f.collector(addr)
		group.Go(func() error {
			limited, cancel := context.WithTimeout(ctx, f.timeout)
			defer cancel()
			log, err := c.Collect(limited)
			mu.Lock()
			defer mu.Unlock()
			round.Logs[addr] = log
			if err != nil {
				round.Failed[addr] = err
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	return round
}

func (f *FleetCollector) collector(addr netip.AddrPort) *Collector {
	c := f.collectors[addr]
	if c == nil {
		c = NewCollector(f.caller, addr, f.age, f.now)
		f.collectors[addr] = c
	}
	return c
}
