package request

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/dispatch"
)

// signalTimeout bounds the delivery of a message between siblings. A lost message needs
// no retry, because a later one supersedes it.
const signalTimeout = 2 * time.Second

// links sends messages to siblings. Each message has its own goroutine, so that the
// engine never waits for the network.
type links struct {
	ctx    context.Context
	o      Options
	log    *slog.Logger
	engine *engine
}

func newLinks(ctx context.Context, o Options, log *slog.Logger) *links {
	return &links{ctx: ctx, o: o, log: log}
}

func (l *links) pull(p dispatch.Pull) {
	go func() {
		args := SignalArgs{Service: l.o.Service, From: l.o.Self, Held: p.Reservation, Standing: p.Standing}
		if err := l.call(p.From, methodPull, &args, &SignalReply{}); err != nil {
			l.engine.post(declined{standingReceived: standingReceived{from: p.From}, held: p.Reservation})
		}
	}()
}

func (l *links) decline(d dispatch.Decline) {
	args := SignalArgs{Service: l.o.Service, From: l.o.Self, Held: d.Reservation, Standing: d.Standing}
	go l.signal(d.To, methodDecline, &args)
}

func (l *links) announce(a dispatch.Announce) {
	args := SignalArgs{Service: l.o.Service, From: l.o.Self, Standing: a.Standing}
	go l.signal(a.To, methodClaim, &args)
}

func (l *links) signal(to netip.AddrPort, method string, args *SignalArgs) {
	if err := l.call(to, method, args, &SignalReply{}); err != nil {
		l.log.Debug("Could not deliver a message to a sibling.", "sibling", to.String(), "error", err)
	}
}

func (l *links) call(to netip.AddrPort, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(l.ctx, signalTimeout)
	defer cancel()
	return l.o.Caller.Call(ctx, to, method, args, reply)
}
