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
	// defaultInterval holds for services without one.
	defaultInterval = time.Second
	// maxReport bounds the body of a report in bytes.
	maxReport = 4 << 10
	// stateDraining is the status by which an upstream announces that it leaves.
	stateDraining = "draining"
)

// pollClass is the class under which the endpoint is read.
var pollClass = config.Class{Name: "health", Kind: config.KindRequest, Idempotent: true}

// Poll reads the health endpoint until ctx ends and gives each report to hear.
// The settings are asked before each read, so that they may change.
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

// read asks the upstream once; silence is bad health.
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
	// A body of another form says nothing beside the status.
	_ = json.NewDecoder(io.LimitReader(response.Body, maxReport)).Decode(&body)
	draining := body.Status == stateDraining
	return Report{Healthy: response.StatusCode < http.StatusMultipleChoices || draining, Draining: draining}
}
