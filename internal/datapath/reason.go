package datapath

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/saltbend/saltbend/internal/encap"
	"github.com/saltbend/saltbend/internal/token"
)

// Reason tells why a datagram was dropped; None means that it was not.
type Reason uint8

// Reasons for which datagrams are dropped.
const (
	None Reason = iota
	// Oversized: it does not fit into one encapsulated datagram.
	Oversized
	// Truncated: it ends before its connection ID or header does.
	Truncated
	// OtherService: its token belongs to another service than the face.
	OtherService
	// UnknownKey: it is signed with a secret that the process does not hold.
	UnknownKey
	// Forged: its MAC does not match.
	Forged
	// NotInitial: it has no valid token and can't open a flow.
	NotInitial
	// SmallInitial: an Initial below QUIC's least size.
	SmallInitial
	// NoFace: the face is not in the configuration in force.
	NoFace
	// FaceDraining: a new flow at a face that the configuration has dropped.
	FaceDraining
	// NoAgent: a new flow while the service has no agent for it.
	NoAgent
	// BadHeader: an encapsulation header of another version or kind.
	BadHeader
	// WrongKind: a kind of datagram that balancers do not take.
	WrongKind
	// BadSource: it came from no IPv4 address.
	BadSource
	// SendFailed: the kernel refused to send it.
	SendFailed

	reasonCount
)

var reasonNames = [reasonCount]string{
	None:         "none",
	Oversized:    "oversized",
	Truncated:    "truncated",
	OtherService: "other_service",
	UnknownKey:   "unknown_key",
	Forged:       "forged",
	NotInitial:   "not_initial",
	SmallInitial: "small_initial",
	NoFace:       "no_face",
	FaceDraining: "face_draining",
	NoAgent:      "no_agent",
	BadHeader:    "bad_header",
	WrongKind:    "wrong_kind",
	BadSource:    "bad_source",
	SendFailed:   "send_failed",
}

// String returns the reason's label in metrics.
func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// counters count what becomes of the datagrams of one direction.
type counters struct {
	drops [reasonCount]*metrics.Counter
}

func newCounters(direction string) *counters {
	c := &counters{}
	for r := Oversized; r < reasonCount; r++ {
		name := fmt.Sprintf(`saltbend_balancer_dropped_total{direction=%q,reason=%q}`, direction, r)
		c.drops[r] = metrics.GetOrCreateCounter(name)
	}
	return c
}

// refused counts a datagram that the kernel did not take.
func (c *counters) refused() {
	c.drops[SendFailed].Inc()
}

// tokenReason translates an error of token.Codec.Open.
func tokenReason(err error) Reason {
	switch err {
	case token.ErrService:
		return OtherService
	case token.ErrKey:
		return UnknownKey
	case token.ErrForged:
		return Forged
	}
	return NotInitial
}

// headerReason translates an error of encap.Codec.Decode.
func headerReason(err error) Reason {
	switch err {
	case encap.ErrShort:
		return Truncated
	case encap.ErrKey:
		return UnknownKey
	case encap.ErrForged:
		return Forged
	}
	return BadHeader
}
