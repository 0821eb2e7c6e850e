package datapath

import (
	"encoding/binary"
	"net/netip"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/encap"
	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/quicid"
	"github.com/saltbend/saltbend/internal/token"
)

const (
	testSecrets    = "2:f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff,1:000102030405060708090a0b0c0d0e0f"
	otherSecrets   = "2:0f0e0d0c0b0a09080706050403020100"
	oldSecrets     = "1:000102030405060708090a0b0c0d0e0f"
	expiredSecrets = "9:000102030405060708090a0b0c0d0e0f"
)

// Offsets of the destination connection ID and its length, in bytes.
const (
	shortIDAt      = 1
	longIDLengthAt = 5
	longIDAt       = 6
)

var (
	results = config.TagOf("results")
	intake  = config.TagOf("intake")
	agent1  = netip.MustParseAddrPort("127.0.0.1:7001")
)

func testKeys(t testing.TB, secrets string) *Keys {
	t.Helper()
	ring, err := keyring.Parse(secrets)
	if err != nil {
		t.Fatal(err)
	}
	return NewKeys(ring)
}

// shortPacket returns a short-header packet of n bytes whose connection ID is a
// token of the service.
func shortPacket(k *Keys, service config.Tag, agent netip.AddrPort, n int) []byte {
	b := make([]byte, n)
	b[0] = fixedBit
	k.Tokens.Seal(b[1:1+token.Size], token.Token{Agent: agent, Service: service})
	return b
}

// longPacket returns a long-header packet of n bytes with the destination
// connection ID.
func longPacket(first byte, version uint32, id []byte, n int) []byte {
	b := make([]byte, n)
	b[0] = quicid.LongHeader | first
	binary.BigEndian.PutUint32(b[1:], version)
	b[longIDLengthAt] = byte(len(id))
	copy(b[longIDAt:], id)
	return b
}

func TestClassify(t *testing.T) {
	k := testKeys(t, testSecrets)
	face := &Face{Service: results, FormerServices: []config.Tag{config.TagOf("standings"), config.TagOf("archive")}}
	old, expired, other := testKeys(t, oldSecrets), testKeys(t, expiredSecrets), testKeys(t, otherSecrets)
	sealed := shortPacket(k, results, agent1, 60)[1 : 1+token.Size]
	foreign := shortPacket(k, intake, agent1, 60)[1 : 1+token.Size]
	id := []byte("12345678")
	for _, tc := range []struct {
		name string
		in   []byte
		drop Reason
		flow bool
	}{
		{"token", shortPacket(k, results, agent1, 60), None, true},
		{"token of the previous secret", shortPacket(old, results, agent1, 60), None, true},
		{"token of a former service", shortPacket(k, config.TagOf("archive"), agent1, 60), None, true},
		{"token alone", shortPacket(k, results, agent1, 1+token.Size), None, true},
		{"token in a long header", longPacket(fixedBit|0x20, version1, sealed, 60), None, true},
		{"token of another service", shortPacket(k, intake, agent1, 60), OtherService, false},
		{"token of an expired secret", shortPacket(expired, results, agent1, 60), UnknownKey, false},
		{"token of another fleet", shortPacket(other, results, agent1, 60), Forged, false},
		{"empty", nil, Truncated, false},
		{"one byte", []byte{fixedBit}, Truncated, false},
		{"truncated token", shortPacket(k, results, agent1, 60)[:token.Size], Truncated, false},
		{"truncated long header", longPacket(fixedBit, version1, id, 1200)[:longIDAt-1], Truncated, false},
		{"truncated long-header ID", longPacket(fixedBit, version1, id, 1200)[:longIDAt+2], Truncated, false},
		{"oversized", shortPacket(k, results, agent1, encap.MaxPayload+1), Oversized, false},
		{"largest", shortPacket(k, results, agent1, encap.MaxPayload), None, true},
		{"Initial of version 1", longPacket(fixedBit, version1, id, 1200), None, false},
		{"Initial of version 2", longPacket(fixedBit|initialVersion2, version2, id, 1200), None, false},
		{"unknown version", longPacket(0, 0x1a2a3a4a, id, 1200), None, false},
		{"Initial with another service's token", longPacket(fixedBit, version1, foreign, 1200), None, false},
		{"small Initial", longPacket(fixedBit, version1, id, 1199), SmallInitial, false},
		{"Initial with a short ID", longPacket(fixedBit, version1, id[:7], 1200), NotInitial, false},
		{"Initial with a long ID", longPacket(fixedBit, version1, make([]byte, 21), 1200), NotInitial, false},
		{"Initial without the fixed bit", longPacket(0, version1, id, 1200), NotInitial, false},
		{"0-RTT", longPacket(fixedBit|0x10, version1, id, 1200), NotInitial, false},
		{"Handshake", longPacket(fixedBit|0x20, version1, id, 1200), NotInitial, false},
		{"version negotiation", longPacket(0, versionNegotiation, id, 1200), NotInitial, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := NewWithT(t)
			v := classify(tc.in, face, k.Tokens)
			g.Expect(v.drop).To(Equal(tc.drop), v.drop.String())
			g.Expect(v.agent.IsValid()).To(Equal(tc.flow))
			if tc.flow {
				g.Expect(v.agent).To(Equal(agent1))
			}
			if tc.drop == None {
				g.Expect(face.accepts(v.service)).To(BeTrue())
			}
		})
	}
}

func TestEachReasonHasAUniqueLabel(t *testing.T) {
	seen := make(map[string]bool)
	for r := range reasonCount {
		NewWithT(t).Expect(seen[r.String()] || r.String() == "").To(BeFalse(), "%d", r)
		seen[r.String()] = true
	}
}

func FuzzClassify(f *testing.F) {
	k := testKeys(f, testSecrets)
	face := &Face{Service: results, FormerServices: []config.Tag{intake}}
	f.Add(shortPacket(k, results, agent1, 60))
	f.Add(shortPacket(k, intake, agent1, 21))
	f.Add(longPacket(fixedBit, version1, []byte("12345678"), 1200))
	f.Add(longPacket(fixedBit|initialVersion2, version2, make([]byte, 20), 1200))
	f.Add(longPacket(0, 0x1a2a3a4a, make([]byte, 255), 300))
	f.Add([]byte{quicid.LongHeader, 0, 0, 0, 1, 255})
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		v := classify(b, face, k.Tokens)
		switch {
		case v.drop >= reasonCount:
			t.Fatalf("unknown drop reason %d", v.drop)
		case v.drop != None:
			return
		case v.agent.IsValid() && len(b) < 1+token.Size:
			t.Fatal("datagram shorter than a token was classified as an open flow")
		case !v.agent.IsValid() && (len(b) < minInitial || len(v.id) < minInitialID || len(v.id) > token.Size):
			t.Fatalf("datagram of %d bytes with an ID of %d bytes was classified as a new flow", len(b), len(v.id))
		}
		flowKey(agent1, v.id)
	})
}
