package settings

import (
	"log/slog"
	"net/netip"

	"github.com/saltbend/saltbend/internal/event"
)

// Env holds what the daemon passes to a role when it starts the role.
type Env struct {
	Logger *slog.Logger
	Events *event.Ring
	// Version is the version of the program.
	Version string
	// Keys holds the fleet secrets and notifies the role of their rotation.
	Keys *Keys
	// Ready must be called once, when the role is serving. It logs the addresses.
	Ready func(Addresses)
}

// Addresses are the addresses that a process serves on, with the actual ports where the
// kernel assigned them.
type Addresses struct {
	// Control is the address that other processes use for control traffic. ControlBound is
	// the address that the control listener is bound to.
	Control, ControlBound netip.AddrPort

	Data netip.AddrPort
	Ops  netip.AddrPort
	// Faces maps each public face to the local address that serves it; only
	// balancers have any.
	Faces map[netip.AddrPort]netip.AddrPort
}

// ReadyMessage is the message of the log line with the addresses. Test harnesses wait for
// it.
const ReadyMessage = "Ready."

// LogReady logs the addresses of a process that has started to serve.
func LogReady(l *slog.Logger, a Addresses) {
	attrs := []any{
		slog.String("control", a.Control.String()),
		slog.String("data", a.Data.String()),
		slog.String("ops", a.Ops.String()),
	}
	if a.ControlBound != a.Control {
		attrs = append(attrs, slog.String("control_bound", a.ControlBound.String()))
	}
	if a.Faces != nil {
		attrs = append(attrs, slog.Any("faces", a.Faces))
	}
	l.Info(ReadyMessage, attrs...)
}
