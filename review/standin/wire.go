package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Flags and layout of a packet, as PROTOCOL.md gives them.
const (
	flagACK     = 1
	flagBounced = 2
	flagFIN     = 16
	flagRST     = 32
	flagSYN     = 128

	headSize = 31
	maxData  = 1200
)

// packet is one packet of a flow.
type packet struct {
	src, dst     netip.Addr
	sport, dport uint16
	seq, ack     uint32
	sum          uint32
	flags        byte
	data         []byte
}

// sumKey keys the sum of packets; only clients and backends know it.
const sumKey = "stand-in"

// keyedSum returns the sum over all fields but echo, pad and BOUNCED.
func (p *packet) keyedSum() uint32 {
	h := fnv.New32a()
	b := p.encodeWith(0)
	b[30] &^= flagBounced
	h.Write([]byte(sumKey))
	h.Write(b)
	return h.Sum32()
}

func (p *packet) encodeWith(sum uint32) []byte {
	b := make([]byte, headSize+len(p.data))
	binary.BigEndian.PutUint32(b[0:], p.seq)
	binary.BigEndian.PutUint32(b[4:], p.ack)
	binary.BigEndian.PutUint32(b[8:], sum)
	binary.BigEndian.PutUint16(b[12:], uint16(len(p.data)))
	binary.BigEndian.PutUint16(b[14:], p.dport)
	src, dst := p.src.As4(), p.dst.As4()
	copy(b[16:], dst[:])
	copy(b[20:], src[:])
	binary.BigEndian.PutUint16(b[24:], p.sport)
	b[30] = p.flags
	copy(b[headSize:], p.data)
	return b
}

// encode returns the packet with its sum.
func (p *packet) encode() []byte { return p.encodeWith(p.keyedSum()) }

// decode parses a packet; ok is false if b is none.
func decode(b []byte) (p packet, ok bool) {
	if len(b) < headSize || len(b) != headSize+int(binary.BigEndian.Uint16(b[12:])) {
		return packet{}, false
	}
	return packet{
		seq: binary.BigEndian.Uint32(b[0:]), ack: binary.BigEndian.Uint32(b[4:]), sum: binary.BigEndian.Uint32(b[8:]),
		dport: binary.BigEndian.Uint16(b[14:]), dst: netip.AddrFrom4([4]byte(b[16:])), src: netip.AddrFrom4([4]byte(b[20:])),
		sport: binary.BigEndian.Uint16(b[24:]), flags: b[30], data: append([]byte(nil), b[headSize:]...),
	}, true
}

// intact reports whether the packet is as its sender wrote it.
func (p *packet) intact() bool { return p.sum == p.keyedSum() }

// end is one end of a flow.
type end struct {
	addr netip.Addr
	port uint16
}

// flowID names a flow by the client's end and the route's address and port.
type flowID struct{ client, route end }
