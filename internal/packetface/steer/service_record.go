package steer

import (
	"time"

	"github.com/saltbend/saltbend/internal/packetface/routing"
)

// Operators ask since when a service has been short of room and how many openings it
// refuses. The decisions themselves need no memory of that, so it is kept here.

const (
	// recordInterval is the time between two observations of the services.
	recordInterval = 250 * time.Millisecond
	// recordDecay is the factor by which the counts of openings shrink with each
	// observation: they cover some five seconds.
	recordDecay = 0.95
	// recordMinimum is the count of openings below which a record is forgotten.
	recordMinimum = 0.01
	// shortageGap is the time with room after which a shortage is over. Single slots become
	// free all the time while a service is short of room.
	shortageGap = time.Second
)

// serviceRecord is the recent history of a service with routes that state a target latency.
type serviceRecord struct {
	// openings and refused are recent opening packets, and those of them that were refused
	// for lack of room.
	openings, refused float64
	// shortSince is when the shortage of room began, 0 if there is none; lastShort is when
	// the service was last seen short of room, 0 for never.
	shortSince, lastShort time.Duration
	// noted is set once the beginning of the shortage has been noted.
	noted bool
}

// serviceRecords are the records of services by their ids.
type serviceRecords struct {
	records  map[uint64]*serviceRecord
	observed time.Duration
}

func (s *serviceRecords) of(service uint64) *serviceRecord {
	r := s.records[service]
	if r == nil {
		r = &serviceRecord{}
		s.records[service] = r
	}
	return r
}

// countOpening records an opening packet that has not been sent to any agent yet.
func (s *serviceRecords) countOpening(f *flow, route *routing.Route) {
	if f.hops() == 0 && route.Terms.TargetLatency > 0 && route.Terms.Timeout > 0 {
		s.of(f.service).openings++
	}
}

// countRefused records an opening packet that is refused for lack of room.
func (s *serviceRecords) countRefused(service uint64) { s.of(service).refused++ }

// refusedShare returns the share of the recent openings that were refused.
func (r *serviceRecord) refusedShare() float64 {
	if r.openings == 0 {
		return 0
	}
	return min(r.refused/r.openings, 1)
}

// observeServices notes the beginning and the end of shortages.
func (c *Core) observeServices(now time.Duration) {
	if now-c.services.observed < recordInterval {
		return
	}
	c.services.observed = now
	for service, r := range c.services.records {
		r.openings *= recordDecay
		r.refused *= recordDecay
		c.observeShortage(now, service, r)
		if r.openings < recordMinimum && r.shortSince == 0 {
			delete(c.services.records, service)
		}
	}
}

func (c *Core) observeShortage(now time.Duration, service uint64, r *serviceRecord) {
	short := c.currentLevel(now, service).short()
	switch {
	case short && r.shortSince == 0:
		r.shortSince, r.lastShort = now, now
	case short:
		r.lastShort = now
		if !r.noted {
			r.noted = true
			c.note(Note{Kind: KindShort, Reason: c.serviceName(service), Took: now - r.shortSince, Count: len(c.roster.byService[service])})
		}
	case r.shortSince != 0 && now-r.lastShort >= shortageGap:
		if r.noted {
			c.note(Note{Kind: KindRoom, Reason: c.serviceName(service), Took: r.lastShort - r.shortSince, Count: len(c.roster.byService[service])})
		}
		r.shortSince, r.noted = 0, false
	}
}

// currentLevel returns the level of a service for flows that may go to all regions.
func (c *Core) currentLevel(now time.Duration, service uint64) *serviceLevel {
	l := &serviceLevel{}
	l.update(now, c.roster.byService[service], requirements{service: service})
	return l
}
