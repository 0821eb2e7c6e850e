package flow

import "github.com/saltbend/saltbend/internal/quicid"

const (
	// minInitialSize is the minimum size, in bytes, that QUIC requires of a
	// datagram that opens a connection.
	minInitialSize = 1200
	// longHeaderSize is the size, in bytes, of a long header up to its first
	// connection ID. A valid datagram is longer.
	longHeaderSize = 6
)

// longHeaderDCID returns the destination connection ID of a long-header
// packet. The result shares the datagram's memory. ok is false for packets with
// a short header, truncated datagrams, and connection IDs that are too long.
func longHeaderDCID(datagram []byte) (dcid []byte, ok bool) {
	if len(datagram) <= longHeaderSize || !quicid.IsLong(datagram) {
		return nil, false
	}
	dcid, ok = quicid.Destination(datagram, 0)
	if !ok || len(dcid) > quicid.MaxSize {
		return nil, false
	}
	return dcid, true
}
