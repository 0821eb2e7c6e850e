package timeline

import (
	"cmp"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/event"
)

// Log holds events of one process, ordered by sequence number, and the estimated offset
// of its clock.
type Log struct {
	Events []event.Event
	Offset Offset
	// Expected is the sequence number that the first event has if none was dropped: 0
	// for a log that was collected from the start.
	Expected uint64
}

// Entry is one event of the merged list.
type Entry struct {
	event.Event
	// At is the event's time by the collector's clock.
	At time.Time
	// Skew is the greatest possible error of At.
	Skew time.Duration
	// Unsure is set if the previous entry is of another process and may in fact have
	// happened after this one: the times differ by no more than the sum of both Skews.
	Unsure bool
	// Lost is the number of events of the same process, directly before this one, that
	// the process's ring had dropped before they were collected.
	Lost uint64
}

// sortable is an entry with its sort key.
type sortable struct {
	Entry
	// key is the entry's time, or that of an earlier event of the same process if that
	// one has a later time.
	key time.Time
}

// Merge merges the events of all logs into one list. Events of one process keep the order
// of their sequence numbers, even if its clock was set back; events of different processes
// are ordered by their times on the collector's clock.
func Merge(logs []Log) []Entry {
	var all []sortable
	for _, log := range logs {
		all = append(all, correctedEntries(log)...)
	}
	slices.SortStableFunc(all, func(a, b sortable) int {
		return cmp.Or(a.key.Compare(b.key), cmp.Compare(a.Process, b.Process))
	})
	out := make([]Entry, 0, len(all))
	for i, s := range all {
		if i > 0 {
			s.Unsure = orderUnsure(all[i-1], s)
		}
		out = append(out, s.Entry)
	}
	return out
}

// correctedEntries returns the entries of a log with their times on the collector's clock.
// Their sort keys never decrease.
func correctedEntries(log Log) []sortable {
	out := make([]sortable, 0, len(log.Events))
	expected := log.Expected
	for i, e := range log.Events {
		s := sortable{Entry: Entry{Event: e, At: log.at(e), Skew: log.Offset.Error}}
		s.Lost = lostBefore(expected, e.Seq)
		expected = e.Seq + 1
		s.key = s.At
		if i > 0 && s.key.Before(out[i-1].key) {
			s.key = out[i-1].key
		}
		out = append(out, s)
	}
	return out
}

// at returns the event's time by the collector's clock.
func (l Log) at(e event.Event) time.Time { return e.Time.Add(-l.Offset.Ahead) }

// lostBefore returns the number of events that are missing before seq. A seq below the
// expected one is of a new process at the same address, which numbers its events from 0.
func lostBefore(expected, seq uint64) uint64 {
	if seq < expected {
		return seq
	}
	return seq - expected
}

// orderUnsure reports whether the second entry may in fact have happened before the
// first one.
func orderUnsure(before, after sortable) bool {
	if before.Process == after.Process {
		return false
	}
	return after.key.Sub(before.key) <= before.Skew+after.Skew
}
