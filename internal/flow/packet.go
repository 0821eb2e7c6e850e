package flow

// Offsets in a QUIC long header that no version changes (RFC 8999).
const (
	longHeaderBit  = 0x80
	dcidLenOffset  = 5
	dcidOffset     = 6
	maxDCID        = 20
	minInitialSize = 1200
)

// longHeaderDCID returns the destination connection ID of a long-header
// packet, sharing the datagram's memory; ok is false for short headers and for
// what is too short or too long. The QUIC library exports no such function.
func longHeaderDCID(datagram []byte) (dcid []byte, ok bool) {
	if len(datagram) <= dcidOffset || datagram[0]&longHeaderBit == 0 {
		return nil, false
	}
	n := int(datagram[dcidLenOffset])
	if n > maxDCID || len(datagram) < dcidOffset+n {
		return nil, false
	}
	return datagram[dcidOffset : dcidOffset+n], true
}
