package integration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/event"
	"github.com/saltbend/saltbend/internal/gossip"
	"github.com/saltbend/saltbend/internal/seed"
	"github.com/saltbend/saltbend/test/caller"
	"github.com/saltbend/saltbend/test/harness"
)

const (
	// cutVariable is the environment variable with the minimum duration of a partition.
	// Without it, a partition lasts only until every balancer has detected it and would
	// have declared the unreachable members gone.
	cutVariable = "SALTBEND_TEST_CUT"

	metricAgents    = `saltbend_control_members{role="agent"}`
	metricBalancers = `saltbend_control_members{role="balancer"}`
	metricInitials  = `saltbend_balancer_forwarded_total{kind="initial"}`
	metricRevision  = "saltbend_control_config_revision"
	metricSeed      = "saltbend_control_seed"
	metricSuspected = "saltbend_control_suspected_members"
)

// controlEvent is an event of the part control in a process's timeline.
type controlEvent struct {
	Time    time.Time
	Process string
	Kind    event.Kind
	Detail  string
}

// eventsSince returns the events of all responding processes after the given time.
func eventsSince(ctx context.Context, fleet *harness.Fleet, since time.Time) []controlEvent {
	ginkgo.GinkgoHelper()
	r, err := fleet.CLI(ctx, "timeline", "--part", control.Part, "--output", "json")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	var out []controlEvent
	lines := json.NewDecoder(strings.NewReader(r.Stdout))
	for lines.More() {
		var e controlEvent
		gomega.Expect(lines.Decode(&e)).To(gomega.Succeed())
		if e.Time.After(since) {
			out = append(out, e)
		}
	}
	return out
}

// firstEvents returns, by control address, the time of each balancer's first event that
// satisfies is.
func firstEvents(all []controlEvent, fleet *harness.Fleet, is func(controlEvent) bool) map[string]time.Time {
	first := make(map[string]time.Time)
	for _, b := range fleet.Balancers() {
		address := b.Address("control").String()
		if i := slices.IndexFunc(all, func(e controlEvent) bool { return e.Process == address && is(e) }); i >= 0 {
			first[address] = all[i].Time
		}
	}
	return first
}

// awaitEventOnAll waits until the timeline of each balancer contains an event after since
// that satisfies is, and returns the time of the first such event by control address.
func awaitEventOnAll(ctx context.Context, fleet *harness.Fleet, since time.Time, is func(controlEvent) bool) map[string]time.Time {
	ginkgo.GinkgoHelper()
	var at map[string]time.Time
	gomega.Eventually(func() map[string]time.Time {
		at = firstEvents(eventsSince(ctx, fleet, since), fleet, is)
		return at
	}, waitTimeout, "250ms").Should(gomega.HaveLen(len(fleet.Balancers())))
	return at
}

// gauge returns the value of a metric of one process.
func gauge(ctx context.Context, p *harness.Process, name string) float64 {
	ginkgo.GinkgoHelper()
	v, err := p.Metric(ctx, name)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return v
}

// gauges returns the values of a metric of several processes.
func gauges(ctx context.Context, processes []*harness.Process, name string) []float64 {
	ginkgo.GinkgoHelper()
	var out []float64
	for _, p := range processes {
		out = append(out, gauge(ctx, p, name))
	}
	return out
}

// allOf matches a list with the same value for each of the processes.
func allOf(value, processes int) gomega.OmegaMatcher {
	return gomega.And(gomega.HaveLen(processes), gomega.HaveEach(float64(value)))
}

// expectTables waits until the member tables of all processes contain all balancers and
// agents, and returns the function that checks this.
func expectTables(ctx context.Context, fleet *harness.Fleet, pairs []*harness.Pair) func(gomega.Gomega) {
	ginkgo.GinkgoHelper()
	members := fleet.Balancers()
	balancers := len(members)
	for _, pair := range pairs {
		members = append(members, pair.Agent)
	}
	whole := func(g gomega.Gomega) {
		g.Expect(gauges(ctx, members, metricAgents)).To(allOf(len(pairs), len(members)))
		g.Expect(gauges(ctx, members, metricBalancers)).To(allOf(balancers, len(members)))
	}
	gomega.Eventually(whole, waitTimeout).Should(gomega.Succeed())
	return whole
}

// newFlowsThroughEach sends lookups over new connections until every balancer has forwarded
// the first packets of some of them.
func newFlowsThroughEach(ctx context.Context, fleet *harness.Fleet, tally *caller.Tally) {
	ginkgo.GinkgoHelper()
	const enough = 5
	before := make(map[string]float64)
	for _, b := range fleet.Balancers() {
		before[b.Name] = gauge(ctx, b, metricInitials)
	}
	gomega.Eventually(func() float64 {
		one := fleet.Caller(fmt.Sprintf("new-%d", time.Now().UnixNano()), results, tally, 0)
		defer one.Close()
		gomega.Expect(one.Lookup(ctx)).To(gomega.Succeed())
		least := float64(enough)
		for _, b := range fleet.Balancers() {
			least = min(least, gauge(ctx, b, metricInitials)-before[b.Name])
		}
		return least
	}, waitTimeout, "1ms").Should(gomega.BeNumerically(">=", enough))
}

