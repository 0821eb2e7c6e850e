package health_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/health"
)

var start = time.Unix(1_700_000_000, 0)

const slots = 5

func tracker(outcomes int, o health.Outcome) (t *health.Tracker, now time.Time) {
	t = health.NewTracker(start, 0)
	now = start
	for range outcomes {
		now = now.Add(10 * time.Millisecond)
		t.Observe(now, o)
	}
	return t, now
}

var (
	good      = health.Outcome{Good: true, Latency: 20 * time.Millisecond}
	fastError = health.Outcome{Latency: time.Millisecond}
)

func TestFastErrorsLowerSlotsAndWeight(t *testing.T) {
	tr, now := tracker(100, fastError)
	tr.RecordReport(now, health.Report{Healthy: true})
	v := tr.Judge(now, slots, health.Peers{Known: 6, Healthy: 6, PanicThreshold: 0.5})
	if v.Draws || v.Slots != 1 || v.Weight > 100 {
		t.Fatalf("upstream that answers with fast errors: verdict %+v, want no draws, 1 slot and weight <= 100", v)
	}
	for range 100 {
		tr.Observe(now, good)
	}
	if v := tr.Judge(now, slots, health.Peers{}); !v.Draws || v.Slots != slots || v.Weight < 900 {
		t.Fatalf("upstream after 100 good outcomes: verdict %+v, want draws, all slots and weight >= 900", v)
	}
}

func TestWeightIsStableUnderSteadyFailuresAndRecovers(t *testing.T) {
	tr, now := tracker(100, good)
	changes, last := 0, health.FullWeight
	for i := range 2000 {
		o := good
		if i%16 == 0 {
			o = fastError
		}
		tr.Observe(now, o)
		if w := tr.Judge(now, slots, health.Peers{}).Weight; w != last {
			changes, last = changes+1, w
		}
	}
	if changes > 2 {
		t.Errorf("weight changed %d times under steady failures, want at most 2", changes)
	}
	for range 100 {
		tr.Observe(now, good)
	}
	if w := tr.Judge(now, slots, health.Peers{}).Weight; w != health.FullWeight {
		t.Errorf("weight %d after 100 good outcomes, want full weight", w)
	}
}

func TestRecentGoodOutcomesOverrideAnUnhealthyReport(t *testing.T) {
	tr, now := tracker(100, good)
	tr.RecordReport(now, health.Report{Healthy: false})
	if v := tr.Judge(now, slots, health.Peers{}); !v.Draws || v.Weight != health.FullWeight {
		t.Fatalf("report of bad health lowered the verdict despite recent good outcomes: %+v", v)
	}
	if v := tr.Judge(now.Add(time.Minute), slots, health.Peers{}); v.Draws || v.Weight != 0 {
		t.Fatalf("report of bad health ignored one minute after the last outcome: %+v", v)
	}
}

func TestWeightRisesDuringSlowStart(t *testing.T) {
	tr := health.NewTracker(start, 10*time.Second)
	last := 0
	for _, after := range []time.Duration{0, 3 * time.Second, 6 * time.Second, 10 * time.Second} {
		// Between these times the weight rises by more than weightStep.
		w := tr.Judge(start.Add(after), slots, health.Peers{}).Weight
		if w <= last {
			t.Fatalf("weight %d after %s, want more than the previous %d", w, after, last)
		}
		last = w
	}
	if last != health.FullWeight {
		t.Fatalf("weight %d after the slow start, want full weight", last)
	}
}

func TestLatencyAboveTheLongTermAverageLowersTheWeight(t *testing.T) {
	tr, now := tracker(1000, good)
	for range 100 {
		tr.Observe(now, health.Outcome{Good: true, Latency: 400 * time.Millisecond})
	}
	if w := tr.Judge(now, slots, health.Peers{}).Weight; w > health.FullWeight/2 {
		t.Fatalf("weight %d of an upstream with 20 times the latency, want at most half", w)
	}
}

func TestHealthIsIgnoredWhenMostPeersAreUnhealthy(t *testing.T) {
	tr, now := tracker(100, fastError)
	v := tr.Judge(now, slots, health.Peers{Known: 6, Healthy: 2, PanicThreshold: 0.5})
	if !v.Panic || !v.Draws || v.Slots != slots {
		t.Fatalf("most upstreams are unhealthy: verdict %+v, want panic with draws and all slots", v)
	}
	if v.Weight > 100 {
		t.Fatalf("weight %d in panic, want <= 100 so that siblings see the upstream as unhealthy", v.Weight)
	}
}

// endpoint is a Runner that answers health checks with a fixed response.
type endpoint struct {
	status int
	body   string
}

func (e endpoint) Run(context.Context, *http.Request, config.Class) (*http.Response, error) {
	return &http.Response{StatusCode: e.status, Body: io.NopCloser(strings.NewReader(e.body))}, nil
}

func TestPollReportsHealthAndDraining(t *testing.T) {
	for name, c := range map[string]struct {
		endpoint endpoint
		want     health.Report
	}{
		"healthy":  {endpoint{200, `{"status":"ok"}`}, health.Report{Healthy: true}},
		"no JSON":  {endpoint{200, "fine"}, health.Report{Healthy: true}},
		"failing":  {endpoint{500, ""}, health.Report{}},
		"draining": {endpoint{503, `{"status":"draining"}`}, health.Report{Healthy: true, Draining: true}},
	} {
		ctx, cancel := context.WithCancel(context.Background())
		got := make(chan health.Report, 1)
		settings := func() config.Health { return config.Health{Path: "/health", Interval: time.Millisecond} }
		go health.Poll(ctx, c.endpoint, settings, func(r health.Report) {
			select {
			case got <- r:
			default:
			}
		})
		if r := <-got; r != c.want {
			t.Errorf("%s: report %+v, want %+v", name, r, c.want)
		}
		cancel()
	}
}
