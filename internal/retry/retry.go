// Package retry limits how often failed requests are run again, so that retries can't
// multiply the load on a failing service. It does no I/O and reads no clock. A Budget
// isn't safe for concurrent use.
package retry

import "time"

// Policy sets the limits of a Budget.
type Policy struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64
	// Burst is the maximum number of retries in the budget.
	Burst float64
	// Attempts bounds the runs of one request, including the first.
	Attempts int
	// Floor is the least time until the deadline that allows a retry.
	Floor time.Duration
}

// DefaultPolicy allows one retry per ten requests. If a whole service fails, retries
// raise its load by no more than that.
func DefaultPolicy() Policy {
	return Policy{Ratio: 0.1, Burst: 10, Attempts: 3, Floor: 5 * time.Millisecond}
}

// Budget is a token bucket. Requests add tokens and each retry takes one.
type Budget struct {
	policy Policy
	tokens float64
}

// NewBudget returns a full budget.
func NewBudget(policy Policy) *Budget {
	return &Budget{policy: policy, tokens: policy.Burst}
}

// Request records the first run of a request.
func (b *Budget) Request() {
	b.tokens = min(b.tokens+b.policy.Ratio, b.policy.Burst)
}

// Failure describes a failed run.
type Failure struct {
	Idempotent bool
	// Attempts counts the runs so far.
	Attempts int
	// Left is the time until the deadline.
	Left time.Duration
}

// Allow reports whether the request may run again and, if so, takes a token.
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
