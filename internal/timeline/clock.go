package timeline

import "time"

// Offset is an estimate of the difference between the clock of a process and the
// collector's clock.
type Offset struct {
	// Ahead is how far the process's clock is ahead; it is negative if it is behind.
	Ahead time.Duration
	// Error is the greatest possible error of Ahead: half of the round-trip time, since
	// the process read its clock at an unknown time between the request and the reply.
	Error time.Duration
}

// Sample holds the clock readings of one request: the collector's when it sent the
// request and when it received the reply, and the process's (Remote) in between.
type Sample struct {
	Sent, Remote, Received time.Time
}

// Offset returns the estimate that follows from this sample alone.
func (s Sample) Offset() Offset {
	half := s.Received.Sub(s.Sent) / 2
	middle := s.Sent.Add(half)
	// The division by 2 may round down by half a nanosecond; the 1 covers it.
	return Offset{Ahead: s.Remote.Sub(middle), Error: half + 1}
}

// Better returns the one of the two estimates that has the smaller error.
func (o Offset) Better(other Offset) Offset {
	if other.Error < o.Error {
		return other
	}
	return o
}
