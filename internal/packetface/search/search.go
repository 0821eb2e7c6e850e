// Package search keeps the account of a search for the agent whose upstream holds
// a flow: who was asked, what each answer proves, whom to ask or probe next, and
// when nothing is left in doubt. It is pure: identities of agents, verdicts and the
// time come in; identities to ask and to probe go out. Who may hold the flow, and
// how new a list of agents has to be, its caller knows.
//
// The load it is made for: after a common loss of power every open flow of the
// fleet is dead, and its next packet begins a search among all agents. A balancer
// then takes in some hundred answers a flow, on hosts with a few hundredths of a
// core. So an answer costs a look-up among the agents asked and a count, never a
// walk over them.
package search

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
)

// ID is an agent's number in its balancer's memory. A number is not given to
// another agent while a search knows it: Forget it first.
type ID uint32

// State is how far the proof is that an agent's upstream does not hold the flow.
type State uint8

// States of an agent in a search.
const (
	// Waiting agents were asked and have proved nothing yet.
	Waiting State = iota + 1
	// Untold agents began after their upstreams, so only a packet of the flow shows
	// whether those hold it.
	Untold
	// Probed agents were handed such a packet, and it has not come back.
	Probed
	// None is the proof.
	None
	states
)

// Times of a search.
const (
	// stageTime is how long one group of agents is waited for before the next is
	// asked; an answer from another data centre takes about 3 ms.
	stageTime = 8 * time.Millisecond
	// roundTime is the time after which agents without an answer are asked again; it
	// doubles up to roundMost.
	roundTime = 100 * time.Millisecond
	roundMost = 800 * time.Millisecond
	// keptTime is how long a search goes on without a new packet: callers send again
	// after 1.6 s at most.
	keptTime = 2500 * time.Millisecond
)

// Stage is a group of agents that are asked together, likely owners first.
type Stage uint8

// Stages in their order.
const (
	// Near are the agents of the route's services in the balancer's data centre.
	Near Stage = iota
	// Route are the others of the route's services.
	Route
	// All are all others that may hold the flow.
	All
	// End comes once all were asked.
	End
)

// member is an agent that was asked.
type member struct {
	id    ID
	state State
}

// Search is the search for the owner of one flow. Times are counted by the steady
// clock from the process's start.
type Search struct {
	// Stage is the group that is asked now.
	Stage Stage
	// Rounds is how often agents without an answer were asked again.
	Rounds int
	began  time.Duration
	// last is when the caller's last packet came, staged when the stage began, round
	// when agents were last asked.
	last, staged, round time.Duration
	// members are sorted by their numbers; order has them as they were asked.
	members []member
	order   []ID
	counts  [states]int
}

// New returns a search that begins now.
func New(now time.Duration) *Search {
	return &Search{began: now, last: now, staged: now, round: now}
}

// Age returns how long the search has lasted.
func (s *Search) Age(now time.Duration) time.Duration { return now - s.began }

// Packet notes that another packet of the flow has come.
func (s *Search) Packet(now time.Duration) { s.last = now }

// GivenUp reports whether the caller has sent nothing for so long that it has gone.
func (s *Search) GivenUp(now time.Duration) bool { return now-s.last > keptTime }

// Staged notes that the agents of a stage were asked.
func (s *Search) Staged(now time.Duration) { s.staged = now }

// StageDue reports whether the agents of the stage are slow to answer, so that the
// next are to be asked. slow is how late the process's own work is: where its
// processor is short, the answers of a stage wait unread, and asking more agents
// only lengthens the queue.
func (s *Search) StageDue(now, slow time.Duration) bool {
	return s.Stage < End && now-s.staged > max(stageTime, 2*slow)
}

// RoundDue reports whether agents without an answer are to be asked again.
func (s *Search) RoundDue(now time.Duration) bool {
	return now-s.round > min(roundTime<<min(s.Rounds, 8), roundMost)
}

// BeginRound starts a round: agents that were probed may be probed again, as a
// packet or its return may be lost, and the stages are gone through once more for
// agents that were listed meanwhile.
func (s *Search) BeginRound(now time.Duration) {
	s.round, s.Stage = now, Near
	s.Rounds++
	for i := range s.members {
		if s.members[i].state == Probed {
			s.set(&s.members[i], Untold)
		}
	}
}

// Ask adds an agent; it reports whether it is new, and so has to be asked.
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

// Take takes an agent's answer, other than that its upstream holds the flow. One
// that is not sure whether it knows of the newest list of agents proves nothing.
func (s *Search) Take(id ID, verdict inner.Verdict) {
	m := s.find(id)
	if m == nil {
		return
	}
	switch verdict {
	case inner.VerdictNone:
		s.set(m, None)
	case inner.VerdictMaybe:
		if m.state == Waiting {
			s.set(m, Untold)
		}
	case inner.VerdictUnsure:
		if m.state != None {
			s.set(m, Waiting)
		}
	}
}

// Probe returns agents that are to be handed a packet of the flow, limit at most,
// and counts them as probed. Those that were asked first come first: likely owners.
func (s *Search) Probe(limit int) []ID {
	var chosen []ID
	if s.counts[Untold] == 0 {
		return nil
	}
	for id := range s.In(Untold) {
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

// AskAgain notes that an agent is asked once more; it reports whether it was asked
// before and has proved nothing.
func (s *Search) AskAgain(id ID) bool {
	m := s.find(id)
	if m == nil || m.state == None {
		return false
	}
	s.set(m, Waiting)
	return true
}

// WasAsked reports whether the agent was asked: a packet that it gives back is a
// probe then, which may be late or doubled.
func (s *Search) WasAsked(id ID) bool { return s.find(id) != nil }

// Forget drops an agent that is gone: its upstream can't hold anything up.
func (s *Search) Forget(id ID) {
	m := s.find(id)
	if m == nil {
		return
	}
	s.counts[m.state]--
	s.members = slices.DeleteFunc(s.members, func(m member) bool { return m.id == id })
	s.order = slices.DeleteFunc(s.order, func(o ID) bool { return o == id })
}

// Asked returns how many agents were asked, Count how many are in a state.
func (s *Search) Asked() int { return len(s.members) }

// Count returns how many agents are in a state.
func (s *Search) Count(state State) int { return s.counts[state] }

// Proved reports whether the agent has proved that its upstream does not hold the
// flow.
func (s *Search) Proved(id ID) bool {
	m := s.find(id)
	return m != nil && m.state == None
}

// In returns the agents in a state in the order in which they were asked.
func (s *Search) In(state State) iter.Seq[ID] {
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

// find returns the member of an agent, nil if it was not asked.
func (s *Search) find(id ID) *member {
	at, found := s.index(id)
	if !found {
		return nil
	}
	return &s.members[at]
}

// index returns where an agent is among the members, or belongs.
func (s *Search) index(id ID) (at int, found bool) {
	return slices.BinarySearchFunc(s.members, id, func(m member, id ID) int { return cmp.Compare(m.id, id) })
}
