package inner

import "time"

// BalancerTTL is how long after a balancer's last datagram an agent sends it changes of its
// status.
const BalancerTTL = 10 * time.Second

// Reason is why an agent returns a packet. No request of a returned packet has been
// executed.
type Reason uint8

// Reasons for returning a packet.
const (
	ReasonService    Reason = iota + 1 // the agent's upstream provides another service
	ReasonDraining                     // the upstream or the agent is shutting down
	ReasonDown                         // the agent has no running upstream
	ReasonBusy                         // all slots are in use
	ReasonBounced                      // the upstream returned the packet
	ReasonUnknown                      // the upstream does not hold the flow
	ReasonUnsure                       // like ReasonUnknown, but inconclusive for the reason given at VerdictUnsure
	ReasonFailing                      // the upstream fails its requests
	ReasonEvacuated                    // the data centre is being evacuated
	ReasonCold                         // the upstream is cold and at its rate limit
	ReasonOverloaded                   // more requests wait than can be answered in time
)

var reasonNames = [...]string{"none", "other-service", "draining", "down", "busy", "bounced", "unknown-flow", "unknown-flow-unsure", "failing", "evacuated", "cold", "overloaded"}

// String returns the reason's name in logs and metrics.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid"
}

// Verdict is an agent's answer to whether its upstream holds a flow.
type Verdict uint8

// Values of Verdict.
const (
	// VerdictHeld means that the upstream holds the flow.
	VerdictHeld Verdict = iota + 1
	// VerdictNone means that the upstream certainly does not hold the flow.
	VerdictNone
	// VerdictUnknown means that the agent does not know whether the upstream holds the
	// flow, because the agent started after its upstream.
	VerdictUnknown
	// VerdictUnsure means that the upstream does not hold the flow, but that the search
	// must not rely on this answer: the agent has just started and does not know yet how
	// recent the agent lists of the balancers are, so it could not warn a balancer whose
	// list lacks the flow's owner.
	VerdictUnsure
)

// State is the state of an agent and its upstream.
type State uint8

// Values of State.
const (
	StateReady State = iota + 1
	StateDraining
	StateDown
	StateStopping
	// StateSilent means that the upstream's heartbeats have stopped; the upstream may
	// still run.
	StateSilent
	// StateUnproven means that the agent has received nothing from its upstream since the
	// agent's own start.
	StateUnproven
	// StateProbation means that the upstream has failed requests and is being tried again
	// with one flow at a time.
	StateProbation
	// StateFailing means that the upstream has failed requests and is avoided for a while.
	StateFailing
)

var stateNames = [...]string{"none", "ready", "draining", "down", "stopping", "silent", "unproven", "probation", "failing"}

// String returns the state's name in logs and metrics.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Proven reports whether the agent is known to have received anything from its upstream
// since the agent's own start.
func (s State) Proven() bool { return s != 0 && s != StateUnproven }
