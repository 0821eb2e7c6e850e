package member

import "time"

const (
	// panicThreshold is the share of a group whose loss at once looks more like a
	// cut than like deaths.
	panicThreshold = 0.5
	// retainService is how long the unreachable agents of a service are kept when
	// most of them vanished together. Kept longer, new flows would go on
	// failing at hosts that are truly lost.
	retainService = 30 * time.Second
	// retainFleet is the same for half of the fleet or of the balancers that are
	// unreachable: cuts between regions last minutes.
	retainFleet = 5 * time.Minute
)

// group is a set of members that back each other up: the agents of a service,
// or the balancers.
type group struct {
	role    Role
	service string
}

func groupOf(m Member) group { return group{m.Role, m.Service} }

// loss counts the unreachable of a group.
type loss struct {
	lost, size int
}

func (l loss) exceedsThreshold() bool {
	return l.lost > 1 && float64(l.lost) >= panicThreshold*float64(l.size)
}

// Panic tells which unreachable members must be kept, since too many vanished
// together: a cut hides them, or hides us.
type Panic struct {
	fleet  loss
	groups map[group]loss
}

// NewPanic weighs the verdicts against the table. Of a service only members
// that are unreachable count: one whose host refuses the connection is dead,
// unless so much of the fleet refuses that a filter between hosts must do so.
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

// Retains reports whether the verdict must not be carried out yet. The last
// members of a service are kept for as long as they are merely unreachable:
// without them nothing could be tried.
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

// quorum is the number of witnesses that it takes to declare a member gone.
const quorum = 2

// RequiredWitnesses returns the number of witnesses that must suspect the member: two, or
// all that can still speak where they are fewer. A balancer whose host refuses
// connections cannot, nor one that has been unreachable for as long as a cut
// is waited for.
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
