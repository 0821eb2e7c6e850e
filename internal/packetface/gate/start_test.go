package gate_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/platform"
)

// Tests of what an agent knows right after its start.

// After a common loss of power a search waits for every agent. One that has seen the
// store since its start need not wait until balancers have heard of it.
func TestAnAgentThatHasSeenTheStoreIsSure(t *testing.T) {
	b := newBench(t)
	b.heartbeat("i-1", false)
	b.Expect(b.verdict(flow(1), 0)).To(Equal(inner.VerdictUnsure))
	b.last = b.gate.SetSeen(b.now, 30)
	b.balancerSends(inner.AppendAsk(nil, inner.AskHead{}, []inner.Question{{Flow: flow(1)}}))
	answers, listing, err := inner.ParseAnswers(nil, b.last.Actions[0].Bytes)
	b.Expect(err).NotTo(HaveOccurred())
	b.Expect(answers[0].Verdict).To(Equal(inner.VerdictNone))
	b.Expect(listing).To(BeEquivalentTo(30), "a balancer with an older list may lack the owner")
}

// What a process has seen itself is in all that it tells, and so is what it hears of
// later.
func TestTheNewestRevisionIsTold(t *testing.T) {
	b := newBench(t)
	b.gate.SetSeen(b.now, 30)
	b.balancerSends(inner.AppendPoll(nil, inner.Poll{Known: inner.Known{Listing: 20, Version: 4}}))
	b.Expect(b.gate.Status(b.now).Known).To(Equal(inner.Known{Version: 4, Listing: 30}))
	b.balancerSends(inner.AppendPoll(nil, inner.Poll{Known: inner.Known{Listing: 40}}))
	b.Expect(b.gate.Status(b.now).Known.Listing).To(BeEquivalentTo(40))
}

// An upstream that was draining when the power went never reports again. Its agent
// ends the entry when it leaves; one that is told to stop before it can know waits.
func TestAnAgentThatStopsBesideASilentUpstreamLeaves(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(*bench)
		// ended and finished are wanted at the stop, later 4 s after it.
		ended, finished, endedLater bool
	}{
		{"nothing was heard for five heartbeats", func(b *bench) { b.now += 6 * time.Second }, true, true, true},
		{"the process is young", func(b *bench) { b.now += time.Second }, false, false, true},
		{"it reported", func(b *bench) { b.heartbeat("i-1", false); b.now += 6 * time.Second }, false, true, false},
		{"it sent a packet", func(b *bench) {
			b.upstreamSends(fromUpstream(flow(1), 100, 2, platform.FlagACK, 20))
			b.now += 6 * time.Second
		}, false, true, false},
		{"it returned and reset what it got", func(b *bench) { // as the host of one that has ended does
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

// A heartbeat tells an agent that stops that its upstream lives: the entry stays for
// the process that comes after it.
func TestAnAgentThatStopsLeavesALivingUpstreamsEntry(t *testing.T) {
	b := newBench(t)
	b.now += time.Second
	b.gate.Stop(b.now)
	b.Expect(b.gate.Finished()).To(BeFalse())
	b.beat = 7
	b.heartbeat("i-1", false)
	b.Expect(b.gate.Finished()).To(BeTrue())
	b.Expect(b.gate.Registration().Ended).To(BeFalse())
}

// A balancer that knows the agent by another service has that from an entry which is old,
// or which another writer wrote over the agent's: the agent looks.
func TestAnAgentThatIsKnownByAnotherServiceLooksForItsEntry(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	b.balancerSends(inner.AppendPoll(nil, inner.Poll{Service: inner.ServiceID(service)}))
	b.Expect(b.gate.TakeUnlisted()).To(BeFalse())
	b.balancerSends(inner.AppendPoll(nil, inner.Poll{Service: inner.ServiceID("other")}))
	b.Expect(b.gate.TakeUnlisted()).To(BeTrue())
}
