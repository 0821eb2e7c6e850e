package control

import (
	"context"
	"time"

	"github.com/saltbend/saltbend/internal/member"
)

// Leave announces that the process is gone and waits until its witnesses were
// told or ctx ends. The process is expected to have drained before.
func (n *Node) Leave(ctx context.Context) {
	n.ask(ctx, func(now time.Time) {
		n.engine.Update(now, func(m *member.Member) { m.State = member.StateGone })
		n.step(now)
	})
	const settle = 200 * time.Millisecond
	select {
	case <-ctx.Done():
	case <-time.After(settle):
	}
}
