package peer

import (
	"fmt"
	"net/netip"
	"net/rpc"
	"strings"

	"github.com/pkg/errors"
)

// Errors of Call. They are matched with errors.Is; the cause, such as
// context.DeadlineExceeded, matches too.
var (
	// ErrUnreachable says that the method has not run and will not: the call
	// never left this process, or the other one doesn't serve the method, as
	// while it starts.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrInterrupted says that the call left and its reply didn't come: the
	// method may have run, or may run yet.
	ErrInterrupted = errors.New("peer: interrupted")
	// ErrTooLarge says that a message exceeded the bound.
	ErrTooLarge = errors.New("peer: message too large")
	// ErrClosed says that this peer was closed.
	ErrClosed = errors.New("peer: closed")
	// ErrUnauthenticated says that the other end holds none of the fleet's keys.
	ErrUnauthenticated = errors.New("peer: the other end holds no key of the fleet")
	// ErrProtocol says that the other end speaks another protocol version.
	ErrProtocol = errors.New("peer: other protocol version")
)

// CallError tells which call failed, how far it came and why.
type CallError struct {
	// Outcome is ErrUnreachable or ErrInterrupted.
	Outcome error
	Addr    netip.AddrPort
	Method  string
	Cause   error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("%v: %s at %s: %v", e.Outcome, e.Method, e.Addr, e.Cause)
}

// Unwrap lets errors.Is match both the outcome and the cause.
func (e *CallError) Unwrap() []error { return []error{e.Outcome, e.Cause} }

// notServed is how net/rpc's server begins its errors about a service or a
// method that it doesn't know; the package has no typed error for it.
const notServed = "rpc: can't find "

// isNotServed reports whether the other process doesn't serve the method.
func isNotServed(remote rpc.ServerError) bool {
	return strings.HasPrefix(string(remote), notServed)
}
