// Package quicid finds the destination connection ID in a QUIC packet. It
// reads only the fields that are the same in all versions of QUIC (RFC 8999);
// the QUIC library has such a function but doesn't export it.
package quicid

// MaxSize is the longest connection ID of the known versions, in bytes.
const MaxSize = 20

// LongHeader is the bit of a packet's first byte that marks a long header.
const LongHeader = 0x80

// Offsets in bytes.
const (
	shortIDAt  = 1 // after the first byte
	longSizeAt = 5 // after the first byte and the version
	longIDAt   = 6
)

// IsLong reports whether the packet has a long header. An empty one has none.
func IsLong(packet []byte) bool {
	return len(packet) > 0 && packet[0]&LongHeader != 0
}

// Destination returns the destination connection ID, which shares the packet's
// memory; ok is false for a packet that ends before it does. A short header
// doesn't tell the ID's length: shortSize does, in bytes. A long header may
// tell up to 255 bytes.
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