// cutLength returns how long a partition continues after every balancer has detected it:
// long enough for the unreachable members to be declared gone if that were possible.
func cutLength(since time.Time) time.Duration {
	ginkgo.GinkgoHelper()
	least := 4 * gossip.DefaultTiming().Renew
	text, set := os.LookupEnv(cutVariable)
	if !set {
		return least
	}
	asked, err := time.ParseDuration(text)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return max(least, asked-time.Since(since))
}

// transitions are the kinds of events that neither a partition nor a frozen process may
// cause, since each would change the members that balancers route to.
var transitions = []event.Kind{control.EventDeclared, control.EventReturned, control.EventState, control.EventJoined}

// expectNoTransitions checks that no process has recorded a transition of a member since
// the given time, and adds the counts of all events to the report.
func expectNoTransitions(ctx context.Context, fleet *harness.Fleet, since time.Time) {
	ginkgo.GinkgoHelper()
	counts := make(map[event.Kind]int)
	var changed []controlEvent
	for _, e := range eventsSince(ctx, fleet, since) {
		counts[e.Kind]++
		if slices.Contains(transitions, e.Kind) {
			changed = append(changed, e)
		}
	}
	ginkgo.AddReportEntry("noted", fmt.Sprint(counts), ginkgo.ReportEntryVisibilityAlways)
	gomega.Expect(changed).To(gomega.BeEmpty())
}

// holders returns the balancers that hold a seed lease, according to their metrics.
func holders(ctx context.Context, balancers []*harness.Process) (seeds []*harness.Process) {
	ginkgo.GinkgoHelper()
	for _, b := range balancers {
		if gauge(ctx, b, metricSeed) > 0 {
			seeds = append(seeds, b)
		}
	}
	return seeds
}

var _ = ginkgo.Describe("half of the balancers", func() {
	const (
		balancers   = 4
		pairs       = 3
		callersEach = 30
	)
	load := caller.Load{Feed: true, LookupEvery: 300 * time.Millisecond}

	ginkgo.It("may be cut from the store and from the others", func(ctx ginkgo.SpecContext) {
		fleet, _ := start(ctx, size{}, harness.DefaultValues(), results)
		network, err := fleet.NewNetwork()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(network.Close)
		for range balancers {
			_, err := network.AddBalancer(ctx)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
		}
		all := fleet.Balancers()
		var agents []*harness.Pair
		for range pairs {
			pair, err := fleet.AddPair(ctx, results)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			agents = append(agents, pair)
		}
		tablesWhole := expectTables(ctx, fleet, agents)
		before := int(change(ctx, fleet, 100))
		gomega.Eventually(gauges, waitTimeout).WithArguments(ctx, all, metricRevision).Should(allOf(before, balancers))
		tally := caller.NewTally()
		crowd := startCallers(ctx, fleet, tally, callersEach, load)
		gomega.Eventually(holders, waitTimeout).WithArguments(ctx, all).Should(gomega.HaveLen(seed.Slots))
		seeds := holders(ctx, all)
		others := slices.DeleteFunc(slices.Clone(all), func(b *harness.Process) bool { return slices.Contains(seeds, b) })
		// One seed on either side of the partition, so that neither side has to wait for
		// another balancer to become a seed.
		isolated, remaining := []*harness.Process{seeds[0], others[0]}, []*harness.Process{seeds[1], others[1]}
		network.Cut(isolated...)
		begun := time.Now()
		revision := int(change(ctx, fleet, 101))
		gomega.Eventually(gauges, waitTimeout).WithArguments(ctx, remaining, metricRevision).Should(allOf(revision, len(remaining)))
		gomega.Eventually(gauges, waitTimeout).WithArguments(ctx, all, metricSuspected).Should(allOf(balancers/2, balancers))
		gomega.Consistently(tablesWhole, cutLength(begun), "500ms").Should(gomega.Succeed())
		newFlowsThroughEach(ctx, fleet, tally)
		awaitProgress(tally, callersEach, callersEach)
		gomega.Expect(gauges(ctx, isolated, metricRevision)).To(allOf(before, len(isolated)), "the change crossed the partition")
		lasted := time.Since(begun)

		network.Heal()
		healed := time.Now()
		gomega.Eventually(gauges, waitTimeout).WithArguments(ctx, all, metricRevision).Should(allOf(revision, balancers))
		risen := time.Since(healed)
		gomega.Eventually(gauges, waitTimeout).WithArguments(ctx, all, metricSuspected).Should(allOf(0, balancers))
		ginkgo.AddReportEntry("cut", fmt.Sprintf("partition of %s; after its end the change was in force on all balancers within %s, no member suspected after %s",
			lasted, risen, time.Since(healed)), ginkgo.ReportEntryVisibilityAlways)
		revision = int(change(ctx, fleet, 102))
		gomega.Eventually(gauges, waitTimeout).WithArguments(ctx, all, metricRevision).Should(allOf(revision, balancers))
		// Messages sent before the partition are delivered only now.
		gomega.Consistently(tablesWhole, 2*gossip.DefaultTiming().Renew, "500ms").Should(gomega.Succeed())
		newFlowsThroughEach(ctx, fleet, tally)
		awaitProgress(tally, callersEach, callersEach)
		expectNoTransitions(ctx, fleet, begun)
		inForce(ctx, fleet, uint64(revision), all) // also checks that no process went back to an older revision
		crowd.Stop()
		expectNoErrors(fleet, tally, callersEach)
	}, ginkgo.SpecTimeout(specTimeout))
})

