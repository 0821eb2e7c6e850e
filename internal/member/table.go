package member

import (
	"net/netip"
	"time"
)

// DefaultTombstoneTTL is how long a table retains the record of a gone member. It
// must exceed the longest time after which a peer that was cut off can return with
// an old table.
const DefaultTombstoneTTL = 24 * time.Hour

// entry is one record with the table's change number of its last change.
type entry struct {
	member Member
	seq    uint64
	goneAt time.Time
}

// Table holds the newest record of each member. It reads no clock, and its final
// content does not depend on the order in which records arrive. It is not safe
// for concurrent use.
type Table struct {
	entries                 map[netip.AddrPort]*entry
	balancers               map[netip.AddrPort]*entry
	services                map[string]map[netip.AddrPort]*entry
	digest                  Digest
	seq                     uint64
	live                    int
	ttl                     time.Duration
	balancerList, agentList memberList
	// balancerSeq is the change number of the last change to any balancer.
	balancerSeq uint64
	// liveBalancers counts the live balancers; balancerSet is the exclusive or of
	// the hashes of their addresses.
	liveBalancers int
	balancerSet   uint64
	// gone holds the most recently gone agents, in order of departure.
	gone goneList
}

// NewTable returns an empty table that retains tombstones for ttl.
func NewTable(ttl time.Duration) *Table {
	return &Table{
		entries:   make(map[netip.AddrPort]*entry),
		balancers: make(map[netip.AddrPort]*entry),
		services:  make(map[string]map[netip.AddrPort]*entry),
		ttl:       ttl,
	}
}

// Merge stores a record if it supersedes the known one, and reports whether it
// did. A record with the state gone stays as a tombstone, so that a delayed older
// record of the same incarnation is rejected.
func (t *Table) Merge(m Member, now time.Time) bool {
	e := t.entries[m.Control]
	if e != nil && !m.Supersedes(e.member) {
		return false
	}
	if e == nil {
		e = &entry{}
		t.entries[m.Control] = e
	} else {
		t.unindex(e)
	}
	t.seq++
	e.member, e.seq, e.goneAt = m, t.seq, time.Time{}
	if m.State == StateGone {
		e.goneAt = now
		t.gone.add(m, now)
	}
	t.index(e)
	return true
}

// NoteRevision records the configuration revision that a member has in force.
// This does not count as a transition: the version and the change number of the record stay the
// same.
func (t *Table) NoteRevision(control netip.AddrPort, incarnation, revision uint64) {
	e := t.entries[control]
	if e != nil && e.member.Incarnation == incarnation && e.member.Revision < revision {
		e.member.Revision = revision
		t.markListChanged(e.member)
	}
}

// markListChanged marks the member as changed in the list of its role.
func (t *Table) markListChanged(m Member) {
	if m.Role == RoleBalancer {
		t.balancerList.markChanged(m.Control)
	} else {
		t.agentList.markChanged(m.Control)
	}
}

// Expire removes the tombstones older than the table's limit.
func (t *Table) Expire(now time.Time) {
	for addr, e := range t.entries {
		if e.member.State == StateGone && now.Sub(e.goneAt) > t.ttl {
			t.unindex(e)
			delete(t.entries, addr)
		}
	}
}

// index adds the entry to the digest and to the index of its role.
func (t *Table) index(e *entry) {
	m := e.member
	t.markListChanged(m)
	if m.State != StateGone {
		t.toggle(m, 1)
	}
	if m.Role == RoleBalancer {
		t.balancers[m.Control] = e
		t.balancerSeq = t.seq
		return
	}
	group := t.services[m.Service]
	if group == nil {
		group = make(map[netip.AddrPort]*entry)
		t.services[m.Service] = group
	}
	group[m.Control] = e
}

// toggle adds a live member to the digest and the counts (by is 1), or removes it
// (by is -1).
func (t *Table) toggle(m Member, by int) {
	t.digest.toggle(m)
	t.live += by
	if m.Role == RoleBalancer {
		t.liveBalancers += by
		t.balancerSet ^= mix(hashAddr(m.Control))
	}
}

// unindex removes the entry from the digest and from the index of its role.
func (t *Table) unindex(e *entry) {
	m := e.member
	t.markListChanged(m)
	if m.State != StateGone {
		t.toggle(m, -1)
	}
	if m.Role == RoleBalancer {
		delete(t.balancers, m.Control)
		return
	}
	delete(t.services[m.Service], m.Control)
	if len(t.services[m.Service]) == 0 {
		delete(t.services, m.Service)
	}
}

// Get returns the record of a member, live or gone.
func (t *Table) Get(control netip.AddrPort) (Member, bool) {
	e := t.entries[control]
	if e == nil {
		return Member{}, false
	}
	return e.member, true
}

// Live returns the number of members that are not gone.
func (t *Table) Live() int { return t.live }

// Len returns the number of records, tombstones included.
func (t *Table) Len() int { return len(t.entries) }

// Seq returns the change number of the last change. It rises with each merge.
func (t *Table) Seq() uint64 { return t.seq }

// BalancerSeq returns the change number of the last change to any balancer.
func (t *Table) BalancerSeq() uint64 { return t.balancerSeq }

// LiveBalancers returns the number of balancers that are not gone.
func (t *Table) LiveBalancers() int { return t.liveBalancers }

// BalancerSet returns a hash that identifies the set of live balancers. It
// changes only when a balancer becomes live or gone.
func (t *Table) BalancerSet() uint64 { return t.balancerSet }

// Digest returns the digest of the members that are not gone.
func (t *Table) Digest() *Digest { return &t.digest }
