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

func evacuated(asOf store.Position) evacuation.State {
	return evacuation.State{Evacuated: true, AsOf: asOf}
}

func (b *bench) poll(state evacuation.State) {
	b.balancerSends(inner.AppendPoll(nil, inner.Poll{Evacuation: state}))
}

// lastStatus returns the status that was last sent to a balancer.
func (b *bench) lastStatus() inner.Status {
	var status inner.Status
	for _, a := range b.last.Actions {
		if s, err := inner.ParseStatus(a.Bytes); a.Target == gate.ToBalancer && err == nil {
			status = s
		}
	}
	return status
}

// New flows of a balancer that does not know of the evacuation are refused, even if it has
// no other upstream left.
func TestEvacuatedDataCentreRefusesNewFlows(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	b.poll(evacuated(20))
	b.opening(flow(1), inner.Open{Flags: inner.FlagLastChoice, Evacuation: evacuation.State{AsOf: 10}})
	b.Expect(b.toUpstream()).To(BeZero())
	b.Expect(b.returned()).To(Equal(inner.ReasonEvacuated))
	b.Expect(b.lastStatus().Evacuation).To(Equal(evacuated(20)), "the balancer receives the evacuation")
}

// Flows that the upstream has accepted continue, and retransmissions of their opening
// packets are forwarded.
func TestOpenFlowsContinueDuringEvacuation(t *testing.T) {
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
	b.Expect(b.returned()).To(Equal(inner.ReasonEvacuated), "the upstream has not accepted the flow yet")
}

func TestDataCentreTakenBackAcceptsFlows(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	b.poll(evacuated(20))
	b.opening(flow(1), inner.Open{Evacuation: evacuation.State{AsOf: 30}})
	b.Expect(b.toUpstream()).To(Equal(1), "the opening packet carries the withdrawal")
	b.poll(evacuated(20))
	b.opening(flow(2), inner.Open{Evacuation: evacuation.State{AsOf: 30}})
	b.Expect(b.toUpstream()).To(Equal(1), "an older evacuation state is ignored")
}

// The agent sends an evacuation to all balancers that use it at once, and records a note.
func TestEvacuationIsSentToBalancers(t *testing.T) {
	b := newBench(t)
	b.begin("i-1")
	b.poll(evacuation.State{})
	b.poll(evacuated(20))
	b.Expect(b.lastStatus().Evacuation).To(Equal(evacuated(20)))
	var notes []gate.Note
	for _, n := range b.last.Notes {
		if n.Kind == gate.KindEvacuation {
			notes = append(notes, n)
		}
	}
	b.Expect(notes).To(HaveLen(1))
	b.Expect(notes[0].Detail).To(Equal("as of 0/20"))
}
