package member

import (
	"net/netip"
	"slices"
	"time"
)

// Balancers returns the balancers that are not gone, in order of address. The
// slice must not be changed; later changes of the table do not modify it.
func (t *Table) Balancers() []Member {
	return t.balancerList.get(func(addr netip.AddrPort) (Member, bool) { return t.liveAs(addr, RoleBalancer) })
}

// Agents returns all agents that are not gone, in order of address. The slice
// must not be changed; later changes of the table do not modify it.
func (t *Table) Agents() []Member {
	return t.agentList.get(func(addr netip.AddrPort) (Member, bool) { return t.liveAs(addr, RoleAgent) })
}

// liveAs returns the record at addr, and whether it is a live member with the
// role.
func (t *Table) liveAs(addr netip.AddrPort, role Role) (Member, bool) {
	m, ok := t.Get(addr)
	return m, ok && m.Role == role && m.State != StateGone
}

// Service returns the agents of a service that are not gone, in order of
// address.
func (t *Table) Service(name string) []Member {
	return collect(t.services[name], isLive)
}

// Services returns the names of the services that have records, sorted.
func (t *Table) Services() []string {
	out := make([]string, 0, len(t.services))
	for name := range t.services {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// ServiceSince returns the records of a service, tombstones included, that
// changed after the change number seq.
func (t *Table) ServiceSince(name string, seq uint64) []Member {
	return collect(t.services[name], func(e *entry) bool { return e.seq > seq })
}

// BalancersSince returns the records of balancers, tombstones included, that
// changed after the change number seq.
func (t *Table) BalancersSince(seq uint64) []Member {
	if t.balancerSeq <= seq {
		return nil
	}
	return collect(t.balancers, func(e *entry) bool { return e.seq > seq })
}

// DeclaredGoneBalancers returns the balancers that were declared gone after
// the time since. They may be live on the other side of a network partition.
func (t *Table) DeclaredGoneBalancers(since time.Time) []Member {
	return collect(t.balancers, func(e *entry) bool { return e.member.Declared && e.goneAt.After(since) })
}

// InBuckets returns the members in the given buckets of the digest that are not
// gone.
func (t *Table) InBuckets(buckets []int) []Member {
	var wanted [DigestBuckets]bool
	for _, b := range buckets {
		wanted[b] = true
	}
	return collect(t.entries, func(e *entry) bool {
		return isLive(e) && wanted[bucketOf(e.member.Control)]
	})
}

func isLive(e *entry) bool { return e.member.State != StateGone }

func collect(entries map[netip.AddrPort]*entry, keep func(*entry) bool) []Member {
	var out []Member
	for _, e := range entries {
		if keep(e) {
			out = append(out, e.member)
		}
	}
	sortMembers(out)
	return out
}

func sortMembers(ms []Member) {
	slices.SortFunc(ms, func(a, b Member) int { return a.Control.Compare(b.Control) })
}
