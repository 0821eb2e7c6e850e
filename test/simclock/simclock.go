// Package simclock provides a discrete-event simulation clock: it runs scheduled events in
// the order of their times, without waiting.
package simclock

import (
	"container/heap"
	"time"
)

// Clock is a simulated clock with a queue of events. It is not safe for concurrent use.
type Clock struct {
	// Now is the current simulated time, which is the time of the last event.
	Now    time.Duration
	events queue
}

// At schedules do for the time t.
func (c *Clock) At(t time.Duration, do func()) { heap.Push(&c.events, event{t, do}) }

// After schedules do for the time d after Now.
func (c *Clock) After(d time.Duration, do func()) { c.At(c.Now+d, do) }

// Run runs all events, including those that they schedule.
func (c *Clock) Run() {
	for len(c.events) > 0 {
		e := heap.Pop(&c.events).(event)
		c.Now = e.at
		e.do()
	}
}

// RunUntil runs the events before the time t, including those that they schedule.
func (c *Clock) RunUntil(t time.Duration) {
	for len(c.events) > 0 && c.events[0].at < t {
		e := heap.Pop(&c.events).(event)
		c.Now = e.at
		e.do()
	}
	c.Now = t
}

type event struct {
	at time.Duration
	do func()
}

// queue is a heap of events, the earliest first.
type queue []event

func (q queue) Len() int           { return len(q) }
func (q queue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q queue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}
