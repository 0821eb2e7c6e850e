package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run.
type record struct {
	mu     sync.Mutex
	file   *os.File
	start  time.Time
	breaks int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	return &record{file: file, start: time.Now()}, err
}

// line writes a line with the time since the start in seconds.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// broken records that a rule was broken.
func (r *record) broken(rule, format string, args ...any) {
	r.mu.Lock()
	r.breaks++
	r.mu.Unlock()
	r.line("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
}

// count returns how often a rule was broken.
func (r *record) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.breaks
}
