package member

import (
	"net/netip"
	"slices"
)

// rebuildDivisor limits patching: a list is rebuilt if more than one in
// rebuildDivisor of its members have changed, and patched otherwise.
const rebuildDivisor = 8

// memberList caches the live members of a role in order of address. A returned
// slice is never modified afterwards, so that it can be published to other
// goroutines.
type memberList struct {
	members []Member
	changed map[netip.AddrPort]struct{}
}

// markChanged records that the record of addr has changed.
func (l *memberList) markChanged(addr netip.AddrPort) {
	if l.changed == nil {
		l.changed = make(map[netip.AddrPort]struct{})
	}
	l.changed[addr] = struct{}{}
}

// get returns the list, updated if records have changed. current returns the live
// member at an address.
func (l *memberList) get(current func(netip.AddrPort) (Member, bool)) []Member {
	if len(l.changed) == 0 {
		return l.members
	}
	if len(l.changed) > len(l.members)/rebuildDivisor {
		l.members = l.rebuild(current)
	} else {
		l.members = l.patch(current)
	}
	clear(l.changed)
	return l.members
}

// rebuild collects the unchanged members and the live changed ones, and sorts
// them.
func (l *memberList) rebuild(current func(netip.AddrPort) (Member, bool)) []Member {
	out := make([]Member, 0, len(l.members)+len(l.changed))
	for _, m := range l.members {
		if _, changed := l.changed[m.Control]; !changed {
			out = append(out, m)
		}
	}
	for addr := range l.changed {
		if m, live := current(addr); live {
			out = append(out, m)
		}
	}
	sortMembers(out)
	return out
}

// patch returns a copy of the list with the changed members replaced one by one.
func (l *memberList) patch(current func(netip.AddrPort) (Member, bool)) []Member {
	out := make([]Member, len(l.members), len(l.members)+len(l.changed))
	copy(out, l.members)
	for addr := range l.changed {
		at, found := slices.BinarySearchFunc(out, addr, func(m Member, a netip.AddrPort) int { return m.Control.Compare(a) })
		m, live := current(addr)
		switch {
		case found && live:
			out[at] = m
		case found:
			out = slices.Delete(out, at, at+1)
		case live:
			out = slices.Insert(out, at, m)
		}
	}
	return out
}
