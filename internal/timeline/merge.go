package timeline

import (
	"cmp"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/event"
)

// Log is what was collected from one process: its events in the order of their
// sequence numbers and the estimate of its clock.
type Log struct {
	Events []event.Event
	Offset Offset
	// Expected is the sequence number that the first event should have: 0 for
	// a log that was collected from the start.
	Expected uint64
}

// Entry is one event of the merged list.
type Entry struct {
	event.Event
	// At is the event's time by the collector's clock, Skew the bound of its
	// error.
	At   time.Time
	Skew time.Duration
	// Unsure says that the entry before it, of another process, may have
	// happened after it: their times are closer than their skews.
	Unsure bool
	// Lost is the number of events of the process just before this one that its
	// ring had dropped before they were collected.
	Lost uint64
}

// sortable is an entry with the time that it is ordered by.
type sortable struct {
	Entry
	key time.Time
}

// Merge returns the events of all logs in one order. Events of one process
// stay in its own order, also when its clock was set back; events of different
// processes are ordered by their corrected times.
func Merge(logs []Log) []Entry {
	var all []sortable
	for _, log := range logs {
		all = append(all, corrected(log)...)
	}
	slices.SortStableFunc(all, func(a, b sortable) int {
		return cmp.Or(a.key.Compare(b.key), cmp.Compare(a.Process, b.Process))
	})
	out := make([]Entry, 0, len(all))
	for i, s := range all {
		if i > 0 {
			s.Unsure = unsure(all[i-1], s)
		}
		out = append(out, s.Entry)
	}
	return out
}

// corrected returns a log's entries; their keys never fall.
func corrected(log Log) []sortable {
	out := make([]sortable, 0, len(log.Events))
	expected := log.Expected
	for i, e := range log.Events {
		s := sortable{Entry: Entry{Event: e, At: log.at(e), Skew: log.Offset.Error}}
		s.Lost = lost(expected, e.Seq)
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

// lost returns the number of events that are missing before seq. A number that
// fell belongs to a new process, which numbers from 0.
func lost(expected, seq uint64) uint64 {
	if seq < expected {
		return seq
	}
	return seq - expected
}

func unsure(before, after sortable) bool {
	if before.Process == after.Process {
		return false
	}
	return after.key.Sub(before.key) <= before.Skew+after.Skew
}
