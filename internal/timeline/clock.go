package timeline

import "time"

// Offset is how far a process's clock is ahead of the collector's, and the
// bound of the error of that estimate.
type Offset struct {
	Ahead time.Duration
	// Error is half of the round trip: the process read its clock at some time
	// between the request and the reply.
	Error time.Duration
}

// Sample is one request and its reply: the collector's clock before and after,
// the process's clock in between.
type Sample struct {
	Sent, Remote, Received time.Time
}

// Offset returns what the sample tells of the process's clock.
func (s Sample) Offset() Offset {
	half := s.Received.Sub(s.Sent) / 2
	middle := s.Sent.Add(half)
	// The odd nanosecond of a halved round trip belongs to the error.
	return Offset{Ahead: s.Remote.Sub(middle), Error: half + 1}
}

// Better returns the estimate with the smaller error.
func (o Offset) Better(other Offset) Offset {
	if other.Error < o.Error {
		return other
	}
	return o
}
