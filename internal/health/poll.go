package health

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/upstream"
)

const (
	// defaultInterval is the poll interval for services that configure none.
	defaultInterval = time.Second
	// maxReport is the maximum number of bytes read from the body of a report.
	maxReport = 4 << 10
	// stateDraining is the status with which an upstream announces a drain.
	stateDraining = "draining"
)

// pollClass is the request class of health checks.
var pollClass = config.Class{Name: "health", Kind: config.KindRequest, Idempotent: true}

// Poll requests the upstream's health endpoint at intervals until ctx ends, and
// calls report with each result. It calls settings before each request, so that
// changed settings take effect.
func Poll(ctx context.Context, r upstream.Runner, settings func() config.Health, report func(Report)) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		s := settings()
		interval := s.Interval
		if interval <= 0 {
			interval = defaultInterval
		}
		if s.Path != "" {
			report(read(ctx, r, s.Path, interval))
		}
		timer.Reset(interval)
	}
}

// read requests the health endpoint once. A failure or time-out counts as bad
// health.
func read(ctx context.Context, r upstream.Runner, path string, timeout time.Duration) Report {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return Report{}
	}
	response, err := r.Run(ctx, request, pollClass)
	if err != nil {
		return Report{}
	}
	defer response.Body.Close()
	return parse(response)
}

func parse(response *http.Response) Report {
	var body struct {
		Status string `json:"status"`
	}
	// If the body is not of this form, only the status code counts.
	_ = json.NewDecoder(io.LimitReader(response.Body, maxReport)).Decode(&body)
	draining := body.Status == stateDraining
	return Report{Healthy: response.StatusCode < http.StatusMultipleChoices || draining, Draining: draining}
}
