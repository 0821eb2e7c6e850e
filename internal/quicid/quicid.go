// Package quicid extracts the destination connection ID from a QUIC packet. It
// reads only the fields that all versions of QUIC have in common (RFC 8999). The
// QUIC library has a function for this but doesn't export it.
package quicid

// MaxSize is the maximum length in bytes of a connection ID in the known versions
// of QUIC.
const MaxSize = 20

// LongHeader is the bit of a packet's first byte that marks a long header.
const LongHeader = 0x80

// Offsets in bytes of the destination connection ID and of its length.
const (
	shortIDAt  = 1 // after the first byte
	longSizeAt = 5 // after the first byte and the version
	longIDAt   = 6
)

// IsLong reports whether the packet has a long header. It returns false for an
// empty packet.
func IsLong(packet []byte) bool {
	return len(packet) > 0 && packet[0]&LongHeader != 0
}

// Destination returns the destination connection ID, which aliases packet. ok is
// false if the packet ends before its ID does. A short header doesn't contain the
// ID's length, so the ID is assumed to have shortSize bytes. A long header contains
// the length, which can be up to 255 bytes.
func Destination(packet []byte, shortSize int) (id []byte, ok bool) {
	if !IsLong(packet) {
		return slice(packet, shortIDAt, shortSize)
	}
	if len(packet) < longIDAt {
		return nil, false
	}
	return slice(packet, longIDAt, int(packet[longSizeAt]))
}

func slice(b []byte, from, n int) ([]byte, bool) {
	if len(b) < from+n {
		return nil, false
	}
	return b[from : from+n], true
}