var _ = ginkgo.Describe("an upstream", func() {
	const (
		rounds      = 3
		callersEach = 20
	)
	load := caller.Load{Feed: true, LookupEvery: 200 * time.Millisecond}

	// stateOf matches events that report that a process received the agent's state.
	stateOf := func(pair *harness.Pair, state string) func(controlEvent) bool {
		about := " " + pair.Agent.Address("control").String() + ","
		return func(e controlEvent) bool {
			return strings.Contains(e.Detail, about) && strings.HasSuffix(e.Detail, ", state "+state) && e.Kind != control.EventSuspected
		}
	}
	// timed records the times from begun to the balancers' events, in microseconds.
	timed := func(h *hdrhistogram.Histogram, begun time.Time, at map[string]time.Time) {
		for _, t := range at {
			_ = h.RecordValue(max(1, t.Sub(begun).Microseconds())) // in range, since the spec's time-out is shorter
		}
	}
	report := func(what string, h *hdrhistogram.Histogram) {
		ginkgo.AddReportEntry("known", fmt.Sprintf("%s: %d observations by balancers, p50 %s, max %s", what, h.TotalCount(),
			micros(h.ValueAtPercentile(50)), micros(h.Max())), ginkgo.ReportEntryVisibilityAlways)
	}
	times := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxInForce.Microseconds(), 3) }

	ginkgo.It("that comes, leaves or crashes is known to every balancer", func(ctx ginkgo.SpecContext) {
		fleet, pairs := start(ctx, size{balancers: 5, pairs: rounds}, harness.DefaultValues(), results)
		expectTables(ctx, fleet, pairs) // so that all upstreams receive flows
		tally := caller.NewTally()
		crowd := startCallers(ctx, fleet, tally, callersEach, load)
		added, left, crashed := times(), times(), times()
		add := func() *harness.Pair {
			begun := time.Now()
			pair, err := fleet.AddPair(ctx, results)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			timed(added, begun, awaitEventOnAll(ctx, fleet, begun, stateOf(pair, "ready")))
			return pair
		}
		var begun time.Time
		leavers := make(map[string]time.Time)
		for _, pair := range pairs {
			add()
			awaitProgress(tally, 4*callersEach, callersEach)
			gomega.Expect(runs(fleet, tally, pair)).NotTo(gomega.BeZero(), "the upstream ran no requests before its agent stops, so the check for new work would be void")
			begun = time.Now()
			pair.Agent.Signal(syscall.SIGTERM)
			timed(left, begun, awaitEventOnAll(ctx, fleet, begun, stateOf(pair, "draining")))
			leavers[pair.Upstream.Name] = begun
		}
		gomega.Eventually(func() bool { // give the last one as much time as the others
			awaitProgress(tally, callersEach, callersEach)
			return time.Since(begun) > 2*drainNotice
		}, waitTimeout).Should(gomega.BeTrue())
		crowd.Stop()
		for name, begun := range leavers {
			expectNoNewWork(fleet, name, begun.Add(drainNotice))
		}
		expectNoErrors(fleet, tally, callersEach)

		// The crash of a host breaks its flows, so no caller has open flows here.
		for range rounds {
			pair := add()
			begun := time.Now()
			pair.Agent.Kill()
			pair.Upstream.Kill()
			timed(crashed, begun, awaitEventOnAll(ctx, fleet, begun, stateOf(pair, "gone")))
		}
		newFlowsThroughEach(ctx, fleet, tally)
		report("new, from the start of its processes", added)
		report("leaving, from the signal", left)
		report("crashed, from its end", crashed)
		expectNoErrors(fleet, tally, callersEach)
	}, ginkgo.SpecTimeout(specTimeout))
})
