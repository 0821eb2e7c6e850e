package request

import (
	"context"
	"log/slog"
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/dispatch"
)

// signalTimeout bounds a message between siblings; a later one makes up for a
// lost one.
const signalTimeout = 2 * time.Second

// links carries messages to siblings, each in a goroutine of its own so that
// the engine never waits for the network.
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
		l.log.Debug("Sibling didn't take a message.", "sibling", to.String(), "error", err)
	}
}

func (l *links) call(to netip.AddrPort, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(l.ctx, signalTimeout)
	defer cancel()
	return l.o.Caller.Call(ctx, to, method, args, reply)
}
