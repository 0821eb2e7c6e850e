package gate

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/inner"
)

// checks returns the balancers that an agent asks in a time, in steps of its ticks; poll
// tells whether one answers.
func checks(t *testing.T, g *Gate, from, to time.Duration, poll func(netip.AddrPort) bool) (asked []netip.AddrPort, alone int) {
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
		if g.TakeAlone() {
			alone++
		}
	}
	return asked, alone
}

var (
	balancerA = netip.MustParseAddrPort("10.0.0.1:7000")
	seedA     = netip.MustParseAddrPort("10.0.0.2:7000")
)

// called returns an agent that a balancer has called at its start.
func called(t *testing.T) *Gate {
	g := New(Settings{Service: "s"})
	g.SetSeeds([]netip.AddrPort{seedA})
	_, err := g.FromBalancer(time.Millisecond, balancerA, inner.AppendPoll(nil, inner.Poll{Flags: inner.FlagStatus}))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return g
}

func TestAnIdleAgentAsksABalancerAndNotTheStore(t *testing.T) {
	g := NewWithT(t)
	asked, alone := checks(t, called(t), 0, 21*time.Second, func(netip.AddrPort) bool { return true })
	g.Expect(alone).To(Equal(0))
	g.Expect(len(asked)).To(BeNumerically("~", 10, 1), "one in two seconds")
	g.Expect(asked).To(HaveEach(balancerA))
}

// One that does not answer, as it is gone or has not heard the store, keeps the agent
// from asking the store for 600 ms.
func TestAnIdleAgentAsksTheStoreWhenNoBalancerAnswers(t *testing.T) {
	g := NewWithT(t)
	asked, alone := checks(t, called(t), 0, 3200*time.Millisecond, func(netip.AddrPort) bool { return false })
	g.Expect(alone).To(Equal(1))
	g.Expect(asked).To(Equal([]netip.AddrPort{balancerA, seedA}))
}

func TestAnIdleAgentAsksASeedWhenItsBalancerIsGone(t *testing.T) {
	g := NewWithT(t)
	_, alone := checks(t, called(t), 0, 10*time.Second, func(to netip.AddrPort) bool { return to == seedA })
	g.Expect(alone).To(Equal(0))
}

func TestAnAgentThatIsCalledAsksNobody(t *testing.T) {
	g := NewWithT(t)
	agent := called(t)
	for now := time.Second; now < 20*time.Second; now += time.Second {
		_, err := agent.FromBalancer(now, balancerA, inner.AppendPoll(nil, inner.Poll{}))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(agent.CheckListed(now+900*time.Millisecond, true).Actions).To(BeEmpty())
	}
}

// An agent that knows no balancer at all asks the store.
func TestAnAgentWithoutBalancersIsAlone(t *testing.T) {
	g := NewWithT(t)
	_, alone := checks(t, New(Settings{Service: "s"}), 0, 9*time.Second, func(netip.AddrPort) bool { return false })
	g.Expect(alone).To(BeNumerically("~", 4, 1))
}

// An entry that is on its way is not in the lists of balancers: their word that it is
// missing would cost a reading.
func TestAnAgentWaitsForItsEntryBeforeItAsks(t *testing.T) {
	g := NewWithT(t)
	agent := called(t)
	for now := time.Duration(0); now < 5*time.Second; now += 200 * time.Millisecond {
		g.Expect(agent.CheckListed(now, false).Actions).To(BeEmpty())
	}
	asked, _ := checks(t, agent, 5*time.Second, 6500*time.Millisecond, func(netip.AddrPort) bool { return true })
	g.Expect(asked).To(BeEmpty())
}
