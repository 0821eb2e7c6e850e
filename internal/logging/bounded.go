package logging

import (
	"io"
	"sync/atomic"
)

// Bounded is a writer that never blocks. Writes go into a bounded queue, from which a
// goroutine writes them to the underlying writer; a write that finds the queue full is
// dropped and counted.
type Bounded struct {
	lines   chan []byte
	dropped atomic.Uint64
	done    chan struct{}
}

// NewBounded returns a writer to w that queues at most the given number of writes.
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

// Write implements io.Writer. It never returns an error, even if it drops the line.
func (b *Bounded) Write(line []byte) (int, error) {
	kept := append([]byte(nil), line...)
	select {
	case b.lines <- kept:
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of writes that were dropped or failed.
func (b *Bounded) Dropped() uint64 { return b.dropped.Load() }

// Close closes the queue and returns a channel that is closed once all queued writes are
// done. Write must not be called after Close.
func (b *Bounded) Close() <-chan struct{} {
	close(b.lines)
	return b.done
}
