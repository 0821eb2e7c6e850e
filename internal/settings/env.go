package settings

import (
	"log/slog"
	"net/netip"

	"github.com/saltbend/saltbend/internal/event"
)

// Env is what the daemon gives to a role at its start.
type Env struct {
	Logger *slog.Logger
	Events *event.Ring
	// Version is the version of the program.
	Version string
	// Keys holds the fleet secrets and tells of their rotation.
	Keys *Keys
	// Ready is called once, when the role serves; it logs the addresses.
	Ready func(Addresses)
}

// Addresses are the addresses that a process serves on, after the kernel has
// chosen ports.
type Addresses struct {
	// Control is the address by which others know the process, ControlBound
	// the one that its control listener is bound to.
	Control, ControlBound netip.AddrPort

	Data netip.AddrPort
	Ops  netip.AddrPort
	// Faces maps each public face to the local address that serves it; only
	// balancers have any.
	Faces map[netip.AddrPort]netip.AddrPort
}

// ReadyMessage is the message of the log line that carries the addresses.
// Harnesses wait for it.
const ReadyMessage = "Ready."

// LogReady logs the addresses of a process that serves.
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
