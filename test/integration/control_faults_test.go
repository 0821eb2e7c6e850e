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
	// cutVariable sets the least length of a cut; without it a cut lasts only
	// until every balancer has noticed it and would have acted on it.
	cutVariable = "SALTBEND_TEST_CUT"

	metricAgents    = `saltbend_control_members{role="agent"}`
	metricBalancers = `saltbend_control_members{role="balancer"}`
	metricInitials  = `saltbend_balancer_forwarded_total{kind="initial"}`
	metricRevision  = "saltbend_control_config_revision"
	metricSeed      = "saltbend_control_seed"
	metricSuspected = "saltbend_control_suspected_members"
)

// noted is one event of a process's time line about control.
type noted struct {
	Time    time.Time
	Process string
	Kind    event.Kind
	Detail  string
}

// notedSince returns the events of all processes that answer, after a time.
func notedSince(ctx context.Context, fleet *harness.Fleet, since time.Time) []noted {
	ginkgo.GinkgoHelper()
	r, err := fleet.CLI(ctx, "timeline", "--part", control.Part, "--output", "json")
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	var out []noted
	lines := json.NewDecoder(strings.NewReader(r.Stdout))
	for lines.More() {
		var e noted
		gomega.Expect(lines.Decode(&e)).To(gomega.Succeed())
		if e.Time.After(since) {
			out = append(out, e)
		}
	}
	return out
}

// notedAt returns the time of each balancer's first event that is so.
func notedAt(all []noted, fleet *harness.Fleet, is func(noted) bool) map[string]time.Time {
	first := make(map[string]time.Time)
	for _, b := range fleet.Balancers() {
		address := b.Address("control").String()
		if i := slices.IndexFunc(all, func(e noted) bool { return e.Process == address && is(e) }); i >= 0 {
			first[address] = all[i].Time
		}
	}
	return first
}

// everyBalancerNotes waits until each balancer's time line has such an event
// after the time, and returns when each had the first.
func everyBalancerNotes(ctx context.Context, fleet *harness.Fleet, since time.Time, is func(noted) bool) map[string]time.Time {
	ginkgo.GinkgoHelper()
	var at map[string]time.Time
	gomega.Eventually(func() map[string]time.Time {
		at = notedAt(notedSince(ctx, fleet, since), fleet, is)
		return at
	}, patience, "250ms").Should(gomega.HaveLen(len(fleet.Balancers())))
	return at
}

// gauge reads a metric of one process.
func gauge(ctx context.Context, p *harness.Process, name string) float64 {
	ginkgo.GinkgoHelper()
	v, err := p.Metric(ctx, name)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return v
}

// gauges reads a metric of several processes.
func gauges(ctx context.Context, processes []*harness.Process, name string) []float64 {
	ginkgo.GinkgoHelper()
	var out []float64
	for _, p := range processes {
		out = append(out, gauge(ctx, p, name))
	}
	return out
}

// allOf matches the metric of several processes when each has the value.
func allOf(value, processes int) gomega.OmegaMatcher {
	return gomega.And(gomega.HaveLen(processes), gomega.HaveEach(float64(value)))
}

// expectTables waits until each process knows all balancers and agents, and
// returns the check that it does.
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
	gomega.Eventually(whole, patience).Should(gomega.Succeed())
	return whole
}

// newFlowsThroughEach sends lookups over new connections until every balancer
// has placed some of them.
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
	}, patience, "1ms").Should(gomega.BeNumerically(">=", enough))
}

// cutLength is how long the cut goes on after every balancer has noticed it:
// long enough for a declaration of those that it hides.
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

// transitions are the events of which a cut or a frozen process may cause none:
// each would change what balancers route by.
var transitions = []event.Kind{control.EventDeclared, control.EventReturned, control.EventState, control.EventJoined}

// expectNoTransitions checks that no process has had a member leave, come or
// change since the time, and says what else was noted.
func expectNoTransitions(ctx context.Context, fleet *harness.Fleet, since time.Time) {
	ginkgo.GinkgoHelper()
	counts := make(map[event.Kind]int)
	var changed []noted
	for _, e := range notedSince(ctx, fleet, since) {
		counts[e.Kind]++
		if slices.Contains(transitions, e.Kind) {
			changed = append(changed, e)
		}
	}
	ginkgo.AddReportEntry("noted", fmt.Sprint(counts), ginkgo.ReportEntryVisibilityAlways)
	gomega.Expect(changed).To(gomega.BeEmpty())
}

