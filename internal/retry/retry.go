// Package retry bounds how many requests are run again. It is pure; the owner
// of a Budget serialises its use.
package retry

import "time"

// Policy sets the bounds.
type Policy struct {
	// Ratio is the number of retries that each request pays for.
	Ratio float64
	// Burst is the number of retries that can be saved up.
	Burst float64
	// Attempts bounds the runs of one request, the first one included.
	Attempts int
	// Floor is the time that must be left until the deadline.
	Floor time.Duration
}

// DefaultPolicy allows one retry in ten requests: where a whole service fails,
// its load rises by no more than that.
func DefaultPolicy() Policy {
	return Policy{Ratio: 0.1, Burst: 10, Attempts: 3, Floor: 5 * time.Millisecond}
}

// Budget is a token bucket that requests fill and retries empty.
type Budget struct {
	policy Policy
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(policy Policy) *Budget {
	return &Budget{policy: policy, tokens: policy.Burst}
}

// Request notes a first run.
func (b *Budget) Request() {
	b.tokens = min(b.tokens+b.policy.Ratio, b.policy.Burst)
}

// Failure is a run that failed.
type Failure struct {
	Idempotent bool
	// Attempts counts the runs so far.
	Attempts int
	// Left is the time until the deadline.
	Left time.Duration
}

// Allow reports whether the request may run again, and pays for it if so.
func (b *Budget) Allow(f Failure) bool {
	switch {
	case !f.Idempotent, f.Attempts >= b.policy.Attempts, f.Left < b.policy.Floor:
		return false
	case b.tokens < 1:
		return false
	}
	b.tokens--
	return true
}
