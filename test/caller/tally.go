package caller

import (
	"maps"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Kind is a kind of request of callers.
type Kind string

// Kinds of requests.
const (
	KindLookup     Kind = "lookup"
	KindUpload     Kind = "upload"
	KindFeed       Kind = "feed"
	KindSubmission Kind = "submission"
)

const (
	maxLatencyMicros   = 120_000_000
	significantFigures = 3
	maxErrors          = 20
)

// Counts are the numbers of requests of one kind by outcome.
type Counts struct {
	OK, Failed, Unknown, Refused int
}

// Tally collects the outcomes of many callers. It is safe for concurrent use.
type Tally struct {
	mu          sync.Mutex
	counts      map[Kind]*Counts
	latency     map[Kind]*hdrhistogram.Histogram
	errors      []string
	refused     map[string]bool
	feedsOpened int
	feedsBroken int
	events      int
	longestGap  time.Duration
	lastEvents  map[string]uint64 // by feed
}

// NewTally returns an empty tally.
func NewTally() *Tally {
	return &Tally{
		counts:  make(map[Kind]*Counts),
		latency: make(map[Kind]*hdrhistogram.Histogram),
		refused: make(map[string]bool),

		lastEvents: make(map[string]uint64),
	}
}

// of returns the counts of a kind; mu must be held.
func (t *Tally) of(kind Kind) *Counts {
	c := t.counts[kind]
	if c == nil {
		c = &Counts{}
		t.counts[kind] = c
		t.latency[kind] = hdrhistogram.New(1, maxLatencyMicros, significantFigures)
	}
	return c
}

func (t *Tally) refuse(kind Kind, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(kind).Refused++
	t.refused[id] = true
}

func (t *Tally) end(kind Kind, id string, start time.Time, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.of(kind)
	if err != nil {
		c.Failed++
		t.addError(kind, id, err)
		return
	}
	c.OK++
	t.measure(kind, time.Since(start))
}

func (t *Tally) endSubmission(id string, start time.Time, outcome Outcome, err error) {
	if outcome != OutcomeUnknown {
		t.end(KindSubmission, id, start, err)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.of(KindSubmission).Unknown++
}

func (t *Tally) openFeed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.feedsOpened++
}

func (t *Tally) event(feed string, id uint64, gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events++
	t.lastEvents[feed] = id
	t.longestGap = max(t.longestGap, gap)
}

func (t *Tally) endFeed(id string, err error) {
	if err == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.feedsBroken++
	t.addError(KindFeed, id, err)
}

// measure records a latency; mu must be held.
func (t *Tally) measure(kind Kind, d time.Duration) {
	_ = t.latency[kind].RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros)) // never fails, since the value is clamped to the range
}

// addError adds an error to the report, which holds the first maxRememberedErrors; mu must
// be held.
func (t *Tally) addError(kind Kind, id string, err error) {
	if len(t.errors) < maxErrors {
		t.errors = append(t.errors, string(kind)+" "+id+": "+err.Error())
	}
}

// OK returns the number of successful requests of a kind so far.
func (t *Tally) OK(kind Kind) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.of(kind).OK
}

// Events returns the number of feed events received so far.
func (t *Tally) Events() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.events
}

// LastEvents returns the id of the last event of each feed.
func (t *Tally) LastEvents() map[string]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.lastEvents)
}

// Report is a snapshot of a tally.
type Report struct {
	Counts map[Kind]Counts
	// P50, P99 and Max are latencies of successful requests.
	P50, P99, Max map[Kind]time.Duration
	FeedsOpened   int
	FeedsBroken   int
	Events        int
	// LongestGap is the longest time between two events of one feed.
	LongestGap time.Duration
	// Refused are the ids of attempts that were refused, which means that they were not
	// run.
	Refused map[string]bool
	// Errors describes the first failures.
	Errors []string
}

// Report returns a snapshot of the tally.
func (t *Tally) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{
		Counts:      make(map[Kind]Counts),
		P50:         make(map[Kind]time.Duration),
		P99:         make(map[Kind]time.Duration),
		Max:         make(map[Kind]time.Duration),
		FeedsOpened: t.feedsOpened,
		FeedsBroken: t.feedsBroken,
		Events:      t.events,
		LongestGap:  t.longestGap,
		Refused:     make(map[string]bool, len(t.refused)),
		Errors:      append([]string(nil), t.errors...),
	}
	for kind, c := range t.counts {
		h := t.latency[kind]
		r.Counts[kind] = *c
		r.P50[kind] = time.Duration(h.ValueAtPercentile(50)) * time.Microsecond
		r.P99[kind] = time.Duration(h.ValueAtPercentile(99)) * time.Microsecond
		r.Max[kind] = time.Duration(h.Max()) * time.Microsecond
	}
	for id := range t.refused {
		r.Refused[id] = true
	}
	return r
}
