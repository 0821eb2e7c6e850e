package agent

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/wait"
)

// leaving tells of a reason to drain other than the process being stopped: the
// upstream announces that it drains, or its service is gone.
type drainRequest struct {
	requested chan struct{}
	once      *sync.Once
}

func newDrainRequest() drainRequest {
	return drainRequest{requested: make(chan struct{}), once: &sync.Once{}}
}

func (d drainRequest) trigger() { d.once.Do(func() { close(d.requested) }) }

// drain stops new work, lets running work and feeds end, and returns when none
// is left or the drain's timeout is over.
func (a *agent) drain() {
	a.env.Events.Add(part, eventDraining, "")
	a.log.Info("Draining.", slog.Int("requests", a.server.running.number()))
	a.node.SetState(member.StateDraining)
	ctx, cancel := context.WithTimeout(context.Background(), a.drainTimeout())
	defer cancel()
	_ = wait.For(ctx, announceGrace) // at its timeout the drain goes on all the same
	a.requests.Drain()
	cut := a.server.shutdown(ctx)
	a.tickets.Close(ctx)
	a.env.Events.Add(part, eventDrained, "")
	a.log.Info("Drained.", slog.Int("cut", cut))
}

// drainTimeout returns the end of a drain whose feeds don't end by themselves.
func (a *agent) drainTimeout() time.Duration {
	if s := a.service(); s != nil && s.Drain.Timeout > 0 {
		return s.Drain.Timeout
	}
	return a.settings.DrainTimeout
}
