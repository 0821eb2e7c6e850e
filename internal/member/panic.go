package member

import "time"

const (
	// panicThreshold is the share of a group that must be lost at the same time to
	// indicate a network partition rather than failures of the members.
	panicThreshold = 0.5
	// retainService is how long unreachable agents are retained if at least half
	// of the agents of their service became unreachable. If they were retained
	// for longer, new flows would continue to fail at hosts that are really lost.
	retainService = 30 * time.Second
	// retainFleet is how long unreachable members are retained if at least half
	// of the fleet or of the balancers is lost. Network partitions between
	// regions last minutes.
	retainFleet = 5 * time.Minute
)

// group identifies a set of members that can replace each other: the agents of a
// service, or the balancers.
type group struct {
	role    Role
	service string
}

func groupOf(m Member) group { return group{m.Role, m.Service} }

// loss holds the number of lost members of a group and its total size.
type loss struct {
	lost, size int
}

// exceedsThreshold reports whether more than one member and at least
// panicThreshold of the group are lost.
func (l loss) exceedsThreshold() bool {
	return l.lost > 1 && float64(l.lost) >= panicThreshold*float64(l.size)
}

// Panic decides which suspected members must be retained, that is, not be
// declared gone yet. It retains members if too many were lost at once: then the
// likely cause is a network partition that hides them, or that isolates this
// process.
type Panic struct {
	fleet  loss
	groups map[group]loss
}

// NewPanic counts the lost members of the fleet and of each group. In a service,
// only unreachable agents count: an agent is dead if its host refuses the
// connection. The counts for the balancers and for the fleet include refused
// connections. If much of the fleet refuses connections, the likely cause is a
// packet filter between the hosts.
func NewPanic(t *Table, verdicts []Verdict) Panic {
	p := Panic{fleet: loss{size: t.Live()}, groups: make(map[group]loss)}
	for _, v := range verdicts {
		p.fleet.lost++
		if v.Evidence == Unreachable || v.Member.Role == RoleBalancer {
			l := p.groups[groupOf(v.Member)]
			l.lost++
			p.groups[groupOf(v.Member)] = l
		}
	}
	for g, l := range p.groups {
		l.size = t.groupSize(g)
		p.groups[g] = l
	}
	return p
}

// Retains reports whether the member must not be declared gone yet. If all agents
// of a service are unreachable, they are retained indefinitely, because otherwise
// there would be no agent left to try. If at least half of the fleet, or for a
// balancer at least half of the balancers, is lost, a member is retained for
// retainFleet if it is unreachable and for retainService if it refuses
// connections. If at least half of the agents of a service are unreachable, they
// are retained for retainService.
func (p Panic) Retains(v Verdict, now time.Time) bool {
	l := p.groups[groupOf(v.Member)]
	age := now.Sub(v.Since)
	unreachable := v.Evidence == Unreachable
	switch {
	case v.Member.Role == RoleAgent && unreachable && l.lost == l.size:
		return true
	case p.fleet.exceedsThreshold(), v.Member.Role == RoleBalancer && l.exceedsThreshold():
		return unreachable && age < retainFleet || age < retainService
	}
	return unreachable && l.exceedsThreshold() && age < retainService
}

func (t *Table) groupSize(g group) int {
	if g.role == RoleBalancer {
		return t.liveBalancers
	}
	return len(collect(t.services[g.service], isLive))
}

// quorum is the number of witnesses required to declare a member gone.
const quorum = 2

// RequiredWitnesses returns the number of witnesses that must suspect the member
// before it is declared gone: two, or the number of available balancers if that
// is smaller, but at least one. A balancer is not available if its host refuses
// connections, or if it has been unreachable for at least retainFleet.
func RequiredWitnesses(t *Table, verdicts []Verdict, of Member, now time.Time) int {
	available := t.liveBalancers
	if of.Role == RoleBalancer {
		available--
	}
	for _, v := range verdicts {
		unavailable := v.Evidence == Refused || now.Sub(v.Since) >= retainFleet
		if unavailable && v.Member.Role == RoleBalancer && v.Member.Control != of.Control {
			available--
		}
	}
	return max(1, min(quorum, available))
}
