package agent

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/saltbend/saltbend/internal/member"
	"github.com/saltbend/saltbend/internal/wait"
)

// drainRequest requests a drain for a reason other than the end of the process:
// the upstream reports that it drains, or its service was removed from the
// configuration. requested is closed by the first call of trigger.
type drainRequest struct {
	requested chan struct{}
	once      *sync.Once
}

func newDrainRequest() drainRequest {
	return drainRequest{requested: make(chan struct{}), once: &sync.Once{}}
}

func (d drainRequest) trigger() { d.once.Do(func() { close(d.requested) }) }

// drain stops accepting new work and waits for running requests and feeds to
// end, at most for the drain timeout.
func (a *agent) drain() {
	a.env.Events.Add(part, eventDraining, "")
	a.log.Info("Draining.", slog.Int("requests", a.server.running.number()))
	a.node.SetState(member.StateDraining)
	ctx, cancel := context.WithTimeout(context.Background(), a.drainTimeout())
	defer cancel()
	_ = wait.For(ctx, announceGrace) // the drain continues even if its timeout ends the wait
	a.requests.Drain()
	cut := a.server.shutdown(ctx)
	a.tickets.Close(ctx)
	a.env.Events.Add(part, eventDrained, "")
	a.log.Info("Drained.", slog.Int("cut", cut))
}

// drainTimeout returns the maximum duration of a drain, after which remaining
// requests and feeds are cut.
func (a *agent) drainTimeout() time.Duration {
	if s := a.service(); s != nil && s.Drain.Timeout > 0 {
		return s.Drain.Timeout
	}
	return a.settings.DrainTimeout
}
