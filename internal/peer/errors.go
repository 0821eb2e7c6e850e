package peer

import (
	"fmt"
	"net/netip"
	"net/rpc"
	"strings"

	"github.com/pkg/errors"
)

// Errors of Call, to be matched with errors.Is. The underlying cause, such as
// context.DeadlineExceeded, matches as well.
var (
	// ErrUnreachable means that the method has not run and will not run: the call was never
	// sent, or the remote process doesn't serve the method, for instance because it is
	// still starting.
	ErrUnreachable = errors.New("peer: unreachable")
	// ErrInterrupted means that the call may have been sent and no reply was received: the
	// method may have run, or may still run.
	ErrInterrupted = errors.New("peer: interrupted")
	// ErrTooLarge means that a message exceeded the size limit.
	ErrTooLarge = errors.New("peer: message too large")
	// ErrClosed means that this peer was closed.
	ErrClosed = errors.New("peer: closed")
	// ErrUnauthenticated means that the remote end proved none of the fleet's keys.
	ErrUnauthenticated = errors.New("peer: the remote end proved no key of the fleet")
	// ErrProtocol means that the remote end uses another protocol version.
	ErrProtocol = errors.New("peer: the remote end uses another protocol version")
)

// CallError describes a failed call: its method and address, whether it may have run, and
// the cause.
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

// Unwrap makes errors.Is match both the outcome and the cause.
func (e *CallError) Unwrap() []error { return []error{e.Outcome, e.Cause} }

// notFoundPrefix starts the error texts of net/rpc's server for an unknown service or
// method. net/rpc has no typed error for them.
const notFoundPrefix = "rpc: can't find "

// isMethodNotFound reports whether the remote process doesn't serve the method.
func isMethodNotFound(remote rpc.ServerError) bool {
	return strings.HasPrefix(string(remote), notFoundPrefix)
}
