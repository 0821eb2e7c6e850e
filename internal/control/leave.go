package control

import (
	"context"
	"sync"
	"time"

	"github.com/saltbend/saltbend/internal/gossip"
)

// Leave announces that the process is gone, and waits until the calls that
// announce it have ended or ctx ends. The process must have finished draining when
// Leave is called; by the end of a drain, it has also released its lease in the
// store.
func (n *Node) Leave(ctx context.Context) {
	var announcements []gossip.Action
	var claim gossip.Claim
	n.runTask(ctx, func(now time.Time) {
		announcements = n.engine.Leave(now)
		claim = n.claim(now, n.options.Self.Control)
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.announceLeave(announcements, claim)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// announceLeave makes all calls concurrently and waits until they have ended.
func (n *Node) announceLeave(announcements []gossip.Action, claim gossip.Claim) {
	var calls sync.WaitGroup
	for _, a := range announcements {
		switch a := a.(type) {
		case gossip.SendAnnounce:
			a.Message.Claim = claim
			calls.Go(func() { _, _ = n.call(a.To, "Announce", a.Message, &gossip.AnnounceReply{}) })
		case gossip.SendPush:
			a.Message.Claim = claim
			calls.Go(func() { _, _ = n.call(a.To, "Push", a.Message, &gossip.PushReply{}) })
		}
	}
	calls.Wait()
}
