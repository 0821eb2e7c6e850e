package flow

import "github.com/saltbend/saltbend/internal/quicid"

const (
	// minInitialSize is QUIC's least size of a datagram that opens a flow, in
	// bytes.
	minInitialSize = 1200
	// longHeaderSize is the length of a long header up to its first ID, in
	// bytes; more must follow.
	longHeaderSize = 6
)

// longHeaderDCID returns the destination connection ID of a long-header
// packet, sharing the datagram's memory; ok is false for short headers and for
// what is too short or too long.
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
