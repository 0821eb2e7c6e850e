package encap_test

import (
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/encap"
	"github.com/saltbend/saltbend/internal/keyring"
)

const (
	oldSecret = "1:000102030405060708090a0b0c0d0e0f"
	newSecret = "2:f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff"
)

func codec(t testing.TB, secrets string) *encap.Codec {
	t.Helper()
	ring, err := keyring.Parse(secrets)
	if err != nil {
		t.Fatal(err)
	}
	return encap.NewCodec(ring)
}

func sample() encap.Header {
	return encap.Header{
		Kind:     encap.KindForward,
		Caller:   netip.MustParseAddrPort("127.0.0.1:4001"),
		Face:     netip.MustParseAddrPort("192.0.2.10:443"),
		Service:  config.TagOf("results"),
		Revision: 7,
		Balancer: netip.MustParseAddrPort("127.0.0.2:9000"),
	}
}

func anyAddr(t *rapid.T, label string) netip.AddrPort {
	ip := [4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, label+" ip"))
	port := rapid.Uint16Range(1, 65535).Draw(t, label+" port")
	return netip.AddrPortFrom(netip.AddrFrom4(ip), port)
}

func TestEncodedHeaderDecodesToTheSameValue(t *testing.T) {
	c := codec(t, newSecret)
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		h := encap.Header{
			Kind:     encap.Kind(rapid.IntRange(1, 5).Draw(t, "kind")),
			Caller:   anyAddr(t, "caller"),
			Face:     anyAddr(t, "face"),
			Service:  config.Tag(rapid.Uint32().Draw(t, "service")),
			Revision: rapid.Uint64().Draw(t, "revision"),
			Balancer: anyAddr(t, "balancer"),
		}
		wire := append(make([]byte, encap.HeaderSize), "payload"...)
		g.Expect(c.Encode(wire, &h)).To(Succeed())
		got, payload, err := c.Clone().Decode(wire)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(h))
		g.Expect(string(payload)).To(Equal("payload"))
	})
}

func TestHeaderWithAnyFlippedBitIsRejected(t *testing.T) {
	g := NewWithT(t)
	c, h := codec(t, newSecret), sample()
	wire := make([]byte, encap.HeaderSize)
	g.Expect(c.Encode(wire, &h)).To(Succeed())
	for bit := range encap.HeaderSize * 8 {
		wire[bit/8] ^= 1 << (bit % 8)
		_, _, err := c.Decode(wire)
		g.Expect(err).To(HaveOccurred(), "bit %d", bit)
		wire[bit/8] ^= 1 << (bit % 8)
	}
}

func TestRotationAcceptsThePreviousSecret(t *testing.T) {
	g := NewWithT(t)
	before, after := codec(t, oldSecret), codec(t, newSecret+","+oldSecret)
	h := sample()
	wire := make([]byte, encap.HeaderSize)
	g.Expect(before.Encode(wire, &h)).To(Succeed())
	_, _, err := after.Decode(wire)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(after.Encode(wire, &h)).To(Succeed())
	_, _, err = before.Decode(wire)
	g.Expect(err).To(MatchError(encap.ErrKey))
}

func TestInvalidHeadersReturnTheirErrors(t *testing.T) {
	c, h := codec(t, newSecret), sample()
	wire := func(change func([]byte)) []byte {
		b := make([]byte, encap.HeaderSize)
		if err := c.Encode(b, &h); err != nil {
			t.Fatal(err)
		}
		change(b)
		return b
	}
	for name, tc := range map[string]struct {
		in   []byte
		want error
	}{
		"short":   {wire(func([]byte) {})[:encap.HeaderSize-1], encap.ErrShort},
		"empty":   {nil, encap.ErrShort},
		"version": {wire(func(b []byte) { b[0] += 1 << 4 }), encap.ErrVersion},
		"kind":    {wire(func(b []byte) { b[0] = encap.Version << 4 }), encap.ErrKind},
		"key":     {wire(func(b []byte) { b[1]++ }), encap.ErrKey},
		"forged":  {wire(func(b []byte) { b[5]++ }), encap.ErrForged},
	} {
		_, _, err := c.Decode(tc.in)
		NewWithT(t).Expect(err).To(MatchError(tc.want), name)
	}
	g := NewWithT(t)
	g.Expect(c.Encode(make([]byte, 3), &h)).To(MatchError(encap.ErrShort))
	h.Caller = netip.MustParseAddrPort("[2001:db8::1]:1")
	g.Expect(c.Encode(make([]byte, encap.HeaderSize), &h)).To(MatchError(encap.ErrAddress))
	h.Kind = 0
	g.Expect(c.Encode(make([]byte, encap.HeaderSize), &h)).To(MatchError(encap.ErrKind))
}

func TestEncodeAndDecodeDoNotAllocate(t *testing.T) {
	c, h := codec(t, newSecret), sample()
	wire := make([]byte, encap.HeaderSize)
	allocs := testing.AllocsPerRun(100, func() {
		_ = c.Encode(wire, &h)
		_, _, _ = c.Decode(wire)
	})
	NewWithT(t).Expect(allocs).To(BeZero())
}

func FuzzDecode(f *testing.F) {
	c, h := codec(f, newSecret), sample()
	good := make([]byte, encap.HeaderSize+20)
	if err := c.Encode(good, &h); err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add(good[:encap.HeaderSize])
	f.Add(good[:encap.HeaderSize-1])
	f.Add([]byte{})
	f.Add(make([]byte, 2*encap.HeaderSize))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, payload, err := c.Decode(b)
		if err != nil {
			return
		}
		if len(payload) != len(b)-encap.HeaderSize {
			t.Fatalf("payload of %d bytes decoded from a datagram of %d bytes", len(payload), len(b))
		}
		again := make([]byte, encap.HeaderSize)
		if err := c.Encode(again, &h); err != nil {
			t.Fatal(err)
		}
		if string(again) != string(b[:encap.HeaderSize]) {
			t.Fatal("encoding an accepted header again gave different bytes")
		}
	})
}

func BenchmarkHeader(b *testing.B) {
	c, h := codec(b, newSecret), sample()
	wire := make([]byte, encap.HeaderSize)
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_ = c.Encode(wire, &h)
		}
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _, _ = c.Decode(wire)
		}
	})
}
