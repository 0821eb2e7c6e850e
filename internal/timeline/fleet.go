package timeline

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/saltbend/saltbend/internal/peer"
)

// atOnce bounds the processes that are asked at the same time.
const atOnce = 64

// Fleet collects from many processes, round by round.
type Fleet struct {
	caller     peer.Caller
	now        func() time.Time
	timeout    time.Duration
	age        time.Duration
	collectors map[netip.AddrPort]*Collector
}

// NewFleet returns a fleet that gives each process timeout to answer, and
// starts with its events of the given age; 0 means all that are kept.
func NewFleet(caller peer.Caller, timeout, age time.Duration, now func() time.Time) *Fleet {
	return &Fleet{caller: caller, now: now, timeout: timeout, age: age, collectors: make(map[netip.AddrPort]*Collector)}
}

// Round is what one round of requests brought.
type Round struct {
	// Began is the collector's clock before the first request.
	Began time.Time
	Logs  map[netip.AddrPort]Log
	// Failed are the processes that didn't answer, or not in full.
	Failed map[netip.AddrPort]error
}

// Collect asks all processes for their events since the last round.
func (f *Fleet) Collect(ctx context.Context, processes []netip.AddrPort) Round {
	round := Round{Began: f.now(), Logs: make(map[netip.AddrPort]Log), Failed: make(map[netip.AddrPort]error)}
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(atOnce)
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

func (f *Fleet) collector(addr netip.AddrPort) *Collector {
	c := f.collectors[addr]
	if c == nil {
		c = NewCollector(f.caller, addr, f.age, f.now)
		f.collectors[addr] = c
	}
	return c
}
