package logging

import (
	"io"
	"sync/atomic"
)

// Bounded is a writer that never blocks: a goroutine writes what fits into its
// queue, the rest is counted and dropped.
type Bounded struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewBounded returns a writer to w that queues as many writes as given.
func NewBounded(w io.Writer, queue int) *Bounded {
	b := &Bounded{lines: make(chan []byte, queue), done: make(chan struct{})}
	go b.run(w)
	return b
}

func (b *Bounded) run(w io.Writer) {
	defer close(b.done)
	for line := range b.lines {
		if _, err := w.Write(line); err != nil {
			b.dropped.Add(1)
		}
	}
}

// Write implements io.Writer. It never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case b.lines <- kept:
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of writes that were lost.
func (b *Bounded) Dropped() uint64 { return b.dropped.Load() }

// Close ends the queue and returns a channel that is closed when all of it is
// written. Nothing may be written after it.
func (b *Bounded) Close() <-chan struct{} {
	close(b.lines)
	return b.done
}
