// Package simclock runs simulations of decisions in simulated time: what is due is
// done in its order, at once.
package simclock

import (
	"container/heap"
	"time"
)

// Clock is simulated time with what is still to be done. It has one owner.
type Clock struct {
	// Now is the time, that of the last event.
	Now    time.Duration
	events queue
}

// At does something at a time.
func (c *Clock) At(t time.Duration, do func()) { heap.Push(&c.events, event{t, do}) }

// After does something after a while.
func (c *Clock) After(d time.Duration, do func()) { c.At(c.Now+d, do) }

// Run does everything that is to be done, and what comes of it.
func (c *Clock) Run() {
	for len(c.events) > 0 {
		e := heap.Pop(&c.events).(event)
		c.Now = e.at
		e.do()
	}
}

type event struct {
	at time.Duration
	do func()
}

// queue is a heap of events, the next one first.
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
