package integration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/test/harness"
	"github.com/saltbend/saltbend/test/packetfleet"
	"github.com/saltbend/saltbend/test/packetplatform"
)

var (
	packetFace  = netip.MustParseAddrPort("198.18.0.1:443")
	packetOther = netip.MustParseAddrPort("198.18.0.2:443")
)

// packetFleet is a fleet of the packet face with one caller.
type packetFleet struct {
	*packetfleet.Fleet
	caller *packetplatform.Caller
	// opened counts the calls of openFlows, which makes the text of each request unique.
	opened int
}

// startPackets starts balancers and, for each of the services, an agent with its upstream.
// packetFace is routed to the service results, packetOther to exams.
func startPackets(ctx context.Context, balancers int, services ...string) *packetFleet {
	fleet, err := packetfleet.New(GinkgoT().TempDir(), bin+"/saltbendd")
	Expect(err).NotTo(HaveOccurred())
	f := &packetFleet{Fleet: fleet}
	DeferCleanup(f.close)
	f.Configure(1, packetplatform.Route{Face: packetFace, Service: results, Safe: true},
		packetplatform.Route{Face: packetOther, Service: exams, Safe: true})
	for i, service := range services {
		f.addAgent(ctx, packetfleet.Name("agent", i), service)
	}
	for i := range balancers {
		f.addBalancer(ctx, packetfleet.Name("balancer", i))
	}
	f.caller, err = f.Caller()
	Expect(err).NotTo(HaveOccurred())
	f.useReadyBalancers()
	return f
}

func (f *packetFleet) addAgent(ctx context.Context, name, service string) *packetfleet.Node {
	n, err := f.AddAgent(ctx, name, service)
	Expect(err).NotTo(HaveOccurred())
	return n
}

func (f *packetFleet) addBalancer(ctx context.Context, name string) *packetfleet.Node {
	n, err := f.AddBalancer(ctx, name)
	Expect(err).NotTo(HaveOccurred())
	return n
}

// run starts the node's process and waits until it is ready.
func (f *packetFleet) run(ctx context.Context, n *packetfleet.Node) {
	Expect(f.Start(ctx, n)).To(Succeed())
}

// startUpstream starts a new upstream for the node.
func startUpstream(n *packetfleet.Node) { Expect(n.StartUpstream()).To(Succeed()) }

// useReadyBalancers makes the caller distribute its packets over all ready balancers.
func (f *packetFleet) useReadyBalancers() { f.caller.Use(f.Ready()...) }

func (f *packetFleet) close() {
	if f.caller != nil {
		f.caller.Close()
	}
	for _, n := range f.Nodes() {
		if CurrentSpecReport().Failed() && n.Process != nil {
			AddReportEntry(n.Host.Name, n.Process.LogTail())
		}
	}
	f.Close()
}

// openFlows opens flows and sends a first request on each.
func (f *packetFleet) openFlows(n int) []*packetplatform.Flow {
	flows := make([]*packetplatform.Flow, n)
	for i := range flows {
		var err error
		flows[i], err = f.caller.Open(packetFace)
		Expect(err).NotTo(HaveOccurred())
	}
	f.opened++
	f.requestOnAll(flows, fmt.Sprintf("first-%d", f.opened))
	return flows
}

// requestOnAll sends a request on each flow concurrently and checks that each receives the
// answer to its own request.
func (f *packetFleet) requestOnAll(flows []*packetplatform.Flow, text string) {
	var wait sync.WaitGroup
	errs := make(chan error, len(flows))
	for i, flow := range flows {
		wait.Go(func() {
			request := fmt.Sprintf("%s-%d", text, i)
			answer, err := flow.Request(request)
			if err == nil && !strings.HasSuffix(answer, " to "+request) {
				err = fmt.Errorf("request %s received the answer %q", request, answer)
			}
			errs <- err
		})
	}
	wait.Wait()
	close(errs)
	for err := range errs {
		Expect(err).NotTo(HaveOccurred())
	}
}

