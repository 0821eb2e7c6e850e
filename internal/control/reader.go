package control

import (
	"context"
	"time"

	"github.com/saltbend/saltbend/internal/seed"
)

// joinReadDelay is how long a joining process waits for the configuration from
// its peers before it reads the store itself.
const joinReadDelay = time.Second

// configReader is the state of a process's own reads of the configuration before
// it serves.
type configReader struct {
	busy    bool
	next    time.Time
	backoff seed.Backoff
}

// readUntilServing reads the configuration from the store, with back-off, until
// the process serves.
func (n *Node) readUntilServing(now time.Time) {
	r := &n.reader
	if r.next.IsZero() {
		r.next = now.Add(joinReadDelay)
	}
	if n.serving != nil || r.busy || now.Before(r.next) {
		return
	}
	r.busy = true
	r.next = now.Add(r.backoff.Next(n.rand))
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
		defer cancel()
		n.readConfig(ctx)
		n.post(func(time.Time) { r.busy = false })
	}()
}
