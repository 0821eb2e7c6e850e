package gossip

import (
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/member"
)

// Upper estimates of message sizes on the wire, for the byte budget. The
// transport counts the bytes actually sent.
const (
	messageBytes   = 200
	recordBytes    = 90
	suspicionBytes = 50
	// maxBatch is the maximum number of records in one message.
	maxBatch = 256
)

// outbox holds the records and suspicions queued for the next push.
type outbox struct {
	// urgent holds the changes that processes announce about themselves. They are
	// few, and the byte budget does not delay them.
	urgent []member.Member
	// bulk holds declarations and refutations, which come by the hundred when a
	// network partition begins or heals. Like suspicions, they wait for the byte
	// budget.
	bulk       []member.Member
	suspicions []member.Suspicion
	// sendClaim requests a push even without records, because the claim in the
	// push carries a new configuration revision.
	sendClaim bool
}

func (o *outbox) waiting() int { return len(o.urgent) + len(o.bulk) + len(o.suspicions) }

// enqueue queues the record m for the next push; before is the record that m
// replaced.
func (e *Engine) enqueue(m, before member.Member) {
	switch {
	case !e.isBalancer():
	case isBulk(m, before):
		e.outbox.bulk = append(e.outbox.bulk, m)
	default:
		e.outbox.urgent = append(e.outbox.urgent, m)
	}
}

// isBulk reports whether the record is a declaration or a refutation: compared
// with the record before, nothing that the member itself decides has changed,
// apart from the version and the configuration revision.
func isBulk(m, before member.Member) bool {
	if m.Declared || before.Declared && before.Incarnation == m.Incarnation {
		return true
	}
	before.Version, before.Revision = m.Version, m.Revision
	return before == m
}

// push sends the queued records to the neighbours: urgent records and claims at
// once, the others as far as the byte budget allows.
func (e *Engine) push(now time.Time) {
	o := &e.outbox
	if o.waiting() == 0 && !o.sendClaim {
		return
	}
	to := e.neighbours()
	if len(to) == 0 {
		*o = outbox{}
		return
	}
	room := int(e.budget.TokensAt(now))/len(to) - messageBytes
	p := Push{From: e.self.Control}
	p.Members = take(&o.urgent, maxBatch)
	room -= recordBytes * len(p.Members)
	p.Suspicions = take(&o.suspicions, min(maxBatch, room/suspicionBytes))
	room -= suspicionBytes * len(p.Suspicions)
	p.Members = append(p.Members, take(&o.bulk, min(maxBatch, room/recordBytes))...)
	if o.waiting() > 0 {
		e.deferred++
	}
	if len(p.Members)+len(p.Suspicions) == 0 && !o.sendClaim {
		return
	}
	o.sendClaim = false
	e.charge(now, len(to)*(messageBytes+recordBytes*len(p.Members)+suspicionBytes*len(p.Suspicions)))
	for _, addr := range to {
		e.emit(SendPush{To: addr, Message: p})
	}
}

// take removes up to n elements from the front of the queue.
func take[T any](queue *[]T, n int) []T {
	n = max(0, min(n, len(*queue)))
	out := slices.Clone((*queue)[:n])
	*queue = (*queue)[n:]
	return out
}

// tryCharge takes size bytes from the byte budget and reports whether they were
// available. If they were not, it counts the message as deferred.
func (e *Engine) tryCharge(now time.Time, size int) bool {
	if e.budget.AllowN(now, min(size, e.timing.BurstBytes)) {
		return true
	}
	e.deferred++
	return false
}

// charge takes the bytes of a message that is sent regardless of the budget,
// which leaves less for later messages.
func (e *Engine) charge(now time.Time, size int) {
	e.budget.ReserveN(now, min(size, e.timing.BurstBytes))
}

// Budget returns the state of the byte budget: the bytes that may be sent at once
// (negative when replies have overdrawn it), the number of queued records and
// suspicions, and how often a message was deferred.
func (e *Engine) Budget(now time.Time) (tokens float64, waiting int, deferred uint64) {
	return e.budget.TokensAt(now), e.outbox.waiting(), e.deferred
}

// neighbours returns the balancers to push to. A balancer that does not answer
// stays a neighbour, so that a push reaches it as soon as it is reachable again.
func (e *Engine) neighbours() []netip.AddrPort {
	if !e.isBalancer() {
		return nil
	}
	return e.balancers().Neighbours(e.self.Control, fanOut)
}

// HandlePush merges the records and suspicions of a push and forwards the new
// ones.
func (e *Engine) HandlePush(now time.Time, p Push) PushReply {
	for _, m := range p.Members {
		e.merge(now, m)
	}
	for _, x := range p.Suspicions {
		e.mergeSuspicion(now, x)
	}
	return PushReply{}
}
