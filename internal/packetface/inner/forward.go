package inner

import (
	"math"
	"time"
)

// Terms are the time limits and the priority of a route's requests.
type Terms struct {
	// Priority is the priority of requests that wait for a slot, 0 for the most urgent.
	Priority uint8
	// TargetLatency is the target latency of requests and Timeout the time after which
	// their callers give up, each 0 if the route does not set it. They are encoded in steps
	// of 8 ms and 64 ms, which limits them to 2 s and 16 s.
	TargetLatency, Timeout time.Duration
}

// Units in which the times in Terms are encoded.
const (
	targetLatencyStep = 8 * time.Millisecond
	timeoutStep       = 64 * time.Millisecond
)

// Forward is the header of a datagram with a packet of an established flow.
type Forward struct {
	Flags Flags
	Terms Terms
}

// AppendForward appends a datagram of KindForward.
func AppendForward(b []byte, head Forward, packet []byte) []byte {
	b = appendTerms(append(b, byte(KindForward), byte(head.Flags)), head.Terms)
	return append(b, packet...)
}

// ParseForward decodes a datagram of KindForward. The returned packet is a slice of b.
func ParseForward(b []byte) (head Forward, packet []byte, err error) {
	if len(b) < forwardSize || KindOf(b) != KindForward {
		return Forward{}, nil, ErrDatagram
	}
	return Forward{Flags: Flags(b[1]), Terms: parseTerms(b[2:])}, b[forwardSize:], nil
}

// termsSize is the size of encoded Terms in bytes.
const termsSize = 3

func appendTerms(b []byte, t Terms) []byte {
	return append(b, t.Priority, inSteps(t.TargetLatency, targetLatencyStep), inSteps(t.Timeout, timeoutStep))
}

func parseTerms(b []byte) Terms {
	return Terms{Priority: b[0], TargetLatency: time.Duration(b[1]) * targetLatencyStep, Timeout: time.Duration(b[2]) * timeoutStep}
}

// inSteps converts a duration to a number of steps, capped at the maximum of a byte.
func inSteps(d, step time.Duration) byte { return byte(min(d/step, math.MaxUint8)) }
