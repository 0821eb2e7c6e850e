// Package search keeps the state of a search for a flow's owner, the agent whose upstream
// holds the flow: which agents were asked, what each answer proves, which agents to ask or
// probe next, and whether any agent's answer is still outstanding. It does no I/O: ids of
// agents, verdicts and the time are its input; ids of agents to ask and to probe are its
// output. The code that uses the package determines which agents may hold the flow and how
// recent the list of agents has to be.
//
// After a simultaneous power loss every open flow of the fleet is dead, and its next
// packet starts a search among all agents. A balancer then processes some hundred answers
// for each flow, on hosts with a few hundredths of a core. So processing an answer takes
// a look-up among the agents asked and an update of a count, never a pass over all
// agents.
package search

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
)

// ID identifies an agent within its balancer. An id must not be given to another agent
// while a search contains it: call Forget first.
type ID uint32

// State tells what an agent has proved about whether its upstream holds the flow.
type State uint8

// States of an agent in a search.
const (
	// Waiting: the agent was asked and has proved nothing yet.
	Waiting State = iota + 1
	// CannotTell: the agent started after its upstream, so only a packet of the flow shows
	// whether the upstream holds the flow.
	CannotTell
	// Probed: the agent was sent a packet of the flow and has not returned it.
	Probed
	// NotHeld: the agent has proved that its upstream does not hold the flow.
	NotHeld
	states
)

// Intervals and time-outs of a search.
const (
	// stageTimeout is how long the search waits for the agents of one stage before it
	// asks those of the next; an answer from another data centre takes about 3 ms.
	stageTimeout = 8 * time.Millisecond
	// roundTime is the time after which agents without an answer are asked again; it
	// doubles with each round up to maxRoundTime.
	roundTime    = 100 * time.Millisecond
	maxRoundTime = 800 * time.Millisecond
	// callerTimeout is how long a search continues without a new packet: callers repeat a
	// packet after 1.6 s at most.
	callerTimeout = 2500 * time.Millisecond
)

// Stage is a group of agents that are asked together, the likely owners first.
type Stage uint8

// Stages in their order.
const (
	// Near: the agents of the route's services in the balancer's data centre.
	Near Stage = iota
	// Route: the other agents of the route's services.
	Route
	// All: all other agents that may hold the flow.
	All
	// End: no stage is left, as all agents were asked.
	End
)

// member is an agent that was asked.
type member struct {
	id    ID
	state State
}

// Search is the search for the owner of one flow. Times are counted from the start of the
// process by the monotonic clock.
type Search struct {
	// Stage is the group of agents that are being asked.
	Stage Stage
	// Rounds is how often agents without an answer were asked again.
	Rounds int
	began  time.Duration
	// lastPacket is when the caller's last packet arrived, stageAskedAt when the agents
	// of the stage were asked, roundBegan when the round began.
	lastPacket, stageAskedAt, roundBegan time.Duration
	// members are sorted by id; order has the ids in the order in which they were asked.
	members []member
	order   []ID
	counts  [states]int
}

// New returns a search that begins now.
func New(now time.Duration) *Search {
	return &Search{began: now, lastPacket: now, stageAskedAt: now, roundBegan: now}
}

// Age returns how long the search has lasted.
func (s *Search) Age(now time.Duration) time.Duration { return now - s.began }

// NotePacket records that another packet of the flow has arrived.
func (s *Search) NotePacket(now time.Duration) { s.lastPacket = now }

// CallerGone reports whether the caller has sent nothing for longer than callerTimeout.
func (s *Search) CallerGone(now time.Duration) bool { return now-s.lastPacket > callerTimeout }

// NoteStageAsked records that the agents of a stage were asked.
func (s *Search) NoteStageAsked(now time.Duration) { s.stageAskedAt = now }

// StageDue reports whether the agents of the stage are slow to answer, so that those of
// the next stage are to be asked. tickInterval is the time between the process's ticks:
// if its processor is overloaded, the answers of the stage wait unread, and asking more
// agents would only lengthen the queue.
func (s *Search) StageDue(now, tickInterval time.Duration) bool {
	return s.Stage < End && now-s.stageAskedAt > max(stageTimeout, 2*tickInterval)
}

