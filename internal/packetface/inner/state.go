package inner

// Reason says why an agent returns a packet. No request of the packet has run.
type Reason uint8

// Reasons for returning a packet.
const (
	ReasonService   Reason = iota + 1 // the agent serves another service
	ReasonDraining                    // the upstream is leaving or the agent stops
	ReasonDown                        // no upstream is there
	ReasonBusy                        // all slots are taken
	ReasonBounced                     // the upstream returned the packet
	ReasonUnknown                     // the upstream does not hold the flow
	ReasonUnsure                      // the same, as VerdictUnsure says it
	ReasonFailing                     // the upstream fails what it gets
	ReasonEvacuated                   // the data centre is to be emptied
	ReasonCold                        // the upstream is cold and has got what it bears
)

var reasonNames = [...]string{"none", "other-service", "draining", "down", "busy", "bounced", "unknown-flow", "unknown-flow-unsure", "failing", "evacuated", "cold"}

// String returns the reason's name in logs and metrics.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid"
}

// Verdict answers whether an agent's upstream holds a flow.
type Verdict uint8

// Verdicts.
const (
	// VerdictHeld says that the upstream holds the flow.
	VerdictHeld Verdict = iota + 1
	// VerdictNone says that the upstream certainly does not hold it.
	VerdictNone
	// VerdictMaybe says that the agent can't tell: it began after its upstream.
	VerdictMaybe
	// VerdictUnsure says that the upstream does not hold the flow, and that the
	// agent has only just started: balancers have not told it yet how new their
	// lists of agents are.
	VerdictUnsure
)

// State is that of an agent with its upstream.
type State uint8

// States of an agent.
const (
	StateReady State = iota + 1
	StateDraining
	StateDown
	StateStopping
	// StateSilent says that the upstream's heartbeats have stopped: it may live.
	StateSilent
	// StateUnproven says that the agent has not heard of its upstream since its own
	// start, StateProbation that the upstream has failed and is tried again with one
	// flow at a time, StateFailing that it fails what it gets.
	StateUnproven
	StateProbation
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

// Proven reports whether the agent is known to have heard of its upstream since its
// own start.
func (s State) Proven() bool { return s != 0 && s != StateUnproven }
