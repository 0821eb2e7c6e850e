package member

import (
	"slices"
	"time"
)

// MaxGone is the maximum number of gone agents in a table's list by time of
// departure. When the list is full, the older half is dropped.
const MaxGone = 4096

// goneList holds the most recently gone agents, oldest first. Unlike a tombstone,
// the record of a process in this list remains when a new process starts at the same control
// address.
type goneList struct {
	records []goneRecord
}

type goneRecord struct {
	member Member
	at     time.Time
}

// add appends a gone agent to the list. Other roles are ignored.
func (l *goneList) add(m Member, now time.Time) {
	if m.Role != RoleAgent {
		return
	}
	if len(l.records) == MaxGone {
		l.records = slices.Delete(l.records, 0, MaxGone/2)
	}
	l.records = append(l.records, goneRecord{member: m, at: now})
}

// GoneAgents returns the agents that left or were declared gone after the time since and
// did not return in the same incarnation, newest first.
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

// hasReturned reports whether the incarnation in the record is live again,
// because it refuted the declaration that it was gone.
func (t *Table) hasReturned(m Member) bool {
	e := t.entries[m.Control]
	return e != nil && isLive(e) && e.member.Incarnation == m.Incarnation
}
