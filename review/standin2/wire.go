package main

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
	"net/netip"
)

// Flags of a packet.
const (
	flagACK     = 1
	flagBounced = 2
	flagFIN     = 16
	flagRST     = 32
	flagSYN     = 128
)

// headerSize is the size of a packet's header.
const headerSize = 31

// packet is a packet of a flow: SYN, data, FIN or RST.
type packet struct {
	seq, ack uint32
	src, dst netip.AddrPort
	flags    byte
	data     []byte
}

// errPacket is returned for bytes that are no packet.
var errPacket = errors.New("not a packet")

// sumOf is the keyed sum over all fields except echo, pad and the bounced flag. The key is
// known to the stand-ins of clients and backends only.
func sumOf(b []byte) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte("key of the two ends"))
	_, _ = h.Write(b[0:8])
	_, _ = h.Write(b[12:26])
	_, _ = h.Write([]byte{b[30] &^ flagBounced})
	_, _ = h.Write(b[headerSize:])
	return h.Sum32() | 1 // never 0, which is the sum of the system's own resets
}

// encode returns the packet as its sender writes it.
func (p *packet) encode() []byte {
	b := make([]byte, headerSize, headerSize+len(p.data))
	binary.BigEndian.PutUint32(b[0:], p.seq)
	binary.BigEndian.PutUint32(b[4:], p.ack)
	binary.BigEndian.PutUint16(b[12:], uint16(len(p.data)))
	binary.BigEndian.PutUint16(b[14:], p.dst.Port())
	dst, src := p.dst.Addr().As4(), p.src.Addr().As4()
	copy(b[16:], dst[:])
	copy(b[20:], src[:])
	binary.BigEndian.PutUint16(b[24:], p.src.Port())
	b[30] = p.flags
	b = append(b, p.data...)
	binary.BigEndian.PutUint32(b[8:], sumOf(b))
	return b
}

// decode returns the packet, and whether its sum shows that an end of the flow wrote it.
func decode(b []byte) (p packet, genuine bool, err error) {
	if len(b) < headerSize || len(b) != headerSize+int(binary.BigEndian.Uint16(b[12:])) {
		return packet{}, false, errPacket
	}
	p = packet{
		seq: binary.BigEndian.Uint32(b[0:]), ack: binary.BigEndian.Uint32(b[4:]),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[16:20])), binary.BigEndian.Uint16(b[14:])),
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[20:24])), binary.BigEndian.Uint16(b[24:])),
		flags: b[30], data: append([]byte(nil), b[headerSize:]...),
	}
	return p, binary.BigEndian.Uint32(b[8:]) == sumOf(b), nil
}

// isReset reports whether the bytes are a reset of the system's own: an RST with no data
// and the sum 0.
func isReset(b []byte) bool {
	return len(b) == headerSize && b[30] == flagRST && binary.BigEndian.Uint32(b[8:]) == 0
}
