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
	if !e.budget.AllowN(now, len(to)*size) {
		return
	}
	e.pending = e.pending[len(batch):]
	e.pendingSuspicions = e.pendingSuspicions[len(suspicions):]
	e.notify = false
	for _, addr := range to {
		e.do(SendPush{To: addr, Message: Push{From: e.self.Control, Members: batch, Suspicions: suspicions}})
	}
}

// neighbours returns the balancers to push to. One that does not answer stays
// among them, so that a push finds out when it is back.
func (e *Engine) neighbours() []netip.AddrPort {
	if !e.isBalancer() {
		return nil
	}
	var out []netip.AddrPort
	for _, m := range member.Neighbours(e.self.Control, e.table.Balancers(), fanOut) {
		out = append(out, m.Control)
	}
	return out
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
