// Package peer carries net/rpc between the system's processes over mutually
// authenticated TLS. A process proves that it holds the fleet's current or
// previous secret; a stranger can neither call nor read.
package peer

import (
	"context"
	"net/netip"
)

// Caller calls methods of other processes.
type Caller interface {
	// Call runs method at addr and fills reply. It returns when the reply is
	// there or ctx ends; in the second case the method may run all the same.
	Call(ctx context.Context, addr netip.AddrPort, method string, args, reply any) error
}

// Registry takes receivers whose methods other processes may call.
type Registry interface {
	// Register adds the methods of receiver under name, as net/rpc does.
	Register(name string, receiver any) error
}
