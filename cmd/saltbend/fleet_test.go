package main

import (
	"bytes"
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/control"
	"github.com/saltbend/saltbend/internal/event"
	"github.com/saltbend/saltbend/internal/exit"
	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/peer"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/internal/timeline"
)

const (
	eventuallyTimeout = 20 * time.Second
	fleetSecret       = "1:000102030405060708090a0b0c0d0e0f"
	otherSecret       = "1:f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff"
)

// startBalancer runs the control part of a balancer, without forwarding.
func startBalancer(t *testing.T, join ...netip.AddrPort) *peer.Peer {
	t.Helper()
	return startBalancerWithStore(t, nil, join...)
}

// startBalancerWithStore runs the control part of a balancer that has access to the store
// and may therefore become a seed.
func startBalancerWithStore(t *testing.T, s store.Store, join ...netip.AddrPort) *peer.Peer {
	t.Helper()
	p, _ := startNode(t, s, join...)
	return p
}

// startNode is startBalancerWithStore for tests that also need the control node.
func startNode(t *testing.T, s store.Store, join ...netip.AddrPort) (*peer.Peer, *control.Node) {
	t.Helper()
	g := NewWithT(t)
	ring, err := keyring.Parse(fleetSecret)
	g.Expect(err).NotTo(HaveOccurred())
	p, err := peer.Listen(netip.MustParseAddrPort("127.0.0.1:0"), ring)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { p.Close() })
	events := event.NewRing(event.DefaultRingSize, time.Now)
	g.Expect(timeline.Register(p, events)).To(Succeed())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	self := member.Member{
		Control: p.Addr(), Role: member.RoleBalancer, DataCentre: "cardiff-1",
		Incarnation: uint64(time.Now().UnixNano()), State: member.StateReady,
	}
	node, err := control.Start(ctx, control.Options{
		Self: self, Store: s, Join: join, Peer: p, Events: events, Logger: slog.New(slog.DiscardHandler),
	})
	g.Expect(err).NotTo(HaveOccurred())
	events.Add("test", "Balancer started.", p.Addr().String())
	return p, node
}

// runTool runs the tool and returns its exit code, standard output and standard error.
func runTool(args ...string) (code int, out, errs string) {
	var stdout, stderr bytes.Buffer
	code = run(context.Background(), args, streams{out: &stdout, err: &stderr})
	return code, stdout.String(), stderr.String()
}

// parseJSONLines decodes a sequence of JSON values.
func parseJSONLines[T any](g *WithT, text string) (out []T) {
	dec := json.NewDecoder(strings.NewReader(text))
	for dec.More() {
		var v T
		g.Expect(dec.Decode(&v)).To(Succeed())
		out = append(out, v)
	}
	return out
}

func TestStatusAndTimelineWithAndWithoutAnUnreachableBalancer(t *testing.T) {
	g := NewWithT(t)
	t.Setenv("SALTBEND_SECRETS", fleetSecret)
	a := startBalancer(t)
	b := startBalancer(t, a.Addr())
	t.Setenv("SALTBEND_PEERS", "127.0.0.1:1,"+a.Addr().String())

	controls := func() (out []netip.AddrPort) {
		code, text, _ := runTool("status", "--output", "json")
		g.Expect(code).To(Equal(exit.OK))
		for _, p := range parseJSONLines[statusView](g, text)[0].Processes {
			out = append(out, p.Control)
		}
		return out
	}
	g.Eventually(controls, eventuallyTimeout).Should(ConsistOf(a.Addr(), b.Addr()))
	code, text, _ := runTool("status")
	g.Expect(code).To(Equal(exit.OK))
	g.Expect(text).To(ContainSubstring("No process that answered knows a configuration."))

	code, text, errs := runTool("timeline", "--part", "test", "--output", "json")
	g.Expect(code).To(Equal(exit.OK), errs)
	entries := parseJSONLines[entryView](g, text)
	g.Expect(entries).To(HaveLen(2))
	// The order isn't checked: on a busy machine the difference of the times may be
	// smaller than their errors.
	g.Expect([]string{entries[0].Process, entries[1].Process}).To(ConsistOf(a.Addr().String(), b.Addr().String()))
	g.Expect(entries[0].SkewNS).To(BeNumerically(">", 0))

	g.Expect(b.Close()).To(Succeed())
	code, text, errs = runTool("timeline", "--part", "test")
	g.Expect(code).To(Equal(exit.Failure))
	g.Expect(text).To(ContainSubstring("Balancer started."))
	g.Expect(errs).To(ContainSubstring("No answer from " + b.Addr().String()))
	code, text, _ = runTool("status")
	g.Expect(code).To(Equal(exit.Failure))
	g.Expect(text).To(ContainSubstring("no answer: peer: unreachable"))
}

func TestFleetCommandsReportInvalidFlagsAndFailedCalls(t *testing.T) {
	a := startBalancer(t)
	peerFlag := "--peer=" + a.Addr().String()
	cases := []struct {
		name       string
		secrets    string
		args       []string
		code       int
		wantErrors []string
	}{
		{"all findings together", "", []string{"--peer=host:1", "--peer-timeout=0s"}, exit.Usage, []string{"SALTBEND_PEERS", "SALTBEND_PEER_TIMEOUT", "SALTBEND_SECRETS"}},
		{"no peer", fleetSecret, nil, exit.Usage, []string{"no process is given"}},
		{"nobody there", fleetSecret, []string{"--peer=127.0.0.1:1"}, exit.Unavailable, []string{"unreachable"}},
		{"another secret", otherSecret, []string{peerFlag}, exit.Unavailable, []string{peer.ErrUnauthenticated.Error()}},
	}
	for _, c := range cases {
		for _, command := range []string{"status", "timeline"} {
			t.Run(command+" "+c.name, func(t *testing.T) {
				g := NewWithT(t)
				t.Setenv("SALTBEND_SECRETS", c.secrets)
				code, out, errs := runTool(append([]string{command}, c.args...)...)
				g.Expect(code).To(Equal(c.code), errs)
				g.Expect(out).To(BeEmpty())
				for _, text := range c.wantErrors {
					g.Expect(errs).To(ContainSubstring(text))
				}
			})
		}
	}
}

func TestTimelineFollowPrintsNewEventsUntilInterrupted(t *testing.T) {
	g := NewWithT(t)
	t.Setenv("SALTBEND_SECRETS", fleetSecret)
	a := startBalancer(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	lines := make(lineWriter, 64)
	code := make(chan int, 1)
	go func() {
		code <- run(ctx, []string{"timeline", "--follow", "--interval=10ms", "--output=json", "--peer", a.Addr().String()}, streams{out: lines, err: &bytes.Buffer{}})
	}()
	g.Eventually(lines, eventuallyTimeout).Should(Receive(ContainSubstring("Balancer started.")))
	b := startBalancer(t, a.Addr())
	g.Eventually(lines, eventuallyTimeout).Should(Receive(SatisfyAll(
		ContainSubstring("Balancer started."), ContainSubstring(b.Addr().String()))))
	cancel()
	g.Eventually(code, eventuallyTimeout).Should(Receive(Equal(exit.OK)))
}

// lineWriter sends each write to the channel.
type lineWriter chan string

// Write implements io.Writer.
func (w lineWriter) Write(b []byte) (int, error) {
	w <- string(b)
	return len(b), nil
}
