package gate

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/inner"
)

// runChecks lets time pass in steps of the agent's ticks. It returns the balancers that the
// agent sent checks to, and how often it found that none had answered. poll reports whether
// a balancer answers with a poll.
func runChecks(t *testing.T, g *Gate, from, to time.Duration, poll func(netip.AddrPort) bool) (asked []netip.AddrPort, unanswered int) {
	const tick = 200 * time.Millisecond
	for now := from; now < to; now += tick {
		for _, a := range g.CheckListed(now, true).Actions {
			NewWithT(t).Expect(inner.KindOf(a.Bytes)).To(Equal(inner.KindCheck))
			asked = append(asked, a.To)
			if poll(a.To) {
				_, err := g.FromBalancer(now+time.Millisecond, a.To, inner.AppendPoll(nil, inner.Poll{Flags: inner.FlagStatus}))
				NewWithT(t).Expect(err).NotTo(HaveOccurred())
			}
		}
		if g.TakeNoBalancerAnswered() {
			unanswered++
		}
	}
	return asked, unanswered
}

var (
	balancerA = netip.MustParseAddrPort("10.0.0.1:7000")
	seedA     = netip.MustParseAddrPort("10.0.0.2:7000")
)

// usedAgent returns an agent that a balancer has polled at its start.
func usedAgent(t *testing.T) *Gate {
	g := New(Settings{Service: "s"})
	g.SetSeeds([]netip.AddrPort{seedA})
	_, err := g.FromBalancer(time.Millisecond, balancerA, inner.AppendPoll(nil, inner.Poll{Flags: inner.FlagStatus}))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return g
}

func TestIdleAgentChecksWithABalancerRatherThanTheStore(t *testing.T) {
	g := NewWithT(t)
	asked, unanswered := runChecks(t, usedAgent(t), 0, 21*time.Second, func(netip.AddrPort) bool { return true })
	g.Expect(unanswered).To(Equal(0))
	g.Expect(len(asked)).To(BeNumerically("~", 10, 1), "one check in two seconds")
	g.Expect(asked).To(HaveEach(balancerA))
}

// If neither its balancer nor a seed answers, because they are gone or cannot read the
// store, the agent falls back to the store after another 600 ms.
func TestIdleAgentFallsBackToTheStoreIfNoBalancerAnswers(t *testing.T) {
	g := NewWithT(t)
	asked, unanswered := runChecks(t, usedAgent(t), 0, 3200*time.Millisecond, func(netip.AddrPort) bool { return false })
	g.Expect(unanswered).To(Equal(1))
	g.Expect(asked).To(Equal([]netip.AddrPort{balancerA, seedA}))
}

func TestIdleAgentChecksWithASeedIfItsBalancerIsGone(t *testing.T) {
	g := NewWithT(t)
	_, unanswered := runChecks(t, usedAgent(t), 0, 10*time.Second, func(to netip.AddrPort) bool { return to == seedA })
	g.Expect(unanswered).To(Equal(0))
}

func TestPolledAgentSendsNoChecks(t *testing.T) {
	g := NewWithT(t)
	agent := usedAgent(t)
	for now := time.Second; now < 20*time.Second; now += time.Second {
		_, err := agent.FromBalancer(now, balancerA, inner.AppendPoll(nil, inner.Poll{}))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(agent.CheckListed(now+900*time.Millisecond, true).Actions).To(BeEmpty())
	}
}

// An agent that knows no balancer at all falls back to the store each time.
func TestAgentWithoutBalancersFallsBackToTheStore(t *testing.T) {
	g := NewWithT(t)
	_, unanswered := runChecks(t, New(Settings{Service: "s"}), 0, 9*time.Second, func(netip.AddrPort) bool { return false })
	g.Expect(unanswered).To(BeNumerically("~", 4, 1))
}

// An entry that is being written is not yet in the balancers' lists. If the agent sent a
// check then, the balancers would report it as missing, which would cost a needless read of
// the store.
func TestNoCheckWhileAWriteOfTheEntryIsPending(t *testing.T) {
	g := NewWithT(t)
	agent := usedAgent(t)
	for now := time.Duration(0); now < 5*time.Second; now += 200 * time.Millisecond {
		g.Expect(agent.CheckListed(now, false).Actions).To(BeEmpty())
	}
	asked, _ := runChecks(t, agent, 5*time.Second, 6500*time.Millisecond, func(netip.AddrPort) bool { return true })
	g.Expect(asked).To(BeEmpty())
}
