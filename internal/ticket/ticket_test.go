package ticket

import (
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/keyring"
)

const (
	secretOne = "1:000102030405060708090a0b0c0d0e0f"
	secretTwo = "2:f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff"
)

func codec(t *testing.T, secrets string) *Codec {
	t.Helper()
	ring, err := keyring.Parse(secrets)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	return NewCodec(ring)
}

func drawTicket(t *rapid.T) Ticket {
	ip := netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, "ip")))
	if rapid.Bool().Draw(t, "v6") {
		ip = netip.MustParseAddr("2001:db8::7")
	}
	return Ticket{
		Home:        netip.AddrPortFrom(ip, rapid.Uint16().Draw(t, "port")),
		Incarnation: rapid.Uint64().Draw(t, "incarnation"),
		Service:     config.Tag(rapid.Uint32().Draw(t, "service")),
		Nonce:       rapid.Uint64().Draw(t, "nonce"),
	}
}

func TestCodecOpensOnlyUnchangedTickets(t *testing.T) {
	c := codec(t, secretOne)
	rapid.Check(t, func(t *rapid.T) {
		want := drawTicket(t)
		text := c.Seal(want)
		got, err := c.Open(text, want.Service)
		if err != nil || got != want {
			t.Fatalf("got %v, %v, want %v", got, err, want)
		}
		if _, err := c.Open(text, want.Service+1); err != ErrService {
			t.Fatalf("opening a ticket of another service returned %v, want ErrService", err)
		}
		at := rapid.IntRange(0, len(text)-1).Draw(t, "at")
		with := rapid.SampledFrom([]byte("AZaz09-_=. ")).Draw(t, "with")
		if changed := text[:at] + string(with) + text[at+1:]; changed != text {
			if _, err := c.Open(changed, want.Service); err == nil {
				t.Fatalf("opened a ticket with a changed character: %s", changed)
			}
		}
	})
}

func TestCodecDuringRotation(t *testing.T) {
	g := NewWithT(t)
	ticket := Ticket{Home: netip.MustParseAddrPort("127.0.0.1:7"), Service: 3}
	before, during, after := codec(t, secretOne), codec(t, secretTwo+","+secretOne), codec(t, secretTwo)
	_, err := during.Open(before.Seal(ticket), 3)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = after.Open(during.Seal(ticket), 3)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = after.Open(before.Seal(ticket), 3)
	g.Expect(err).To(Equal(ErrKey))
	_, err = codec(t, "1:"+secretTwo[2:]).Open(before.Seal(ticket), 3)
	g.Expect(err).To(Equal(ErrForged))
}

func TestDigestSeparatesMethodTargetAndBody(t *testing.T) {
	g := NewWithT(t)
	g.Expect(DigestOf("POST", "/a", []byte("bc"))).NotTo(Equal(DigestOf("POST", "/ab", []byte("c"))))
	g.Expect(DigestOf("POST", "/a", nil)).NotTo(Equal(DigestOf("PUT", "/a", nil)))
	g.Expect(DigestOf("POST", "/a", nil)).To(Equal(DigestOf("POST", "/a", []byte{})))
}
