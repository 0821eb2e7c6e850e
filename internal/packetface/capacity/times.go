package capacity

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxPriorities is the number of priorities whose service times are learned.
	maxPriorities = 4
	// tailLimit is the multiple of the present mean to which a sample is limited, so that a
	// few requests that take long by nature do not make the upstream look slow. All agents
	// limit their samples alike, so the ratios between upstreams stay comparable.
	tailLimit = 3
	// recentLimit does the same in the recent mean, of which a sample is a larger part.
	recentLimit = 2.5
	// steadyWeight is the least weight of a sample in the mean.
	steadyWeight = 1.0 / 200
	// recentWeight is the least weight of a sample in the recent mean, which shows a change
	// of the upstream's speed.
	recentWeight = 1.0 / 12
	// changeRatio is the ratio between the recent mean and the mean from which on the
	// upstream's speed has changed.
	changeRatio = 1.5
	// recentSamples is the number of samples that a mean stands for after a change.
	recentSamples = 20
	// minSamples is the number of samples below which a mean is not reported.
	minSamples = 8
	// timesMaxAge is the time without a sample after which a mean is not reported, so that
	// an upstream that was slow is tried again.
	timesMaxAge = 10 * time.Second
	// countDecay is the part of its count that a priority keeps with each sample of any
	// priority; replaceBelow is the count below which another priority may take its place.
	countDecay   = 63.0 / 64
	replaceBelow = 0.5
	// recentCallers is the number of callers that are remembered. Only one of recentCallers+1
	// samples comes from the same caller while others are answered.
	recentCallers = 16
	// callerMaxAge is the time after which a sample of the same caller counts again, so
	// that an upstream with few callers is judged as well.
	callerMaxAge = 500 * time.Millisecond
)

// ServiceTime is how long an upstream works on a request of a priority.
type ServiceTime struct {
	Priority uint8
	Mean     time.Duration
}

// Times learns service times by priority. The zero value is ready to use.
//
// A caller alone moves a mean by 20% at most, on average over time, while 16 other callers
// are answered within callerMaxAge: its samples are one of 17 and limited to tailLimit times
// the mean.
type Times struct {
	learned []learned
	callers [recentCallers]counted
	next    int
}

// counted is a caller whose sample was counted.
type counted struct {
	caller uint64
	at     time.Duration
}

// learned is what is known of one priority. Means are in seconds.
type learned struct {
	priority     uint8
	mean, recent float64
	samples      float64
	count        float64
	at           time.Duration
}

// Add records that a request of a caller was answered after the given time at the upstream.
func (t *Times) Add(now time.Duration, caller [4]byte, priority uint8, took time.Duration) {
	if took <= 0 || !t.counts(now, caller) {
		return
	}
	for i := range t.learned {
		t.learned[i].count *= countDecay
	}
	if l := t.of(priority); l != nil {
		l.add(now, took.Seconds())
	}
}

// counts reports whether a caller's sample counts, and remembers the caller if it does.
func (t *Times) counts(now time.Duration, caller [4]byte) bool {
	hash := max(xxhash.Sum64(caller[:]), 1)
	for _, c := range t.callers {
		if c.caller == hash && now-c.at < callerMaxAge {
			return false
		}
	}
	t.callers[t.next] = counted{hash, now}
	t.next = (t.next + 1) % recentCallers
	return true
}

// of returns the entry of a priority, nil if there is no place for another one.
func (t *Times) of(priority uint8) *learned {
	rarest := 0
	for i := range t.learned {
		if t.learned[i].priority == priority {
			return &t.learned[i]
		}
		if t.learned[i].count < t.learned[rarest].count {
			rarest = i
		}
	}
	if len(t.learned) < maxPriorities {
		t.learned = append(t.learned, learned{priority: priority})
		return &t.learned[len(t.learned)-1]
	}
	if t.learned[rarest].count >= replaceBelow {
		return nil
	}
	t.learned[rarest] = learned{priority: priority}
	return &t.learned[rarest]
}

// add takes in a sample. Its weight is 2/(n+1), which forgets a wrong start faster than 1/n.
func (l *learned) add(now time.Duration, sample float64) {
	l.at = now
	l.count++
	l.samples++
	if l.samples == 1 {
		l.mean, l.recent = sample, sample
		return
	}
	weight := 2 / (l.samples + 1)
	l.mean += max(weight, steadyWeight) * (min(sample, tailLimit*l.mean) - l.mean)
	l.recent += max(weight, recentWeight) * (min(sample, recentLimit*l.recent) - l.recent)
	if l.recent > changeRatio*l.mean || l.mean > changeRatio*l.recent {
		l.mean, l.samples = l.recent, min(l.samples, recentSamples)
	}
}

// Frequent returns the service times of the two most frequent priorities that are known,
// the more frequent first.
func (t *Times) Frequent(now time.Duration) (times [2]ServiceTime) {
	var first, second *learned
	for i := range t.learned {
		l := &t.learned[i]
		switch {
		case l.samples < minSamples || now-l.at > timesMaxAge:
		case first == nil || l.count > first.count:
			first, second = l, first
		case second == nil || l.count > second.count:
			second = l
		}
	}
	for i, l := range []*learned{first, second} {
		if l != nil {
			times[i] = ServiceTime{Priority: l.priority, Mean: time.Duration(l.mean * float64(time.Second))}
		}
	}
	return times
}
