package packetplatform

import "encoding/binary"

// Flags of a packet, as the platform's page gives them.
const (
	ack     = 1
	bounced = 2
	fin     = 16
	rst     = 32
	syn     = 128

	headSize = 31
)

// end is one end of a flow.
type end struct {
	ip   [4]byte
	port uint16
}

// packet is a packet of the platform.
type packet struct {
	from, to end
	seq, ack uint32
	flags    byte
	data     []byte
}

func (p *packet) encode() []byte {
	b := make([]byte, headSize+len(p.data))
	binary.BigEndian.PutUint32(b, p.seq)
	binary.BigEndian.PutUint32(b[4:], p.ack)
	binary.BigEndian.PutUint32(b[8:], 0x5eed) // the sum is never checked here
	binary.BigEndian.PutUint16(b[12:], uint16(len(p.data)))
	binary.BigEndian.PutUint16(b[14:], p.to.port)
	copy(b[16:], p.to.ip[:])
	copy(b[20:], p.from.ip[:])
	binary.BigEndian.PutUint16(b[24:], p.from.port)
	b[30] = p.flags
	copy(b[headSize:], p.data)
	return b
}

// decode returns a packet; ok is false if b is none.
func decode(b []byte) (p packet, ok bool) {
	if len(b) < headSize || len(b) != headSize+int(binary.BigEndian.Uint16(b[12:])) {
		return packet{}, false
	}
	return packet{
		from: end{ip: [4]byte(b[20:]), port: binary.BigEndian.Uint16(b[24:])},
		to:   end{ip: [4]byte(b[16:]), port: binary.BigEndian.Uint16(b[14:])},
		seq:  binary.BigEndian.Uint32(b), ack: binary.BigEndian.Uint32(b[4:]),
		flags: b[30], data: append([]byte(nil), b[headSize:]...),
	}, true
}