// RoundDue reports whether agents without an answer are to be asked again.
func (s *Search) RoundDue(now time.Duration) bool {
	return now-s.roundBegan > min(roundTime<<min(s.Rounds, 8), maxRoundTime)
}

// BeginRound starts a round. Agents that were probed may be probed again, as the packet
// or its return may be lost, and the search goes through the stages again for agents that
// were listed meanwhile.
func (s *Search) BeginRound(now time.Duration) {
	s.roundBegan, s.Stage = now, Near
	s.Rounds++
	for i := range s.members {
		if s.members[i].state == Probed {
			s.set(&s.members[i], CannotTell)
		}
	}
}

// Ask adds an agent. It reports whether the agent is new, so that it has to be asked.
func (s *Search) Ask(id ID) bool {
	at, found := s.index(id)
	if found {
		return false
	}
	s.members = slices.Insert(s.members, at, member{id: id, state: Waiting})
	s.order = append(s.order, id)
	s.counts[Waiting]++
	return true
}

// RecordVerdict records an agent's verdict. It ignores VerdictHeld, after which the search
// is no longer needed. VerdictUnsure, the answer of an agent that may not know of the
// newest list of agents, proves nothing.
func (s *Search) RecordVerdict(id ID, verdict inner.Verdict) {
	m := s.find(id)
	if m == nil {
		return
	}
	switch verdict {
	case inner.VerdictNone:
		s.set(m, NotHeld)
	case inner.VerdictUnknown:
		if m.state == Waiting {
			s.set(m, CannotTell)
		}
	case inner.VerdictUnsure:
		if m.state != NotHeld {
			s.set(m, Waiting)
		}
	}
}

// Probe returns the agents that are to be sent a packet of the flow, at most limit, and
// records them as probed. Agents that were asked earlier, the likely owners, come first.
func (s *Search) Probe(limit int) []ID {
	var chosen []ID
	if s.counts[CannotTell] == 0 {
		return nil
	}
	for id := range s.InState(CannotTell) {
		if len(chosen) == limit {
			break
		}
		chosen = append(chosen, id)
	}
	for _, id := range chosen {
		s.set(s.find(id), Probed)
	}
	return chosen
}

// AskAgain records that an agent is asked once more. It reports whether the agent was
// asked before and has proved nothing.
func (s *Search) AskAgain(id ID) bool {
	m := s.find(id)
	if m == nil || m.state == NotHeld {
		return false
	}
	s.set(m, Waiting)
	return true
}

// WasAsked reports whether the agent was asked. If so, a packet that it returns is a
// probe, which may be late or duplicated.
func (s *Search) WasAsked(id ID) bool { return s.find(id) != nil }

// Forget removes an agent that has left, so that the search does not wait for it.
func (s *Search) Forget(id ID) {
	m := s.find(id)
	if m == nil {
		return
	}
	s.counts[m.state]--
	s.members = slices.DeleteFunc(s.members, func(m member) bool { return m.id == id })
	s.order = slices.DeleteFunc(s.order, func(o ID) bool { return o == id })
}

// Asked returns how many agents were asked.
func (s *Search) Asked() int { return len(s.members) }

// Count returns how many agents are in a state.
func (s *Search) Count(state State) int { return s.counts[state] }

// Proved reports whether the agent has proved that its upstream does not hold the flow.
func (s *Search) Proved(id ID) bool {
	m := s.find(id)
	return m != nil && m.state == NotHeld
}

// InState returns the agents in a state in the order in which they were asked.
func (s *Search) InState(state State) iter.Seq[ID] {
	return func(yield func(ID) bool) {
		for _, id := range s.order {
			if m := s.find(id); m != nil && m.state == state && !yield(id) {
				return
			}
		}
	}
}

func (s *Search) set(m *member, state State) {
	s.counts[m.state]--
	m.state = state
	s.counts[state]++
}

// find returns the member for an agent, nil if the agent was not asked.
func (s *Search) find(id ID) *member {
	at, found := s.index(id)
	if !found {
		return nil
	}
	return &s.members[at]
}

// index returns the position of an agent among the members, or where to insert it.
func (s *Search) index(id ID) (at int, found bool) {
	return slices.BinarySearchFunc(s.members, id, func(m member, id ID) int { return cmp.Compare(m.id, id) })
}
