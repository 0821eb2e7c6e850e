package control

import (
	"time"

	"github.com/saltbend/saltbend/internal/member"
)

// StoreStatus tells how the store answered this process.
type StoreStatus struct {
	// Configured tells that the process was given a store.
	Configured bool
	// Reachable tells how its last call ended; most processes make none.
	Reachable bool
	// LastContact is when the store last answered.
	LastContact time.Time
}

// Status tells what a process knows and does.
type Status struct {
	Self member.Member
	// Adopted is the configuration revision that the process holds, InForce
	// the one that it acts on; 0 means none.
	Adopted, InForce uint64
	// Seed tells that the process holds a lease in the store.
	Seed  bool
	Store StoreStatus
	// Balancers and Agents count the live members by state.
	Balancers, Agents map[string]int
	// Suspected counts the members that a witness takes for dead.
	Suspected int
	// Witnessed are the members that renew here, with the revision that each
	// has in force. Together the balancers' lists cover the fleet.
	Witnessed []member.Member
}

// StatusArgs ask for a status.
type StatusArgs struct {
	// Witnessed asks for the members that renew at the process, too.
	Witnessed bool
}

// Status answers what the process knows and does.
func (s *Service) Status(a StatusArgs, reply *Status) error {
	return handle(s, reply, func(now time.Time) Status { return s.node.status(now, a) })
}

// Status returns what the process knows and does.
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

func countStates(members []member.Member) map[string]int {
	out := make(map[string]int)
	for _, m := range members {
		out[m.State.String()]++
	}
	return out
}
