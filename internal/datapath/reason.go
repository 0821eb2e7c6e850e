package datapath

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/saltbend/saltbend/internal/encap"
	"github.com/saltbend/saltbend/internal/token"
)

// Reason is the reason for which a datagram was dropped; None means that it was
// not dropped.
type Reason uint8

// Reasons for which datagrams are dropped.
const (
	None Reason = iota
	// Oversized means that the datagram does not fit into one encapsulated
	// datagram.
	Oversized
	// Truncated means that the datagram ends within its connection ID or header.
	Truncated
	// OtherService means that the service in the token or header is neither the
	// face's service nor a former one.
	OtherService
	// UnknownKey means that the datagram is signed with a secret that the process
	// does not have.
	UnknownKey
	// Forged means that the MAC of the token or header does not match.
	Forged
	// NotInitial means that the datagram has no valid token and can't open a flow.
	NotInitial
	// SmallInitial means that an Initial is below the minimum size of QUIC.
	SmallInitial
	// NoFace means that the face of the datagram is not open at the balancer.
	NoFace
	// FaceDraining means that the datagram opens a flow at a face that was removed
	// from the configuration.
	FaceDraining
	// NoAgent means that the datagram opens a flow, but the service has no agent
	// that accepts new flows.
	NoAgent
	// BadHeader means that the encapsulation header has an unknown version or kind,
	// or an address that is missing or can't be encoded.
	BadHeader
	// WrongKind means that balancers do not accept datagrams of this kind.
	WrongKind
	// BadSource means that the sender's address is not IPv4.
	BadSource
	// SendFailed means that the kernel refused to send the datagram.
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

// counters counts the dropped datagrams of one direction by reason.
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

// countSendError counts a datagram that the kernel refused to send.
func (c *counters) countSendError() {
	c.drops[SendFailed].Inc()
}

// tokenReason returns the drop reason for an error of token.Codec.Open.
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

// headerReason returns the drop reason for an error of encap.Codec.Decode.
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
