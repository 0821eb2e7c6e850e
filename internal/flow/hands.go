package flow

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/quicid"
)

// How long and for how many connection attempts a placement is remembered.
const (
	handFor  = 10 * time.Second
	maxHands = 4096
)

// dcidKey is a connection ID as a map key; n tells its length.
type dcidKey struct {
	n  uint8
	id [quicid.MaxSize]byte
}

func makeDCIDKey(dcid []byte) dcidKey {
	k := dcidKey{n: uint8(len(dcid))}
	copy(k.id[:], dcid)
	return k
}

// hands remembers where each connection attempt was placed, so that all
// Initial packets of one ClientHello, and their retransmissions, go the same
// way. The zero AddrPort stands for here. Memory is bounded: two generations
// take turns, and what is seen again moves into the younger. It is pure.
type hands struct {
	young, old map[dcidKey]netip.AddrPort
	turned     time.Time
}

func newHands() *hands {
	return &hands{young: map[dcidKey]netip.AddrPort{}, old: map[dcidKey]netip.AddrPort{}}
}

func (h *hands) get(now time.Time, key dcidKey) (netip.AddrPort, bool) {
	h.turn(now)
	if to, ok := h.young[key]; ok {
		return to, true
	}
	to, ok := h.old[key]
	if ok {
		h.young[key] = to
	}
	return to, ok
}

func (h *hands) put(now time.Time, key dcidKey, to netip.AddrPort) {
	h.turn(now)
	h.young[key] = to
}

func (h *hands) turn(now time.Time) {
	if now.Sub(h.turned) < handFor && len(h.young) < maxHands {
		return
	}
	h.old, h.young = h.young, map[dcidKey]netip.AddrPort{}
	h.turned = now
}
