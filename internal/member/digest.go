package member

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// DigestBuckets is the number of buckets of a digest. More buckets make the
// digest longer, but the exchange of records after a difference shorter.
const DigestBuckets = 256

// Digest summarises the members that are not gone: for each bucket, the exclusive
// or of their record hashes. Two tables with equal digests hold the same records,
// except with a probability of 2^-32 per bucket. Tombstones are not included, so
// balancers need not agree on when they expire.
type Digest struct {
	buckets [DigestBuckets]uint32
}

// toggle adds the record to the digest, or removes it if it was added before.
func (d *Digest) toggle(m Member) {
	d.buckets[bucketOf(m.Control)] ^= recordHash(m)
}

// Root returns one hash over all buckets.
func (d *Digest) Root() uint64 {
	var raw [4 * DigestBuckets]byte
	for i, b := range d.buckets {
		binary.BigEndian.PutUint32(raw[4*i:], b)
	}
	return xxhash.Sum64(raw[:])
}

// Buckets returns a copy of the bucket hashes.
func (d *Digest) Buckets() []uint32 {
	out := d.buckets
	return out[:]
}

// DifferingBuckets returns the indices of the buckets that differ from those of
// another digest; all of them if the other digest has a different number of
// buckets.
func (d *Digest) DifferingBuckets(other []uint32) []int {
	var out []int
	for i, b := range d.buckets {
		if len(other) != DigestBuckets || other[i] != b {
			out = append(out, i)
		}
	}
	return out
}

func bucketOf(control netip.AddrPort) int {
	return int(hashAddr(control) % DigestBuckets)
}

// hashAddr hashes an address without allocating memory.
func hashAddr(a netip.AddrPort) uint64 {
	var raw [18]byte
	ip := a.Addr().As16()
	copy(raw[:16], ip[:])
	binary.BigEndian.PutUint16(raw[16:], a.Port())
	return xxhash.Sum64(raw[:])
}

func recordHash(m Member) uint32 {
	var raw [25]byte
	binary.BigEndian.PutUint64(raw[0:], hashAddr(m.Control))
	binary.BigEndian.PutUint64(raw[8:], m.Incarnation)
	binary.BigEndian.PutUint64(raw[16:], m.Version)
	raw[24] = byte(m.State)
	return uint32(xxhash.Sum64(raw[:]))
}
