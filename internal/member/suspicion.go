package member

import (
	"net/netip"
	"slices"
	"time"
)

// Evidence is the reason why a witness suspects a member.
type Evidence uint8

// Kinds of evidence.
const (
	// Unreachable: the member neither renewed nor answered probes. A network
	// partition has the same effect.
	Unreachable Evidence = iota + 1
	// Refused: the member's host refused the connection, which means that no process
	// listens at the member's address.
	Refused
)

// Suspicion is the statement of one witness that one version of a member is dead.
// A record with a higher version refutes the suspicion.
type Suspicion struct {
	Control     netip.AddrPort
	Incarnation uint64
	Version     uint64
	Witness     netip.AddrPort
	Evidence    Evidence
}

// suspect holds the suspicions against a member, for one version of its record.
type suspect struct {
	incarnation uint64
	version     uint64
	since       time.Time
	witnesses   map[netip.AddrPort]Evidence
}

// strongest returns the strongest evidence of any witness.
func (s *suspect) strongest() Evidence {
	var out Evidence
	for _, x := range s.witnesses {
		out = max(out, x)
	}
	return out
}

// Suspects collects the suspicions of the members of a table. It reads no clock,
// and is not safe for concurrent use.
type Suspects struct {
	table    *Table
	suspects map[netip.AddrPort]*suspect
}

// NewSuspects returns an empty collection for the members of table.
func NewSuspects(table *Table) *Suspects {
	return &Suspects{table: table, suspects: make(map[netip.AddrPort]*suspect)}
}

// Add adds a suspicion and reports whether it is new: from another witness, or
// with stronger evidence than before. It ignores a suspicion that does not
// concern the known version of a live member, or that does not come from a live
// balancer.
func (s *Suspects) Add(x Suspicion, now time.Time) bool {
	m, known := s.table.Get(x.Control)
	if !known || m.State == StateGone || m.Incarnation != x.Incarnation || m.Version != x.Version {
		return false
	}
	if w, ok := s.table.Get(x.Witness); !ok || w.Role != RoleBalancer || w.State == StateGone {
		return false
	}
	e := s.current(m)
	if e == nil {
		e = &suspect{incarnation: m.Incarnation, version: m.Version, since: now, witnesses: make(map[netip.AddrPort]Evidence)}
		s.suspects[x.Control] = e
	}
	if e.witnesses[x.Witness] >= x.Evidence {
		return false
	}
	e.witnesses[x.Witness] = x.Evidence
	return true
}

// current returns the suspicions of the member's known version, nil for none. It
// drops those of other versions.
func (s *Suspects) current(m Member) *suspect {
	e := s.suspects[m.Control]
	if e == nil {
		return nil
	}
	if m.State == StateGone || e.incarnation != m.Incarnation || e.version != m.Version {
		delete(s.suspects, m.Control)
		return nil
	}
	return e
}

// Suspected reports whether any witness suspects the member's version.
func (s *Suspects) Suspected(m Member) bool { return s.current(m) != nil }

// BalancerSet returns a hash that identifies the set of suspected balancers.
func (s *Suspects) BalancerSet() uint64 {
	var out uint64
	for addr := range s.suspects {
		m, ok := s.table.Get(addr)
		if ok && m.Role == RoleBalancer && s.Suspected(m) {
			out ^= mix(hashAddr(addr))
		}
	}
	return out
}

// Verdict summarises the suspicions of one member.
type Verdict struct {
	Member Member
	// Witnesses is the number of witnesses that suspect the member, Evidence the
	// strongest evidence among them.
	Witnesses int
	Evidence  Evidence
	// Since is when the first suspicion was added.
	Since time.Time
}

// Verdicts returns a verdict for each suspected member, in order of address.
func (s *Suspects) Verdicts() []Verdict {
	var out []Verdict
	for addr := range s.suspects {
		m, _ := s.table.Get(addr)
		e := s.current(m)
		if e == nil {
			delete(s.suspects, addr)
			continue
		}
		out = append(out, Verdict{Member: m, Witnesses: len(e.witnesses), Evidence: e.strongest(), Since: e.since})
	}
	slices.SortFunc(out, func(a, b Verdict) int { return a.Member.Control.Compare(b.Member.Control) })
	return out
}
