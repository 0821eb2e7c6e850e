package control

import (
	"time"

	"github.com/saltbend/saltbend/internal/member"
)

// StoreStatus is the state of the process's access to the store.
type StoreStatus struct {
	// Configured is set if the process was given a store.
	Configured bool
	// Reachable is set if the last call reached the store. Most processes make no
	// calls.
	Reachable bool
	// LastContact is when the store last answered.
	LastContact time.Time
}

// Status is the state of a process.
type Status struct {
	Self member.Member
	// Adopted is the configuration revision that the process has adopted, InForce
	// the one that it serves; 0 means none.
	Adopted, InForce uint64
	// Seed is set if the process holds a seed's lease in the store.
	Seed  bool
	Store StoreStatus
	// Balancers and Agents count the live members by state.
	Balancers, Agents map[string]int
	// Suspected counts the members that at least one witness suspects.
	Suspected int
	// Witnessed are the members for which this process is a witness, with the
	// revision that each has in force. The lists of all balancers together cover
	// the fleet.
	Witnessed []member.Member
}

// StatusArgs are the arguments of a status request.
type StatusArgs struct {
	// Witnessed is set to request also the members for which the process is a
	// witness.
	Witnessed bool
}

// Status returns the state of the process.
func (s *Service) Status(a StatusArgs, reply *Status) error {
	return handle(s, reply, func(now time.Time) Status { return s.node.status(now, a) })
}

// Status returns the state of the process; the zero value once the node has
// stopped.
func (n *Node) Status() (out Status) {
	n.runTask(n.ctx, func(now time.Time) { out = n.status(now, StatusArgs{}) })
	return out
}

func (n *Node) status(now time.Time, a StatusArgs) Status {
	out := Status{
		Self:      n.engine.Self(),
		Adopted:   n.adopt.Revision(),
		Seed:      n.seeding.machine.Holding(now),
		Store:     n.store,
		Balancers: countStates(n.engine.Table().Balancers()),
		Agents:    countStates(n.engine.Table().Agents()),
		Suspected: n.engine.Suspected(),
	}
	out.Store.Configured = n.options.Store != nil
	if n.serving != nil {
		out.InForce = n.serving.Revision
	}
	if a.Witnessed {
		out.Witnessed = n.engine.Witnessed()
	}
	return out
}

// countStates counts the members by state.
func countStates(members []member.Member) map[string]int {
	out := make(map[string]int)
	for _, m := range members {
		out[m.State.String()]++
	}
	return out
}
