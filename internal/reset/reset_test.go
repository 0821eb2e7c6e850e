package reset

import (
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/keyring"
)

var (
	agentA = netip.MustParseAddrPort("10.0.0.1:7000")
	agentB = netip.MustParseAddrPort("10.0.0.2:7000")
)

func keys(t *testing.T, secrets string) *Keys {
	t.Helper()
	ring, err := keyring.Parse(secrets)
	if err != nil {
		t.Fatal(err)
	}
	return NewKeys(ring)
}

func TestKeyDependsOnlyOnSecretAndAddress(t *testing.T) {
	g := NewWithT(t)
	const secrets = "1:000102030405060708090a0b0c0d0e0f"
	g.Expect(keys(t, secrets).Key(agentA)).To(Equal(keys(t, secrets).Key(agentA)))
	g.Expect(keys(t, secrets).Key(agentA)).NotTo(Equal(keys(t, secrets).Key(agentB)))
}

func TestPacketsCarryOneResetTokenPerSecret(t *testing.T) {
	g := NewWithT(t)
	const long = 1200
	id := []byte("id")
	both := keys(t, "2:f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff,1:000102030405060708090a0b0c0d0e0f")
	old := keys(t, "1:000102030405060708090a0b0c0d0e0f")
	tokenOf := func(p []byte) string { return string(p[len(p)-TokenSize:]) }
	first, again := both.Packets(agentA, id, long), both.Packets(agentA, id, long)
	g.Expect(first).To(HaveLen(2))
	for i, p := range first {
		g.Expect(p).To(HaveLen(MaxPacket))
		g.Expect(p[0]&0xc0).To(Equal(byte(0x40)), "want a short header with the fixed bit")
		g.Expect(tokenOf(p)).To(Equal(tokenOf(again[i])))
		g.Expect(p).NotTo(Equal(again[i]), "the bytes before the token must be random")
	}
	for _, trigger := range []int{MinTrigger, MaxPacket, MaxPacket + 1} {
		for _, p := range both.Packets(agentA, id, trigger) {
			g.Expect(p).To(HaveLen(trigger - 1))
		}
	}
	g.Expect(tokenOf(first[1])).To(Equal(tokenOf(old.Packets(agentA, id, long)[0])))
	g.Expect(tokenOf(first[0])).NotTo(Equal(tokenOf(first[1])))
	g.Expect(tokenOf(first[0])).NotTo(Equal(tokenOf(both.Packets(agentA, []byte("di"), long)[0])))
	g.Expect(tokenOf(first[0])).NotTo(Equal(tokenOf(both.Packets(agentB, id, long)[0])))
}
