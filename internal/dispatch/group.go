package dispatch

import (
	"slices"
	"time"
)

// view is what the agent knows of one sibling.
type view struct {
	addr     Sibling
	standing Standing
	expires  time.Time
	// lastSent is the last standing that was sent to the sibling.
	lastSent Standing
	// received is true if the sibling has sent standing, false if standing is the default
	// for a new sibling.
	received bool
	// oldest is when the first of the sibling's waiting requests arrived.
	oldest time.Time
}

// group holds the known siblings, ordered by address so that equal inputs give equal
// actions.
type group struct {
	views []view
	// unconfirmed holds standings from agents that aren't known as siblings yet.
	unconfirmed map[Sibling]Standing
}

func (g *group) find(addr Sibling) *view {
	i, ok := slices.BinarySearchFunc(g.views, addr, func(v view, a Sibling) int { return v.addr.Compare(a) })
	if !ok {
		return nil
	}
	return &g.views[i]
}

// viewOf returns the existing view of a sibling, or a new one. A new sibling is assumed
// to accept work until it sends a standing.
func (g *group) viewOf(now time.Time, addr Sibling) view {
	if old := g.find(addr); old != nil {
		return *old
	}
	standing, ok := g.unconfirmed[addr]
	if !ok {
		standing = Standing{Draws: true}
	}
	return view{addr: addr, standing: standing, received: ok, expires: now.Add(idleClaimTTL)}
}

func (g *group) keepUnconfirmed(addr Sibling, standing Standing) {
	if g.unconfirmed == nil {
		g.unconfirmed = map[Sibling]Standing{}
	}
	if _, known := g.unconfirmed[addr]; known || len(g.unconfirmed) < maxUnconfirmed {
		g.unconfirmed[addr] = standing
	}
}

// SetSiblings sets the siblings: the other ready agents of the service.
func (s *Scheduler) SetSiblings(now time.Time, siblings []Sibling) []Action {
	s.begin()
	next := make([]view, 0, len(siblings))
	for _, addr := range siblings {
		next = append(next, s.group.viewOf(now, addr))
	}
	s.group.unconfirmed = nil
	slices.SortFunc(next, func(a, b view) int { return a.addr.Compare(b.addr) })
	s.group.views = next
	return s.finish(now)
}

// ReceiveStanding processes a standing received from a sibling.
func (s *Scheduler) ReceiveStanding(now time.Time, from Sibling, standing Standing) []Action {
	s.begin()
	s.receive(now, from, standing)
	return s.finish(now)
}

func (s *Scheduler) receive(now time.Time, from Sibling, standing Standing) {
	v := s.group.find(from)
	if v == nil {
		s.group.keepUnconfirmed(from, standing)
		return
	}
	if standing.Seq <= v.standing.Seq {
		return
	}
	v.standing = standing
	v.received = true
	v.expires = now.Add(idleClaimTTL)
	v.oldest = now.Add(-standing.Waited)
}
