// Package flow carries QUIC between an agent and its callers inside the
// encapsulation that agents and balancers share. To the QUIC library it is a
// net.PacketConn; it keeps the way back to each caller and leaves a balancer
// that no longer answers.
package flow

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/encap"
)

// MaxIdleTimeout is how long a QUIC connection lives without any datagram of
// its caller. Three keep-alives fit into it.
const MaxIdleTimeout = 60 * time.Second

// KeepAlivePeriod is how often an agent pings a caller that says nothing, so
// that a quiet feed stays open and address translators keep their entry.
const KeepAlivePeriod = 15 * time.Second

// PacketSize is the size of the agent's QUIC packets in bytes. With 8 bytes of
// UDP and 20 of IPv4 header it fits a caller's path of 1308 bytes, with the
// encapsulation a path of 1348 between agent and balancer. It does not grow:
// the packets of a flow take many paths, of which discovery would probe one.
const PacketSize = 1280

// AdmitFunc tells whether a new flow with this header may come in. It must not
// block.
type AdmitFunc func(h encap.Header) bool

// HandFunc may place a new flow elsewhere. It gets the header of the Initial
// and its destination connection ID, which it must not keep, and returns the
// data address of a sibling that takes the flow. It must not block.
type RedirectFunc func(h encap.Header, dcid []byte) (to netip.AddrPort, ok bool)
