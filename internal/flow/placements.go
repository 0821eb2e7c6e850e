package flow

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/quicid"
)

// How long and for how many connection attempts a placement is remembered.
const (
	placementTTL  = 10 * time.Second
	maxPlacements = 4096
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
type placementCache struct {
	current, previous map[dcidKey]netip.AddrPort
	rotatedAt         time.Time
}

func newPlacementCache() *placementCache {
	return &placementCache{current: map[dcidKey]netip.AddrPort{}, previous: map[dcidKey]netip.AddrPort{}}
}

func (h *placementCache) get(now time.Time, key dcidKey) (netip.AddrPort, bool) {
	h.rotate(now)
	if to, ok := h.current[key]; ok {
		return to, true
	}
	to, ok := h.previous[key]
	if ok {
		h.current[key] = to
	}
	return to, ok
}

func (h *placementCache) put(now time.Time, key dcidKey, to netip.AddrPort) {
	h.rotate(now)
	h.current[key] = to
}

func (h *placementCache) rotate(now time.Time) {
	if now.Sub(h.rotatedAt) < placementTTL && len(h.current) < maxPlacements {
		return
	}
	h.previous, h.current = h.current, map[dcidKey]netip.AddrPort{}
	h.rotatedAt = now
}
