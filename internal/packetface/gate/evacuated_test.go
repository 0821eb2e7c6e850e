package gate_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/evacuation"
	"github.com/saltbend/saltbend/internal/packetface/gate"
	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/store"
	"github.com/saltbend/saltbend/platform"
)

func evacuated(asOf store.Position) evacuation.Word {
	return evacuation.Word{Evacuated: true, AsOf: asOf}
}

func (b *bench) poll(word evacuation.Word) {
	b.balancerSends(inner.AppendPoll(nil, inner.Poll{Evacuation: word}))
}

// toldStatus returns the status that a balancer was told last.
func (b *bench) toldStatus() inner.Status {
	var told inner.Status
	for _, a := range b.last.Actions {
		if s, err := inner.ParseStatus(a.Bytes); a.Target == gate.ToBalancer && err == nil {
			told = s
		}
	}
	return told
}

// A balancer that knows less, even one that has nobody else left, is stopped.
func TestAnEvacuatedDataCentreTakesNoNewFlow(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	b.poll(evacuated(20))
	b.opening(flow(1), inner.Open{Flags: inner.FlagMust, Evacuation: evacuation.Word{AsOf: 10}})
	b.Expect(b.toUpstream()).To(BeZero())
	b.Expect(b.returned()).To(Equal(inner.ReasonEvacuated))
	b.Expect(b.toldStatus().Evacuation).To(Equal(evacuated(20)), "the balancer learns why")
}

// Flows that the upstream has taken go on, and so do copies of their openings.
func TestAnEvacuationLeavesOpenFlows(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	b.open(flow(1))
	b.opening(flow(2), inner.Open{})
	b.poll(evacuated(20))
	b.send(flow(1), 2, platform.FlagACK, 30)
	b.Expect(b.toUpstream()).To(Equal(1))
	b.opening(flow(1), inner.Open{})
	b.Expect(b.toUpstream()).To(Equal(1))
	b.opening(flow(2), inner.Open{})
	b.Expect(b.returned()).To(Equal(inner.ReasonEvacuated), "the upstream has not answered it")
}

func TestADataCentreThatIsTakenBackTakesFlows(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	b.poll(evacuated(20))
	b.opening(flow(1), inner.Open{Evacuation: evacuation.Word{AsOf: 30}})
	b.Expect(b.toUpstream()).To(Equal(1), "the one that opens it knows that it is over")
	b.poll(evacuated(20))
	b.opening(flow(2), inner.Open{Evacuation: evacuation.Word{AsOf: 30}})
	b.Expect(b.toUpstream()).To(Equal(1), "an older word brings nothing back")
}

// All balancers that use the agent hear of it at once.
func TestAnEvacuationIsAnnounced(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	b.poll(evacuation.Word{})
	b.poll(evacuated(20))
	b.Expect(b.toldStatus().Evacuation).To(Equal(evacuated(20)))
	var notes []gate.Note
	for _, n := range b.last.Notes {
		if n.Kind == gate.KindEvacuation {
			notes = append(notes, n)
		}
	}
	b.Expect(notes).To(HaveLen(1))
	b.Expect(notes[0].Detail).To(Equal("as of 0/20"))
}
