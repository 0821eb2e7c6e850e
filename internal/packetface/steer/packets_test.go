package steer_test

import (
	"encoding/binary"
	"net/netip"

	"github.com/saltbend/saltbend/platform"
)

// packet returns a packet of a flow, as sent by the flow's caller.
func packet(id platform.Flow, sequence, acknowledged uint32, flags platform.Flags, size int) []byte {
	b := make([]byte, platform.PacketHeaderSize+size)
	binary.BigEndian.PutUint32(b, sequence)
	binary.BigEndian.PutUint32(b[4:], acknowledged)
	binary.BigEndian.PutUint16(b[12:], uint16(size))
	binary.BigEndian.PutUint16(b[14:], id.FacePort)
	copy(b[16:], id.Face[:])
	copy(b[20:], id.Caller[:])
	binary.BigEndian.PutUint16(b[24:], id.CallerPort)
	b[30] = byte(flags)
	return b
}

// reversed returns the flow with its ends exchanged, so that packet returns a packet of
// the upstream.
func reversed(id platform.Flow) platform.Flow {
	return platform.Flow{Caller: id.Face, CallerPort: id.FacePort, Face: id.Caller, FacePort: id.CallerPort}
}

// addrPort returns the face at another port.
func addrPort(port uint16) netip.AddrPort { return netip.AddrPortFrom(face.Addr(), port) }
