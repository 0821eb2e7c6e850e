// Command demo runs the whole system as processes on loopback for some
// seconds: store, fabric, balancers, agents with upstreams, and callers. It
// kills a balancer and starts another, and reports the outcomes at callers and
// upstreams. It fails if requests were lost or ran twice, or if feeds broke.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/test/caller"
	"github.com/saltbend/saltbend/test/harness"
)

const (
	balancers       = 3
	pairsPerService = 4
	callersPerFace  = 100
	quietBefore     = 4 * time.Second
	betweenFaults   = 4 * time.Second
	quietAfter      = 7 * time.Second
	workTimeout     = 10 * time.Second
	demoTimeout     = 2 * time.Minute
	serviceTime     = "5ms"
	lookupEvery     = 500 * time.Millisecond
	submitEvery     = 2 * time.Second
	uploadEvery     = 10 * time.Second
	uploadBytes     = 200_000
	submissionBytes = 400
	microsPerMilli  = 1000
	exitCheckFailed = 1
	exitRunFailed   = 2
)

// summary is the last line of the output, as JSON.
type summary struct {
	LookupsOK         int     `json:"lookups_ok"`
	LookupsFailed     int     `json:"lookups_failed"`
	LookupsRefused    int     `json:"lookups_refused"`
	SubmissionsOK     int     `json:"submissions_ok"`
	SubmissionsFailed int     `json:"submissions_failed"`
	Unknown           int     `json:"submissions_unknown"`
	UploadsOK         int     `json:"uploads_ok"`
	UploadsFailed     int     `json:"uploads_failed"`
	FeedsOpened       int     `json:"feeds_opened"`
	FeedsBroken       int     `json:"feeds_broken"`
	FeedGapMS         float64 `json:"feed_longest_gap_ms"`
	WrongService      int     `json:"wrong_service"`
	RanTwice          int     `json:"ran_twice"`
	RanRefused        int     `json:"ran_refused"`
	LookupP50MS       float64 `json:"lookup_p50_ms"`
	LookupP99MS       float64 `json:"lookup_p99_ms"`
	Imbalance         float64 `json:"imbalance_max_over_mean"`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	s, err := run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(exitRunFailed)
	}
	if !s.ok() {
		os.Exit(exitCheckFailed)
	}
}

func run(ctx context.Context) (summary, error) {
	dir, err := harness.MakeDir()
	if err != nil {
		return summary{}, err
	}
	defer os.RemoveAll(dir)
	services := []string{"results", "exams"}
	say("Building the programs, starting store and fabric.")
	bin := filepath.Join(dir, "bin")
	if err := harness.Build(ctx, bin); err != nil {
		return summary{}, err
	}
	fleet, err := harness.New(ctx, bin, dir, services...)
	if err != nil {
		return summary{}, err
	}
	defer fleet.Close()
	if err := populate(ctx, fleet, services); err != nil {
		return summary{}, err
	}
	tally := caller.NewTally()
	say("Starting %d callers, each with an open feed.", callersPerFace*len(services))
	crowd := caller.StartGroup(ctx, callers(fleet, services, tally), caller.Load{
		Feed: true, LookupEvery: lookupEvery, SubmitEvery: submitEvery, UploadEvery: uploadEvery,
		Timeout: workTimeout, UploadBytes: uploadBytes, BatchBytes: submissionBytes,
	})
	if err := injectFault(ctx, fleet); err != nil {
		return summary{}, err
	}
	say("Waiting for the requests in progress.")
	crowd.Stop()
	report := tally.Report()
	audit, err := fleet.Audit(report)
	if err != nil {
		return summary{}, err
	}
	s := summarise(report, audit)
	return s, print(report, audit, s)
}

// populate applies the configuration and starts the members.
func populate(ctx context.Context, fleet *harness.Fleet, services []string) error {
	say("Applying the configuration.")
	if err := fleet.Apply(ctx, harness.DefaultValues()); err != nil {
		return err
	}
	for range balancers {
		if _, err := fleet.AddBalancer(ctx); err != nil {
			return err
		}
	}
	say("%d balancers are ready.", balancers)
	for _, service := range services {
		for range pairsPerService {
			if _, err := fleet.AddPair(ctx, service, "--service-time", serviceTime); err != nil {
				return err
			}
		}
		say("Service %s has %d upstreams with agents.", service, pairsPerService)
	}
	return nil
}

