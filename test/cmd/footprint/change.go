package main

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/test/harness"
)

// firstDeadline is the deadline in milliseconds before the first change; each change makes
// it 1 ms longer.
const firstDeadline = 5000

// change applies one configuration change per interval for the given length. For each it
// returns the time from the start of the operator's command until the last balancer logged
// that the change is in force. It reads the logs instead of querying the balancers, so that
// the measurement doesn't include the cost of queries.
func (f *fleet) change(ctx context.Context, length, interval time.Duration) ([]time.Duration, error) {
	var starts []time.Time
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		start := time.Now()
		starts = append(starts, start)
		v := harness.DefaultValues()
		v.Deadline = fmt.Sprintf("%dms", firstDeadline+len(starts))
		if err := f.harness.Apply(ctx, v); err != nil {
			return nil, err
		}
		if err := pause(ctx, min(time.Until(start.Add(interval)), time.Until(end))); err != nil {
			return nil, err
		}
	}
	delays := make([]time.Duration, len(starts))
	for _, p := range f.processes[balancer] {
		times, err := p.LoggedAt(string(control.EventServing), starts[0])
		if err != nil {
			return nil, err
		}
		if len(times) != len(starts) {
			return nil, errors.Errorf("balancer %s logged %d changes in force, want %d", p.Name, len(times), len(starts))
		}
		for i, at := range times {
			delays[i] = max(delays[i], at.Sub(starts[i]))
		}
	}
	return delays, nil
}
