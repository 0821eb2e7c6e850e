// Package flow carries QUIC datagrams between an agent and its callers by way
// of the balancers, inside the encapsulation that agents and balancers share.
// The agent terminates the callers' QUIC connections; a flow is the traffic
// between one caller address and one face, the public address that the caller
// sends to. Conn implements net.PacketConn for the QUIC library. It selects the
// balancer that each reply is sent through and avoids balancers that stop
// answering probes. The fleet is all balancers and agents of one installation.
package flow

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/encap"
)

// MaxIdleTimeout is the idle timeout of QUIC connections. It leaves time for
// three keep-alives.
const MaxIdleTimeout = 60 * time.Second

// KeepAlivePeriod is the interval at which an agent pings a caller on an idle
// connection. Pings keep an idle feed open and refresh the entries of network
// address translators on the path.
const KeepAlivePeriod = 15 * time.Second

// PacketSize is the size of the agent's QUIC packets in bytes. With 8 bytes of
// UDP header and 20 bytes of IPv4 header, a packet needs a path MTU of 1308
// bytes to the caller and, with the encapsulation, 1348 bytes between agent and
// balancer. The size is fixed because the packets of a flow take several paths
// and path MTU discovery would probe only one of them.
const PacketSize = 1280

// AdmitFunc reports whether a new flow with this header is accepted. It must
// not block.
type AdmitFunc func(h encap.Header) bool

// HandOffFunc selects a sibling, another agent of the same service, for a new
// flow. It receives the header of the Initial packet and its destination
// connection ID, which it must not retain. It returns the data address of the
// sibling, or false to keep the flow at this agent. It must not block.
type HandOffFunc func(h encap.Header, dcid []byte) (to netip.AddrPort, ok bool)