// holders returns those of the balancers that hold a lease.
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
		gomega.Eventually(gauges, patience).WithArguments(ctx, all, metricRevision).Should(allOf(before, balancers))
		tally := caller.NewTally()
		crowd := gather(ctx, fleet, tally, callersEach, load)
		gomega.Eventually(holders, patience).WithArguments(ctx, all).Should(gomega.HaveLen(seed.Slots))
		seeds := holders(ctx, all)
		others := slices.DeleteFunc(slices.Clone(all), func(b *harness.Process) bool { return slices.Contains(seeds, b) })
		// One seed on either side, so that the others need not wait for a spare.
		island, mainland := []*harness.Process{seeds[0], others[0]}, []*harness.Process{seeds[1], others[1]}
		network.Cut(island...)
		begun := time.Now()
		revision := int(change(ctx, fleet, 101))
		gomega.Eventually(gauges, patience).WithArguments(ctx, mainland, metricRevision).Should(allOf(revision, len(mainland)))
		gomega.Eventually(gauges, patience).WithArguments(ctx, all, metricSuspected).Should(allOf(balancers/2, balancers))
		gomega.Consistently(tablesWhole, cutLength(begun), "500ms").Should(gomega.Succeed())
		newFlowsThroughEach(ctx, fleet, tally)
		progress(tally, callersEach, callersEach)
		gomega.Expect(gauges(ctx, island, metricRevision)).To(allOf(before, len(island)), "the cut leaks")
		lasted := time.Since(begun)

		network.Heal()
		healed := time.Now()
		gomega.Eventually(gauges, patience).WithArguments(ctx, all, metricRevision).Should(allOf(revision, balancers))
		risen := time.Since(healed)
		gomega.Eventually(gauges, patience).WithArguments(ctx, all, metricSuspected).Should(allOf(0, balancers))
		ginkgo.AddReportEntry("cut", fmt.Sprintf("for %s; after its end the change was in force everywhere in %s, nobody suspected in %s",
			lasted, risen, time.Since(healed)), ginkgo.ReportEntryVisibilityAlways)
		revision = int(change(ctx, fleet, 102))
		gomega.Eventually(gauges, patience).WithArguments(ctx, all, metricRevision).Should(allOf(revision, balancers))
		// What a process sent before the cut arrives only now.
		gomega.Consistently(tablesWhole, 2*gossip.DefaultTiming().Renew, "500ms").Should(gomega.Succeed())
		newFlowsThroughEach(ctx, fleet, tally)
		progress(tally, callersEach, callersEach)
		expectNoTransitions(ctx, fleet, begun)
		inForce(ctx, fleet, uint64(revision), all) // and nobody ever went back
		crowd.Disperse()
		expectWhole(fleet, tally, callersEach)
	}, ginkgo.SpecTimeout(specTimeout))
})

var _ = ginkgo.Describe("an upstream", func() {
	const (
		rounds      = 3
		callersEach = 20
	)
	load := caller.Load{Feed: true, LookupEvery: 200 * time.Millisecond}

	// stateOf recognizes that a balancer has learned of the agent's state.
	stateOf := func(pair *harness.Pair, state string) func(noted) bool {
		about := " " + pair.Agent.Address("control").String() + ","
		return func(e noted) bool {
			return strings.Contains(e.Detail, about) && strings.HasSuffix(e.Detail, ", state "+state) && e.Kind != control.EventSuspected
		}
	}
	// timed adds how long it took each balancer, in microseconds.
	timed := func(h *hdrhistogram.Histogram, begun time.Time, at map[string]time.Time) {
		for _, t := range at {
			_ = h.RecordValue(max(1, t.Sub(begun).Microseconds())) // bounded by the spec's own time
		}
	}
	report := func(what string, h *hdrhistogram.Histogram) {
		ginkgo.AddReportEntry("known", fmt.Sprintf("%s: %d times at a balancer, p50 %s, max %s", what, h.TotalCount(),
			micros(h.ValueAtPercentile(50)), micros(h.Max())), ginkgo.ReportEntryVisibilityAlways)
	}
	times := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxInForce.Microseconds(), 3) }

	ginkgo.It("that comes, leaves or crashes is known to every balancer", func(ctx ginkgo.SpecContext) {
		fleet, pairs := start(ctx, size{balancers: 5, pairs: rounds}, harness.DefaultValues(), results)
		expectTables(ctx, fleet, pairs) // so that each gets some of the flows
		tally := caller.NewTally()
		crowd := gather(ctx, fleet, tally, callersEach, load)
		came, left, crashed := times(), times(), times()
		add := func() *harness.Pair {
			begun := time.Now()
			pair, err := fleet.AddPair(ctx, results)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			timed(came, begun, everyBalancerNotes(ctx, fleet, begun, stateOf(pair, "ready")))
			return pair
		}
		var begun time.Time
		leavers := make(map[string]time.Time)
		for _, pair := range pairs {
			add()
			progress(tally, 4*callersEach, callersEach)
			gomega.Expect(runs(fleet, tally, pair)).NotTo(gomega.BeZero(), "no work would be missed there")
			begun = time.Now()
			pair.Agent.Signal(syscall.SIGTERM)
			timed(left, begun, everyBalancerNotes(ctx, fleet, begun, stateOf(pair, "draining")))
			leavers[pair.Upstream.Name] = begun
		}
		gomega.Eventually(func() bool { // the last one leaves for as long as the others
			progress(tally, callersEach, callersEach)
			return time.Since(begun) > 2*drainNotice
		}, patience).Should(gomega.BeTrue())
		crowd.Disperse()
		for name, begun := range leavers {
			expectNoNewWork(fleet, name, begun.Add(drainNotice))
		}
		expectWhole(fleet, tally, callersEach)

		// Flows of a host that is lost end with it, so nothing is open here.
		for range rounds {
			pair := add()
			begun := time.Now()
			pair.Agent.Kill()
			pair.Upstream.Kill()
			timed(crashed, begun, everyBalancerNotes(ctx, fleet, begun, stateOf(pair, "gone")))
		}
		newFlowsThroughEach(ctx, fleet, tally)
		report("new, from the start of its processes", came)
		report("leaving, from the signal", left)
		report("crashed, from its end", crashed)
		expectWhole(fleet, tally, callersEach)
	}, ginkgo.SpecTimeout(specTimeout))
})
