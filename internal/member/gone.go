package member

import (
	"slices"
	"time"
)

// MaxGone is the number of agents at most that a table remembers by the time at
// which they went. Beyond it, it forgets the older half.
const MaxGone = 4096

// goneList holds the last agents to go, the oldest first. Apart from tombstones,
// it keeps a process that another has followed at its control address.
type goneList struct {
	records []goneRecord
}

type goneRecord struct {
	member Member
	at     time.Time
}

func (l *goneList) add(m Member, now time.Time) {
	if m.Role != RoleAgent {
		return
	}
	if len(l.records) == MaxGone {
		l.records = slices.Delete(l.records, 0, MaxGone/2)
	}
	l.records = append(l.records, goneRecord{member: m, at: now})
}

// GoneAgents returns the agents that have gone after since and did not come
// back in the same incarnation, the newest first.
func (t *Table) GoneAgents(since time.Time) []Member {
	var out []Member
	for i := len(t.gone.records) - 1; i >= 0; i-- {
		note := &t.gone.records[i]
		if !note.at.After(since) {
			break
		}
		if !t.hasReturned(note.member) {
			out = append(out, note.member)
		}
	}
	return out
}

// hasReturned reports whether the incarnation that the record is of has refuted that
// it is gone.
func (t *Table) hasReturned(m Member) bool {
	e := t.entries[m.Control]
	return e != nil && isLive(e) && e.member.Incarnation == m.Incarnation
}
