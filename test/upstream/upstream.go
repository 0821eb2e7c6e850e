// Package upstream simulates an upstream: it has slots, a service time, a cold start, feeds
// with event ids, and uploads. It can announce a drain, reject requests, report false health
// and load, answer with errors quickly, and crash while it runs a request. It logs each run
// before the run starts, so that tests can detect repeated runs and runs of requests for
// another service.
package upstream

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Headers that callers set for the upstream's log.
const (
	// HeaderRequestID contains the id of a request; retries of it have the same id.
	HeaderRequestID = "X-Request-Id"
	// HeaderWanted contains the name of the service that the caller sends the request to.
	HeaderWanted = "X-Wanted-Service"
)

// Behaviour configures an upstream; it can be changed while the upstream runs.
type Behaviour struct {
	// Slots is the maximum number of concurrent requests; others are queued.
	Slots int
	// ServiceTime is the time for which a request occupies a slot.
	ServiceTime time.Duration
	// ColdFor is the time after the start during which ServiceTime is multiplied by
	// ColdFactor.
	ColdFor    time.Duration
	ColdFactor int
	// FeedInterval is the time between two events of a feed.
	FeedInterval time.Duration
	// Drain makes the health endpoint report a drain.
	Drain bool
	// Shed answers every request with 503 at once.
	Shed bool
	// ErrorFast answers every request with 500 at once.
	ErrorFast bool
	// LieHealth makes the health endpoint report health despite Shed or ErrorFast; LieLoad
	// makes the load endpoint report no requests.
	LieHealth, LieLoad bool
	// CrashNext exits the process while it runs the next request.
	CrashNext bool
}

// Phase is the phase of a run that a record reports.
type Phase string

// Phases of a run.
const (
	PhaseStart Phase = "start"
	PhaseEnd   Phase = "end"
	// PhaseCut means that the agent disconnected before the answer was complete.
	PhaseCut Phase = "cut"
)

// Record is one line of the run log.
type Record struct {
	Time     time.Time
	Upstream string
	Service  string
	Wanted   string
	ID       string
	Path     string
	Phase    Phase
}

// Upstream is a simulated upstream of one service.
type Upstream struct {
	name    string
	service string
	started time.Time

	mu        sync.Mutex
	behaviour Behaviour
	busy      int
	feeds     int
	freed     *sync.Cond
	log       io.Writer
}

// New returns an upstream whose runs are appended to log as JSON lines.
func New(name, service string, b Behaviour, log io.Writer) *Upstream {
	u := &Upstream{name: name, service: service, started: time.Now(), behaviour: b, log: log}
	u.freed = sync.NewCond(&u.mu)
	return u
}

// SetBehaviour replaces the behaviour.
func (u *Upstream) SetBehaviour(b Behaviour) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.behaviour = b
	u.freed.Broadcast()
}

func (u *Upstream) current() Behaviour {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.behaviour
}

// acquire waits for a free slot, occupies it, and returns the behaviour for the request.
func (u *Upstream) acquire() Behaviour {
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.busy >= u.behaviour.Slots {
		u.freed.Wait()
	}
	u.busy++
	return u.behaviour
}

func (u *Upstream) release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.busy--
	u.freed.Signal()
}

// serviceTime returns the current service time, with ColdFactor applied during a cold
// start.
func (u *Upstream) serviceTime(b Behaviour) time.Duration {
	if time.Since(u.started) < b.ColdFor {
		return b.ServiceTime * time.Duration(max(1, b.ColdFactor))
	}
	return b.ServiceTime
}

// record appends a line to the run log with a single write, so that a crash can't lose or
// truncate it.
func (u *Upstream) record(r *http.Request, phase Phase) {
	line, err := json.Marshal(Record{
		Time:     time.Now(),
		Upstream: u.name,
		Service:  u.service,
		Wanted:   r.Header.Get(HeaderWanted),
		ID:       r.Header.Get(HeaderRequestID),
		Path:     r.URL.Path,
		Phase:    phase,
	})
	if err != nil {
		panic(err) // can't fail for fields of these types
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, err := u.log.Write(append(line, '\n')); err != nil {
		panic(err) // without a complete log, the checks of runs would be meaningless
	}
}

// ReadLog reads a run log.
func ReadLog(path string) ([]Record, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "open run log")
	}
	defer file.Close()
	var records []Record
	decoder := json.NewDecoder(file)
	for {
		var r Record
		err := decoder.Decode(&r)
		if err == io.EOF {
			return records, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "read run log")
		}
		records = append(records, r)
	}
}