func callers(fleet *harness.Fleet, services []string, tally *caller.Tally) []*caller.Caller {
	var all []*caller.Caller
	for _, service := range services {
		for i := range callersPerFace {
			all = append(all, fleet.Caller(fmt.Sprintf("%s-%d", service, i), service, tally, 0))
		}
	}
	return all
}

// injectFault kills a balancer under load and starts another.
func injectFault(ctx context.Context, fleet *harness.Fleet) error {
	if err := pause(ctx, quietBefore); err != nil {
		return err
	}
	victim := fleet.Balancers()[0]
	if err := fleet.KillBalancer(ctx, victim); err != nil {
		return err
	}
	say("Killed %s.", victim.Name)
	if err := pause(ctx, betweenFaults); err != nil {
		return err
	}
	added, err := fleet.AddBalancer(ctx)
	if err != nil {
		return err
	}
	say("Started %s.", added.Name)
	return pause(ctx, quietAfter)
}

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "demo")
	}
}

func summarise(r caller.Report, a harness.Audit) summary {
	lookups, submissions, uploads := r.Counts[caller.KindLookup], r.Counts[caller.KindSubmission], r.Counts[caller.KindUpload]
	return summary{
		LookupsOK:         lookups.OK,
		LookupsFailed:     lookups.Failed,
		LookupsRefused:    lookups.Refused,
		SubmissionsOK:     submissions.OK,
		SubmissionsFailed: submissions.Failed,
		Unknown:           submissions.Unknown,
		UploadsOK:         uploads.OK,
		UploadsFailed:     uploads.Failed,
		FeedsOpened:       r.FeedsOpened,
		FeedsBroken:       r.FeedsBroken,
		FeedGapMS:         milliseconds(r.LongestGap),
		WrongService:      a.WrongService,
		RanTwice:          a.RanTwice,
		RanRefused:        a.RanRefused,
		LookupP50MS:       milliseconds(r.P50[caller.KindLookup]),
		LookupP99MS:       milliseconds(r.P99[caller.KindLookup]),
		Imbalance:         a.Imbalance(),
	}
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / microsPerMilli }

// ok reports whether all kinds of requests succeeded, no request failed, ran twice, ran after
// a refusal or at a wrong service, and no feed broke.
func (s summary) ok() bool {
	done := s.LookupsOK > 0 && s.SubmissionsOK > 0 && s.UploadsOK > 0 && s.FeedsOpened > 0
	lost := s.LookupsFailed + s.SubmissionsFailed + s.Unknown + s.UploadsFailed + s.FeedsBroken
	return done && lost+s.WrongService+s.RanTwice+s.RanRefused == 0
}

func print(r caller.Report, a harness.Audit, s summary) error {
	fmt.Println()
	for _, kind := range []caller.Kind{caller.KindLookup, caller.KindSubmission, caller.KindUpload} {
		c := r.Counts[kind]
		fmt.Printf("%-11s ok %6d   failed %3d   unknown %3d   refused %3d   p50 %8s   p99 %8s   max %8s\n",
			kind, c.OK, c.Failed, c.Unknown, c.Refused, r.P50[kind], r.P99[kind], r.Max[kind])
	}
	fmt.Printf("%-11s opened %d   broken %d   events %d   longest gap between two events %s\n",
		"feed", r.FeedsOpened, r.FeedsBroken, r.Events, r.LongestGap.Round(time.Millisecond))
	for service, upstreams := range a.Runs {
		fmt.Printf("%-11s runs by upstream %v\n", service, upstreams)
	}
	for _, problem := range append(r.Errors, a.Findings...) {
		fmt.Println("problem:", problem)
	}
	line, err := json.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "encode summary")
	}
	fmt.Println(string(line))
	return nil
}

func say(format string, args ...any) {
	fmt.Printf(time.Now().Format("15:04:05.000 ")+format+"\n", args...)
}