// expectRunOnce checks that no request has run more than once.
func (f *packetFleet) expectRunOnce() {
	runs := map[string]int{}
	for _, a := range f.Agents {
		for id, n := range a.Upstream.Runs() {
			runs[id] += n
		}
	}
	for id, n := range runs {
		Expect(n).To(Equal(1), id)
	}
}

// logOf returns a function that reads the log of a node's process, for polling.
func logOf(n *packetfleet.Node) func() string {
	return func() string {
		text, err := n.Log()
		Expect(err).NotTo(HaveOccurred())
		return text
	}
}

var _ = Describe("the packet face", func() {
	It("keeps flows while any packet reaches any balancer", func(ctx SpecContext) {
		f := startPackets(ctx, 3, results, results, results)
		flows := f.openFlows(30)
		f.requestOnAll(flows, "second")
		f.expectRunOnce()
	}, SpecTimeout(specTimeout))

	It("keeps flows while all balancers are replaced", func(ctx SpecContext) {
		f := startPackets(ctx, 2, results, results)
		flows := f.openFlows(20)
		for _, b := range f.Balancers {
			b.Process.Kill()
		}
		f.addBalancer(ctx, "balancer-new")
		f.useReadyBalancers()
		f.requestOnAll(flows, "second")
		f.expectRunOnce()
	}, SpecTimeout(specTimeout))

	It("keeps flows while agents restart beside living upstreams", func(ctx SpecContext) {
		f := startPackets(ctx, 2, results, results)
		flows := f.openFlows(20)
		for _, a := range f.Agents {
			a.Process.Kill()
			f.run(ctx, a)
		}
		f.requestOnAll(flows, "second")
		f.Balancers[0].Process.Kill()
		f.run(ctx, f.Balancers[0])
		f.useReadyBalancers()
		f.requestOnAll(flows, "third")
		f.expectRunOnce()
	}, SpecTimeout(specTimeout))

	It("resets flows whose upstream has been replaced, at once", func(ctx SpecContext) {
		f := startPackets(ctx, 2, results)
		flows := f.openFlows(10)
		a := f.Agents[0]
		before := a.Upstream.ID
		a.Upstream.Kill()
		startUpstream(a)
		for _, flow := range flows {
			_, err := flow.Request("second")
			Expect(err).To(MatchError(packetplatform.ErrReset))
		}
		Expect(logOf(a)()).To(ContainSubstring(before))
		again, err := f.caller.Open(packetFace)
		Expect(err).NotTo(HaveOccurred())
		_, err = again.Request("third")
		Expect(err).NotTo(HaveOccurred())
	}, SpecTimeout(specTimeout))

	It("sends nothing to another service, also at a reused address", func(ctx SpecContext) {
		f := startPackets(ctx, 2, results, exams)
		f.openFlows(5)
		other, err := f.caller.Open(packetOther)
		Expect(err).NotTo(HaveOccurred())
		_, err = other.Request("exam")
		Expect(err).NotTo(HaveOccurred())
		Expect(f.Agents[0].Upstream.Runs()).NotTo(HaveKey("exam"))
		Expect(f.Agents[1].Upstream.Runs()).To(HaveLen(1))

		// The address of the only agent of results is reused for exams. The balancers
		// can't learn of it, since the store is unavailable.
		f.Store.Fail(http.StatusServiceUnavailable)
		a := f.Agents[0]
		a.Process.Kill()
		a.Upstream.Kill()
		text, err := os.ReadFile(a.Host.Settings)
		Expect(err).NotTo(HaveOccurred())
		changed := strings.Replace(string(text), `"service":"results"`, `"service":"exams"`, 1)
		Expect(os.WriteFile(a.Host.Settings, []byte(changed), 0o600)).To(Succeed())
		a.Host.Service = exams
		startUpstream(a)
		started := make(chan struct{})
		go func() {
			defer GinkgoRecover()
			defer close(started)
			f.run(ctx, a) // it becomes ready when the store is available again
		}()
		Eventually(func() error {
			flow, err := f.caller.Open(packetFace)
			if err == nil {
				_, err = flow.Request("results")
			}
			return err
		}, waitTimeout).Should(MatchError(packetplatform.ErrReset))
		Expect(a.Upstream.Runs()).To(BeEmpty())
		f.Store.Fail(0)
		Eventually(started, waitTimeout).Should(BeClosed())
	}, SpecTimeout(specTimeout))

	It("gives a draining upstream no new flow and keeps its old ones", func(ctx SpecContext) {
		f := startPackets(ctx, 2, results, results)
		flows := f.openFlows(10)
		f.Agents[0].Upstream.Drain()
		Eventually(logOf(f.Agents[0]), waitTimeout).Should(ContainSubstring("draining " + f.Agents[0].Upstream.ID))
		ran := len(f.Agents[0].Upstream.Runs())
		f.requestOnAll(f.openFlows(10), "new")
		Expect(f.Agents[0].Upstream.Runs()).To(HaveLen(ran))
		f.requestOnAll(flows, "second")
		f.expectRunOnce()
	}, SpecTimeout(specTimeout))

	It("serves on through an outage of the store in which all leases end", func(ctx SpecContext) {
		f := startPackets(ctx, 2, results, results)
		flows := f.openFlows(10)
		f.Store.Fail(http.StatusServiceUnavailable)
		f.Store.Lapse()
		f.requestOnAll(flows, "away")
		f.openFlows(10)
		f.Store.Fail(0)
		Eventually(func() []string { return f.Store.Keys("saltbend/agents/") }, waitTimeout).Should(HaveLen(2))
		f.requestOnAll(flows, "back")
	}, SpecTimeout(specTimeout))

	It("starts balancers while the store is away", func(ctx SpecContext) {
		f := startPackets(ctx, 2, results, results)
		flows := f.openFlows(10)
		f.Store.Fail(http.StatusServiceUnavailable)
		f.Balancers[1].Process.Kill()
		f.addBalancer(ctx, "balancer-new") // returns once it is ready
		f.Balancers[0].Process.Kill()
		f.useReadyBalancers()
		f.requestOnAll(flows, "away")
		f.openFlows(10)
		f.Configure(2, packetplatform.Route{Face: packetFace, Service: results, Safe: true})
		f.Store.Fail(0)
		Eventually(logOf(f.Balancers[2]), waitTimeout).Should(ContainSubstring("Configuration adopted."))
		f.expectRunOnce()
	}, SpecTimeout(specTimeout))

	It("puts a configuration in force and drops routes", func(ctx SpecContext) {
		f := startPackets(ctx, 2, results, exams)
		_, err := f.caller.Open(packetOther)
		Expect(err).NotTo(HaveOccurred())
		f.Configure(7, packetplatform.Route{Face: packetFace, Service: results, Safe: true})
		Eventually(func() error {
			_, err := f.caller.Open(packetOther)
			return err
		}, waitTimeout).Should(MatchError(packetplatform.ErrReset))
		f.Configure(3, packetplatform.Route{Face: packetOther, Service: exams, Safe: true}) // an older version
		Eventually(logOf(f.Balancers[0]), waitTimeout).Should(ContainSubstring("Configuration is not newer."))
		f.openFlows(3)
	}, SpecTimeout(specTimeout))

	It("goes unready first and carries on when it is stopped", func(ctx SpecContext) {
		f := startPackets(ctx, 2, results)
		flows := f.openFlows(5)
		stopped := f.Balancers[0]
		stopped.Process.Signal(syscall.SIGTERM)
		Eventually(stopped.Host.Ready, waitTimeout).Should(BeFalse())
		f.caller.Use(stopped.Host.Packets()) // the fabric has not noticed yet
		f.requestOnAll(flows, "late")
		f.useReadyBalancers()
		f.requestOnAll(flows, "second")
		Eventually(stopped.Process.Alive, waitTimeout).Should(BeFalse())
	}, SpecTimeout(specTimeout))

	It("reads changed settings on SIGHUP and tells what they are", func(ctx SpecContext) {
		f := startPackets(ctx, 1, results)
		b := f.Balancers[0]
		b.Process.Signal(syscall.SIGHUP)
		Eventually(logOf(b), waitTimeout).Should(ContainSubstring("nothing differs"))
		Expect(os.WriteFile(b.Host.Settings, []byte("{"), 0o600)).To(Succeed())
		b.Process.Signal(syscall.SIGHUP)
		Eventually(logOf(b), waitTimeout).Should(ContainSubstring("Settings not read again."))
		f.openFlows(2)
	}, SpecTimeout(specTimeout))

	It("shows operators what balancers believe", func(ctx SpecContext) {
		f := startPackets(ctx, 2, results, exams)
		f.openFlows(3)
		var views []map[string]any
		status := func(args ...string) (string, int) {
			args = append([]string{"packet-status", f.Balancers[1].Host.Control().String()}, args...)
			cmd := exec.CommandContext(ctx, bin+"/saltbend", args...)
			out, err := cmd.Output()
			if cmd.ProcessState == nil {
				Expect(err).NotTo(HaveOccurred())
			}
			return string(out), cmd.ProcessState.ExitCode()
		}
		text, code := status("--output", "json")
		Expect(code).To(Equal(0))
		Expect(json.Unmarshal([]byte(text), &views)).To(Succeed())
		Expect(views).To(HaveLen(2), "the command must also query the seed that the first balancer names")
		Expect(views[0]).To(HaveKeyWithValue("host", "balancer-1"))
		Expect(views[0]).To(HaveKeyWithValue("version", BeEquivalentTo(1)))
		Expect(views[0]["agents"]).To(HaveLen(2))
		text, _ = status("--agents")
		Expect(containsLine(text, "balancer-0", f.Agents[0].Host.Packets().String(), results, "ready")).To(BeTrue(), text)
		f.Balancers[0].Process.Kill()
		text, code = status()
		Expect(code).To(Equal(1))
		Expect(text).To(ContainSubstring("connection refused"))
	}, SpecTimeout(specTimeout))

	It("serves metrics at a fixed port, too", func(ctx SpecContext) {
		f := startPackets(ctx, 0, results)
		host, err := f.Host("balancer-metrics", "hall", "")
		Expect(err).NotTo(HaveOccurred())
		port := f.FreePort()
		process, err := harness.Start(ctx, GinkgoT().TempDir(), host.Name, bin+"/saltbendd", nil,
			"packet-balancer", "--settings", host.Settings, "--metrics-port", strconv.Itoa(port))
		Expect(err).NotTo(HaveOccurred())
		defer process.Kill()
		resp, err := http.Get(fmt.Sprintf("http://%s:%d/metrics", host.IP, port))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(text)).To(ContainSubstring("saltbend_packet_config_version 1"))
	}, SpecTimeout(specTimeout))

	It("takes over settings that change without a signal", func(ctx SpecContext) {
		f := startPackets(ctx, 1, results, exams)
		before := f.Store.Address()
		f.Store.Move()
		for _, n := range f.Nodes() {
			text, err := os.ReadFile(n.Host.Settings)
			Expect(err).NotTo(HaveOccurred())
			changed := strings.Replace(string(text), before, f.Store.Address(), 1)
			Expect(os.WriteFile(n.Host.Settings, []byte(changed), 0o600)).To(Succeed())
		}
		f.Configure(2, packetplatform.Route{Face: packetFace, Service: results, Safe: true})
		Eventually(func() error {
			_, err := f.caller.Open(packetOther)
			return err
		}, waitTimeout).Should(MatchError(packetplatform.ErrReset))
		Eventually(logOf(f.Agents[0]), waitTimeout).Should(ContainSubstring("Settings changed."))
	}, SpecTimeout(specTimeout))

	It("lets requests wait for a slot, and runs each once", func(ctx SpecContext) {
		f := startPackets(ctx, 2, results)
		flows := f.openFlows(4 * packetplatform.Slots)
		f.Agents[0].Upstream.SetWork(50 * time.Millisecond)
		f.requestOnAll(flows, "second")
		f.expectRunOnce()
	}, SpecTimeout(specTimeout))
})
