package timeline

import "time"

// Merger merges logs that are collected in rounds. It holds events back until no later
// round can return an earlier one. It is not safe for concurrent use.
type Merger struct {
	// pending holds, by process, the events that were not returned yet.
	pending map[string]Log
}

func NewMerger() *Merger {
	return &Merger{pending: make(map[string]Log)}
}

// Add appends the next events of a process and replaces the estimate of its clock offset.
func (m *Merger) Add(process string, log Log) {
	queued := m.pending[process]
	if len(queued.Events) == 0 {
		queued.Expected = log.Expected
	}
	queued.Events = append(queued.Events, log.Events...)
	queued.Offset = log.Offset
	m.pending[process] = queued
}

// Release returns and removes, in order, the events that certainly happened before the
// given time, clock errors included. If that is the time when the last round began, no
// event of a later round can belong before them, except for events of a process that did
// not answer in the last round.
func (m *Merger) Release(before time.Time) []Entry {
	return m.release(func(l Log) int {
		for i, e := range l.Events {
			if !l.at(e).Add(l.Offset.Error).Before(before) {
				return i
			}
		}
		return len(l.Events)
	})
}

// Flush returns and removes all remaining events, in order.
func (m *Merger) Flush() []Entry {
	return m.release(func(l Log) int { return len(l.Events) })
}

// release merges and removes the first events of each process; count returns how many.
func (m *Merger) release(count func(Log) int) []Entry {
	logs := make([]Log, 0, len(m.pending))
	for process, queued := range m.pending {
		n := count(queued)
		if n == 0 {
			continue
		}
		head := queued
		head.Events = queued.Events[:n]
		logs = append(logs, head)
		queued.Events = append(queued.Events[:0:0], queued.Events[n:]...)
		queued.Expected = head.Events[n-1].Seq + 1
		m.pending[process] = queued
	}
	return Merge(logs)
}
