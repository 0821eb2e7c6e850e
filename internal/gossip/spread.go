package gossip

import (
	"net/netip"
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

// spread queues a record for the next push.
func (e *Engine) spread(m member.Member) {
	if e.isBalancer() {
		e.pending = append(e.pending, m)
	}
}

// push sends the queued transitions to the neighbours as far as the budget
// allows; what is left waits for the next call.
func (e *Engine) push(now time.Time) {
	if len(e.pending) == 0 && len(e.pendingSuspicions) == 0 && !e.notify {
		return
	}
	to := e.neighbours()
	if len(to) == 0 {
		e.pending, e.pendingSuspicions, e.notify = nil, nil, false
		return
	}
	batch := e.pending[:min(len(e.pending), maxBatch)]
	suspicions := e.pendingSuspicions[:min(len(e.pendingSuspicions), maxBatch)]
	size := messageBytes + recordBytes*len(batch) + suspicionBytes*len(suspicions)
	if !e.afford(now, len(to)*size) {
		return
	}
	e.pending = e.pending[len(batch):]
	e.pendingSuspicions = e.pendingSuspicions[len(suspicions):]
	e.notify = false
	for _, addr := range to {
		e.do(SendPush{To: addr, Message: Push{From: e.self.Control, Members: batch, Suspicions: suspicions}})
	}
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

// charge takes the bytes of an answer, which cannot be put off, from the budget
// for what follows.
func (e *Engine) charge(now time.Time, size int) {
	e.budget.ReserveN(now, min(size, e.timing.BurstBytes))
}

// Budget tells how the byte budget stands: the bytes that may be sent at once
// (negative when answers have overdrawn it), the transitions that wait, and
// how often a message was put off.
func (e *Engine) Budget(now time.Time) (tokens float64, waiting int, deferred uint64) {
	return e.budget.TokensAt(now), len(e.pending) + len(e.pendingSuspicions), e.deferred
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
