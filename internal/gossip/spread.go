package gossip

import (
	"net/netip"
	"slices"
	"time"

	"github.com/saltbend/saltbend/internal/member"
)

// Sizes of messages on the wire, for the budget. They are upper estimates; the
// bytes that were really carried are counted by the transport.
const (
	messageBytes   = 200
	recordBytes    = 90
	suspicionBytes = 50
	// maxBatch bounds the records of one message.
	maxBatch = 256
)

// outbox holds what waits for the next push.
type outbox struct {
	// urgent is what processes say of themselves: few, and not held back.
	urgent []member.Member
	// bulk is what a cut or its healing brings by the hundred: declarations and
	// refutations. It waits for the budget, as suspicions do.
	bulk       []member.Member
	suspicions []member.Suspicion
	// notify asks for a push even if it carries nothing: the claim in it tells
	// of a new configuration.
	notify bool
}

func (o *outbox) waiting() int { return len(o.urgent) + len(o.bulk) + len(o.suspicions) }

// spread queues a record, which replaced before, for the next push.
func (e *Engine) spread(m, before member.Member) {
	switch {
	case !e.isBalancer():
	case isBulk(m, before):
		e.outbox.bulk = append(e.outbox.bulk, m)
	default:
		e.outbox.urgent = append(e.outbox.urgent, m)
	}
}

// isBulk reports whether the record is a declaration or a refutation: apart
// from its version, nothing that the process itself decides has changed.
func isBulk(m, before member.Member) bool {
	if m.Declared || before.Declared && before.Incarnation == m.Incarnation {
		return true
	}
	before.Version, before.Revision = m.Version, m.Revision
	return before == m
}

// push sends what waits to the neighbours: announcements and notices at once,
// the rest as far as the budget allows.
func (e *Engine) push(now time.Time) {
	o := &e.outbox
	if o.waiting() == 0 && !o.notify {
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
	if len(p.Members)+len(p.Suspicions) == 0 && !o.notify {
		return
	}
	o.notify = false
	e.charge(now, len(to)*(messageBytes+recordBytes*len(p.Members)+suspicionBytes*len(p.Suspicions)))
	for _, addr := range to {
		e.do(SendPush{To: addr, Message: p})
	}
}

// take removes up to n elements from the front of the queue.
func take[T any](queue *[]T, n int) []T {
	n = max(0, min(n, len(*queue)))
	out := slices.Clone((*queue)[:n])
	*queue = (*queue)[n:]
	return out
}

// afford takes size bytes from the budget if they are there. What is put off
// is counted.
func (e *Engine) afford(now time.Time, size int) bool {
	if e.budget.AllowN(now, min(size, e.timing.BurstBytes)) {
		return true
	}
	e.deferred++
	return false
}

// charge takes the bytes of what is sent in any case from the budget for what
// follows.
func (e *Engine) charge(now time.Time, size int) {
	e.budget.ReserveN(now, min(size, e.timing.BurstBytes))
}

// Budget tells how the byte budget stands: the bytes that may be sent at once
// (negative when answers have overdrawn it), the transitions that wait, and
// how often a message was put off.
func (e *Engine) Budget(now time.Time) (tokens float64, waiting int, deferred uint64) {
	return e.budget.TokensAt(now), e.outbox.waiting(), e.deferred
}

// neighbours returns the balancers to push to. One that does not answer stays
// among them, so that a push finds out when it is back.
func (e *Engine) neighbours() []netip.AddrPort {
	if !e.isBalancer() {
		return nil
	}
	return e.balancers().Neighbours(e.self.Control, fanOut)
}

// HandlePush takes transitions in and passes on what is news.
func (e *Engine) HandlePush(now time.Time, p Push) PushReply {
	for _, m := range p.Members {
		e.merge(now, m)
	}
	for _, x := range p.Suspicions {
		e.takeSuspicion(now, x)
	}
	return PushReply{}
}
