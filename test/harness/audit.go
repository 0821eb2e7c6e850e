package harness

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/test/caller"
	"github.com/saltbend/saltbend/test/upstream"
)

// Audit is the result of checking the upstreams' run logs against the callers' report.
type Audit struct {
	// Runs counts started runs by service and upstream.
	Runs map[string]map[string]int
	// WrongService counts runs of requests that were meant for another service.
	WrongService int
	// RanTwice counts submissions that ran more than once.
	RanTwice int
	// RanRefused counts attempts that ran although the caller received a refusal, which
	// promises that the request was not run.
	RanRefused int
	// Findings describes the first violations found, at most 20.
	Findings []string
}

// Records reads the run logs of all upstreams, including those that have exited.
func (f *Fleet) Records() ([]upstream.Record, error) {
	paths, err := filepath.Glob(f.path(runLogPrefix + "*"))
	if err != nil {
		return nil, errors.Wrap(err, "find run logs")
	}
	var all []upstream.Record
	for _, path := range paths {
		records, err := upstream.ReadLog(path)
		if err != nil {
			return nil, err
		}
		all = append(all, records...)
	}
	return all, nil
}

// Audit checks the run logs of all upstreams against the outcomes that callers received.
func (f *Fleet) Audit(report caller.Report) (Audit, error) {
	a := Audit{Runs: make(map[string]map[string]int)}
	records, err := f.Records()
	if err != nil {
		return a, err
	}
	submissions := make(map[string]int)
	for _, r := range records {
		a.add(r, report.Refused, submissions)
	}
	for stem, runs := range submissions {
		if runs > 1 {
			a.RanTwice++
			a.addFinding("submission %s ran %d times", stem, runs)
		}
	}
	return a, nil
}

func (a *Audit) add(r upstream.Record, refused map[string]bool, submissions map[string]int) {
	if r.Phase != upstream.PhaseStart {
		return
	}
	if r.Wanted != r.Service {
		a.WrongService++
		a.addFinding("request %s for %q ran at %q", r.ID, r.Wanted, r.Service)
	}
	switch {
	case r.Path == upstream.PathBatch || r.Path == upstream.PathAnswer:
		stem, _, _ := strings.Cut(r.ID, ".")
		submissions[stem]++
		if refused[r.ID] {
			a.RanRefused++
			a.addFinding("attempt %s ran although the caller received a refusal", r.ID)
		}
	case r.Path == upstream.PathFeed:
		return // a feed occupies no slot
	}
	if a.Runs[r.Service] == nil {
		a.Runs[r.Service] = make(map[string]int)
	}
	a.Runs[r.Service][r.Upstream]++
}

func (a *Audit) addFinding(format string, args ...any) {
	const limit = 20
	if len(a.Findings) < limit {
		a.Findings = append(a.Findings, fmt.Sprintf(format, args...))
	}
}

// Imbalance returns the largest ratio of the busiest upstream's runs to the
// mean of its service, over all services.
func (a *Audit) Imbalance() float64 {
	worst := 0.0
	for _, upstreams := range a.Runs {
		total, most := 0, 0
		for _, runs := range upstreams {
			total += runs
			most = max(most, runs)
		}
		worst = max(worst, float64(most)*float64(len(upstreams))/float64(total))
	}
	return worst
}
