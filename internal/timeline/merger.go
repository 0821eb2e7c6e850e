package timeline

import "time"

// Merger merges logs that come in rounds. It is used by one goroutine.
type Merger struct {
	pending map[string]Log
}

// NewMerger returns a merger that holds nothing.
func NewMerger() *Merger {
	return &Merger{pending: make(map[string]Log)}
}

// Add takes the next events of a process and the newest estimate of its clock.
func (m *Merger) Add(process string, log Log) {
	held := m.pending[process]
	if len(held.Events) == 0 {
		held.Expected = log.Expected
	}
	held.Events = append(held.Events, log.Events...)
	held.Offset = log.Offset
	m.pending[process] = held
}

// Release returns, in order, the events that have surely happened before the
// given time. With the time at which a round began, none that a later round
// brings can belong before them, unless its process didn't answer this time.
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

// Flush returns all events that are held, in order.
func (m *Merger) Flush() []Entry {
	return m.release(func(l Log) int { return len(l.Events) })
}

// release merges the first events of each process; count says how many.
func (m *Merger) release(count func(Log) int) []Entry {
	logs := make([]Log, 0, len(m.pending))
	for process, held := range m.pending {
		n := count(held)
		if n == 0 {
			continue
		}
		part := held
		part.Events = held.Events[:n]
		logs = append(logs, part)
		held.Events = append(held.Events[:0:0], held.Events[n:]...)
		held.Expected = part.Events[n-1].Seq + 1
		m.pending[process] = held
	}
	return Merge(logs)
}
