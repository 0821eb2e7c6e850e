package flow

import (
	"net/netip"
	"time"

	"github.com/saltbend/saltbend/internal/quicid"
)

// Limits of each generation of the placement cache.
const (
	placementTTL  = 10 * time.Second
	maxPlacements = 4096
)

// dcidKey is a destination connection ID in the form of a map key; n is its
// length.
type dcidKey struct {
	n  uint8
	id [quicid.MaxSize]byte
}

func makeDCIDKey(dcid []byte) dcidKey {
	k := dcidKey{n: uint8(len(dcid))}
	copy(k.id[:], dcid)
	return k
}

// placementCache records the agent that each connection attempt was sent to, so
// that all Initial packets of one ClientHello, and their retransmissions, reach
// the same agent. The zero AddrPort stands for this agent. Two generations of
// entries bound its memory: after placementTTL or maxPlacements entries, the
// current generation becomes the previous one, and an entry that is used again
// is copied to the new current generation. The cache does no I/O and does not
// read the clock.
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
