package gate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

// Tests of an agent's state right after its start.

// After a common power loss a search for a flow waits for every agent. An agent that has
// read the store since its start can give a definite answer; it need not wait until
// balancers have read its new entry.
func TestAgentThatHasReadTheStoreGivesDefiniteVerdicts(t *testing.T) {
	b := newBench(t)
	b.heartbeat("i-1", false)
	b.Expect(b.verdict(flow(1), 0)).To(Equal(inner.VerdictUnsure))
	b.last = b.gate.SetOwnPosition(b.now, 30)
	b.balancerSends(inner.AppendAsk(nil, inner.AskHead{}, []inner.Question{{Flow: flow(1)}}))
	answers, listing, err := inner.ParseAnswers(nil, b.last.Actions[0].Bytes)
	b.Expect(err).NotTo(HaveOccurred())
	b.Expect(answers[0].Verdict).To(Equal(inner.VerdictNone))
	b.Expect(listing).To(BeEquivalentTo(30), "a balancer detects by the position that its list may lack the flow's agent")
}

// The status contains the newest store position, whether the process read it itself or a
// balancer reported it later.
func TestStatusContainsTheNewestStorePosition(t *testing.T) {
	b := newBench(t)
	b.gate.SetOwnPosition(b.now, 30)
	b.balancerSends(inner.AppendPoll(nil, inner.Poll{Versions: inner.Versions{Listing: 20, Version: 4}}))
	b.Expect(b.gate.Status(b.now).Versions).To(Equal(inner.Versions{Version: 4, Listing: 30}))
	b.balancerSends(inner.AppendPoll(nil, inner.Poll{Versions: inner.Versions{Listing: 40}}))
	b.Expect(b.gate.Status(b.now).Versions.Listing).To(BeEquivalentTo(40))
}

// An upstream that was draining at a power loss never reports again. Its agent must remove
// the entry when it stops; if it is stopped before it can tell whether the upstream has
// ended, it waits.
func TestStoppingAgentRemovesEntryOfAnEndedUpstream(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(*bench)
		// ended and finished are expected at the stop, endedLater 4.2 s after it.
		ended, finished, endedLater bool
	}{
		{"no heartbeat for 6 s", func(b *bench) { b.now += 6 * time.Second }, true, true, true},
		{"the process has only just started", func(b *bench) { b.now += time.Second }, false, false, true},
		{"the upstream sent a heartbeat", func(b *bench) { b.heartbeat("i-1", false); b.now += 6 * time.Second }, false, true, false},
		{"the upstream sent a packet", func(b *bench) {
			b.upstreamSends(fromUpstream(flow(1), 100, 2, platform.FlagACK, 20))
			b.now += 6 * time.Second
		}, false, true, false},
		{"packets were returned and reset", func(b *bench) { // as by the host of an upstream that has ended
			for range 3 {
				b.upstreamSends(fromUpstream(flow(1), 100, 2, platform.FlagRST|platform.FlagACK, 0))
				b.upstreamSends(fromUpstream(flow(3), 100, 2, platform.FlagACK, 0))
				b.send(flow(2), 2, platform.FlagACK, 30)
				b.upstreamSends(fromCaller(flow(2), 2, 101, platform.FlagACK|platform.FlagBounced, 30))
				b.now += second
			}
		}, false, false, true},
		{"the process was paused", func(b *bench) {
			b.gate.Tick(b.now)
			b.now += 6 * time.Second
			b.gate.Tick(b.now)
		}, false, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t)
			c.prepare(b)
			b.last = b.gate.Stop(b.now)
			b.Expect(b.gate.Registration().Ended).To(Equal(c.ended))
			b.Expect(b.gate.Finished()).To(Equal(c.finished))
			for range 21 {
				b.now += 200 * time.Millisecond
				b.gate.Tick(b.now)
			}
			b.Expect(b.gate.Registration().Ended).To(Equal(c.endedLater))
			b.Expect(b.gate.Finished()).To(BeTrue())
		})
	}
}

// A heartbeat shows a stopping agent that its upstream is running: the entry stays for the
// next agent process.
func TestStoppingAgentKeepsEntryOfARunningUpstream(t *testing.T) {
	b := newBench(t)
	b.now += time.Second
	b.gate.Stop(b.now)
	b.Expect(b.gate.Finished()).To(BeFalse())
	b.beat = 7
	b.heartbeat("i-1", false)
	b.Expect(b.gate.Finished()).To(BeTrue())
	b.Expect(b.gate.Registration().Ended).To(BeFalse())
}

// A balancer that polls the agent for another service has an outdated entry, or one that
// another process put in place of the agent's. The agent must check its entry.
func TestPollForAnotherServiceReportsTheAgentAsUnlisted(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	b.balancerSends(inner.AppendPoll(nil, inner.Poll{Service: inner.ServiceID(service)}))
	b.Expect(b.gate.TakeUnlisted()).To(BeFalse())
	b.balancerSends(inner.AppendPoll(nil, inner.Poll{Service: inner.ServiceID("other")}))
	b.Expect(b.gate.TakeUnlisted()).To(BeTrue())
}
