package retry_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/retry"
)

func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := retry.DefaultPolicy()
		budget := retry.NewBudget(policy)
		requests, retries := 0, 0
		for _, failed := range rapid.SliceOf(rapid.Bool()).Draw(t, "failed") {
			if failed && budget.Allow(retry.Failure{Idempotent: true, Attempts: 1, Left: time.Second}) {
				retries++
			}
			if !failed {
				budget.Request()
				requests++
			}
		}
		if limit := policy.Burst + policy.Ratio*float64(requests); float64(retries) > limit+1e-9 {
			t.Fatalf("%d retries for %d requests, limit %v", retries, requests, limit)
		}
	})
}

func TestAllow(t *testing.T) {
	ok := retry.Failure{Idempotent: true, Attempts: 1, Left: time.Second}
	nonIdempotent, tooLate, exhausted := ok, ok, ok
	nonIdempotent.Idempotent = false
	tooLate.Left = time.Millisecond
	exhausted.Attempts = retry.DefaultPolicy().Attempts
	for name, c := range map[string]struct {
		failure retry.Failure
		want    bool
	}{
		"idempotent":     {ok, true},
		"not idempotent": {nonIdempotent, false},
		"too late":       {tooLate, false},
		"attempts used":  {exhausted, false},
	} {
		if got := retry.NewBudget(retry.DefaultPolicy()).Allow(c.failure); got != c.want {
			t.Errorf("%s: Allow = %v, want %v", name, got, c.want)
		}
	}
}
