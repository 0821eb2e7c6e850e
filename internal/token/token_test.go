package token_test

import (
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/token"
)

const (
	oldSecret = "1:000102030405060708090a0b0c0d0e0f"
	newSecret = "2:f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff"
)

func codec(t testing.TB, secrets string) *token.Codec {
	t.Helper()
	ring, err := keyring.Parse(secrets)
	if err != nil {
		t.Fatal(err)
	}
	return token.NewCodec(ring)
}

func sample() token.Token {
	return token.Token{
		Agent:       netip.MustParseAddrPort("127.0.0.1:7001"),
		Service:     config.TagOf("results"),
		Incarnation: token.IncarnationTag(1),
		Nonce:       0xABCDEF,
	}
}

func TestSealedTokenOpensToTheSameValue(t *testing.T) {
	c := codec(t, newSecret)
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		ip := [4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip"))
		want := token.Token{
			Agent:       netip.AddrPortFrom(netip.AddrFrom4(ip), rapid.Uint16().Draw(t, "port")),
			Service:     config.Tag(rapid.Uint32().Draw(t, "service")),
			Incarnation: rapid.Uint16().Draw(t, "incarnation"),
			Nonce:       rapid.Uint32Range(0, 1<<24-1).Draw(t, "nonce"),
		}
		id := make([]byte, token.Size)
		c.Seal(id, want)
		got, err := c.Clone().Open(id, want.Service)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got).To(Equal(want))
		other := want.Service ^ config.Tag(rapid.Uint32Range(1, 1<<32-1).Draw(t, "difference"))
		_, err = c.Open(id, other)
		g.Expect(err).To(HaveOccurred(), "a face of another service accepted the token")
	})
}

func TestTokenWithAnyFlippedBitIsRejected(t *testing.T) {
	g := NewWithT(t)
	c, want := codec(t, newSecret), sample()
	id := make([]byte, token.Size)
	c.Seal(id, want)
	for bit := range token.Size * 8 {
		id[bit/8] ^= 1 << (bit % 8)
		_, err := c.Open(id, want.Service)
		g.Expect(err).To(HaveOccurred(), "bit %d", bit)
		id[bit/8] ^= 1 << (bit % 8)
	}
}

func TestRotationAcceptsThePreviousSecret(t *testing.T) {
	g := NewWithT(t)
	before, after := codec(t, oldSecret), codec(t, newSecret+","+oldSecret)
	id := make([]byte, token.Size)
	before.Seal(id, sample())
	_, err := after.Open(id, sample().Service)
	g.Expect(err).NotTo(HaveOccurred())
	after.Seal(id, sample())
	_, err = before.Open(id, sample().Service)
	g.Expect(err).To(MatchError(token.ErrKey))
	_, err = after.Open(id[:token.Size-1], sample().Service)
	g.Expect(err).To(MatchError(token.ErrLength))
}

func FuzzOpen(f *testing.F) {
	c := codec(f, newSecret+","+oldSecret)
	id := make([]byte, token.Size)
	c.Seal(id, sample())
	f.Add(id, uint32(sample().Service))
	f.Add(id, uint32(0))
	f.Add(id[:token.Size-1], uint32(sample().Service))
	f.Add([]byte{}, uint32(1))
	f.Fuzz(func(t *testing.T, b []byte, service uint32) {
		got, err := c.Open(b, config.Tag(service))
		if err != nil {
			return
		}
		again := make([]byte, token.Size)
		c.Seal(again, got)
		// Seal uses the current secret, so a token of the previous secret can't be
		// reproduced.
		if again[0] == b[0] && string(again) != string(b) {
			t.Fatal("sealing an accepted token again gave different bytes")
		}
	})
}

func BenchmarkOpen(b *testing.B) {
	c := codec(b, newSecret)
	id := make([]byte, token.Size)
	c.Seal(id, sample())
	service := sample().Service
	b.ReportAllocs()
	for b.Loop() {
		_, _ = c.Open(id, service)
	}
}
