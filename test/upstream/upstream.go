// Package upstream stands in for a back end: it has slots, a service time, a
// cold start, feeds with event ids and uploads; it can announce a drain, shed,
// lie about its health and load, answer errors quickly and crash while it
// runs a request. It logs each run before it starts, so that double runs and
// runs of another service's requests are seen at the source.
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
	// HeaderRequestID names a request; a caller's retry carries the same id.
	HeaderRequestID = "X-Request-Id"
	// HeaderWanted names the service that the caller wants.
	HeaderWanted = "X-Wanted-Service"
)

// Behaviour is how an upstream acts; it may change while it runs.
type Behaviour struct {
	// Slots is the number of requests that run at once; more wait.
	Slots int
	// ServiceTime is the time a request holds a slot.
	ServiceTime time.Duration
	// ColdFor is the time after the start in which ServiceTime is multiplied
	// by ColdFactor.
	ColdFor    time.Duration
	ColdFactor int
	// FeedInterval is the time between two events of a feed.
	FeedInterval time.Duration
	// Drain announces a drain at the health endpoint.
	Drain bool
	// Shed answers 503 to every request at once.
	Shed bool
	// ErrorFast answers 500 to every request at once.
	ErrorFast bool
	// LieHealth and LieLoad make the endpoints claim health and no load.
	LieHealth, LieLoad bool
	// CrashNext ends the process while it runs the next request.
	CrashNext bool
}

// Phase is a moment of a run.
type Phase string

// Phases of a run.
const (
	PhaseStart Phase = "start"
	PhaseEnd   Phase = "end"
	// PhaseCut says that the agent went away before the answer was whole.
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

// Upstream serves one service.
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

// acquire waits for a slot and returns the behaviour to run under.
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

// serviceTime returns how long a request holds its slot now.
func (u *Upstream) serviceTime(b Behaviour) time.Duration {
	if time.Since(u.started) < b.ColdFor {
		return b.ServiceTime * time.Duration(max(1, b.ColdFactor))
	}
	return b.ServiceTime
}

// record appends one line in one write, so that it survives a crash.
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
		panic(err) // plain fields always encode
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, err := u.log.Write(append(line, '\n')); err != nil {
		panic(err) // a run that isn't logged would make every check worthless
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
