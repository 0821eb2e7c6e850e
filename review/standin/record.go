package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the record of a run and keeps what the checks need.
type recorder struct {
	mu     sync.Mutex
	file   *os.File
	began  time.Time
	faults []string
	runs   []run
	opens  map[flowID]*backend
}

// run is one run of a request at a backend.
type run struct {
	at      time.Time
	attempt string
	id      flowID
	backend *backend
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, began: time.Now(), opens: map[flowID]*backend{}}, nil
}

// note writes a line to the record.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(format, args...)
}

func (r *recorder) write(format string, args ...any) {
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// fault records that a rule was broken.
func (r *recorder) fault(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	r.faults = append(r.faults, text)
	r.write("BROKEN %s", text)
}

// ran records that a backend began to work on a request.
func (r *recorder) ran(b *backend, id flowID, attempt string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run{time.Now(), attempt, id, b})
	r.write("run of %s at %s (%s)", attempt, b.id, b.service)
}

// opened records that a flow is open at a backend.
func (r *recorder) opened(b *backend, id flowID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.opens[id] = b
}

// ownerOf returns the backend at which a flow opened, nil if none.
func (r *recorder) ownerOf(id flowID) *backend {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.opens[id]
}

// allRuns returns the runs so far.
func (r *recorder) allRuns() []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]run(nil), r.runs...)
}

// broken returns the faults so far.
func (r *recorder) broken() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.faults...)
}

// openedAt returns the number of flows that opened at a backend.
func (r *recorder) openedAt(b *backend) (n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, owner := range r.opens {
		if owner == b {
			n++
		}
	}
	return n
}
