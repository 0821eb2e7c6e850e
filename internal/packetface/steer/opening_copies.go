package steer

import (
	"time"

	"github.com/saltbend/saltbend/platform"
)

// A flow that an upstream has accepted must not be reset. Its opening packet is sent up to
// three times, the network may route each copy to another balancer, and an agent may hold a
// copy for a while. So a balancer refuses a flow only as long as the caller has sent no
// other copy than the first, and that copy came to it: each agent that was sent the copy
// has then returned it. After that, the copies are left to their agents, and the caller to
// its timeout.

const (
	// copyMargin is the time before the caller's next copy from which on the copy may have
	// been sent already: a packet of a caller takes less to reach a balancer.
	copyMargin = 50 * time.Millisecond
	// refusalTime is the time after the arrival of the first copy within which a flow may
	// be refused.
	refusalTime = platform.FirstCopyAge - copyMargin
)

// openingCopies is what a balancer knows of the copies of an opening packet. The zero value
// is that of a packet of which nothing has arrived.
type openingCopies struct {
	// age is the time from the first transmission to that of the latest copy that arrived.
	age time.Duration
	// count is the number of copies that arrived, doubles included; firstAt is when the
	// first of them did.
	count   int
	firstAt time.Duration
	// repeated is set once an agent that has returned the packet has been sent it again: a
	// double of what it returned first does not show that it has returned both.
	repeated bool
}

// add records a copy that arrived at the given time.
func (o *openingCopies) add(arrived, age time.Duration) {
	if o.count == 0 {
		o.firstAt = arrived
	}
	o.count++
	o.age = max(o.age, age)
}

// mayRefuse reports whether no agent but those that were sent the first copy by this
// balancer can have had a copy.
func (o *openingCopies) mayRefuse(now time.Duration) bool {
	return o.count == 1 && o.age == 0 && !o.repeated && now-o.firstAt < refusalTime
}
