package registry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/registry"
	"github.com/saltbend/saltbend/internal/packetface/steer"
)

// The observed warm-up time of an upstream must survive a restart of the agent. It is
// needed after a simultaneous loss of power, when no other process has it any more.
func TestInheritedWarmupIsKeptInNewEntry(t *testing.T) {
	g := NewWithT(t)
	fake := newStore(t)
	f := newFollower(t, fake, 1)
	warmups := make(chan time.Duration, 100)
	f.Changed = func(l *registry.Listing) {
		for _, a := range l.Agents() {
			warmups <- a.Warmup
		}
	}
	f.start(t)
	first, entry := startAgent(t, fake, "10.0.0.1:1")
	entry.WarmupMS = 2000
	first.SetEntry(entry)
	g.Eventually(warmups, waitTimeout).Should(Receive(Equal(2 * time.Second)))

	second, later := startInheritingAgent(t, fake, "10.0.0.1:1")
	later.Slots = 9 // a change, so that the entry is written again
	second.SetEntry(later)
	g.Eventually(func() []steer.Agent { return storedAgents(t, fake) }, waitTimeout).Should(ConsistOf(And(
		HaveField("Slots", 9), HaveField("Warmup", 2*time.Second))))
}
