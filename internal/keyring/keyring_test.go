package keyring_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/keyring"
)

var (
	hexA = strings.Repeat("0a", keyring.MinSecretBytes)
	hexB = strings.Repeat("0b", keyring.MinSecretBytes)
)

func TestParseErrorDoesNotContainTheSecret(t *testing.T) {
	cases := map[string]string{
		"nothing":      "",
		"no id":        hexA,
		"id too large": "256:" + hexA,
		"negative id":  "-1:" + hexA,
		"not hex":      "1:" + hexA + "zz",
		"too short":    "1:" + hexA[2:],
		"three":        "1:" + hexA + ",2:" + hexB + ",3:" + hexA,
		"id twice":     "1:" + hexA + ",1:" + hexB,
		"empty second": "1:" + hexA + ",",
		"line between": "1:" + hexA + "\n2:" + hexB,
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, err := keyring.Parse(text)
			g.Expect(err).To(HaveOccurred())
			g.Expect(err.Error()).NotTo(ContainSubstring(hexA[2:]))
		})
	}
}

func TestDerivedKeysDifferBySecretAndPurpose(t *testing.T) {
	g := NewWithT(t)
	ring, err := keyring.Parse(fmt.Sprintf(" 1:%s , 2:%s\n", hexA, hexB))
	g.Expect(err).NotTo(HaveOccurred())
	seen := make(map[string]bool)
	purposes := []keyring.Purpose{keyring.PurposeToken, keyring.PurposeEncap, keyring.PurposeTicket, keyring.PurposeReset, keyring.PurposePeer}
	for _, purpose := range purposes {
		keys := ring.Derive(purpose, 32)
		g.Expect([]uint8{keys[0].ID, keys[1].ID}).To(Equal([]uint8{1, 2}))
		for _, key := range keys {
			g.Expect(seen).NotTo(HaveKey(string(key.Bytes)))
			seen[string(key.Bytes)] = true
		}
	}
	other, err := keyring.Parse("7:" + hexB)
	g.Expect(err).NotTo(HaveOccurred())
	same := bytes.Equal(other.Derive(keyring.PurposeToken, 32)[0].Bytes, ring.Derive(keyring.PurposeToken, 32)[1].Bytes)
	g.Expect(same).To(BeTrue(), "the key must not depend on the id")
}

func TestCheckSuccessorOfRequiresAnAcceptedCurrentSecret(t *testing.T) {
	const a, b, c = "1:", "2:", "3:"
	ring := func(ids ...string) *keyring.Ring {
		var entries []string
		for _, id := range ids {
			entries = append(entries, id+hexA+hexB[:2*int(id[0]-'0')])
		}
		r, err := keyring.Parse(strings.Join(entries, ","))
		NewWithT(t).Expect(err).NotTo(HaveOccurred())
		return r
	}
	cases := []struct {
		from, to *keyring.Ring
		allowed  bool
	}{
		{ring(a), ring(a, b), true},
		{ring(a, b), ring(b, a), true},
		{ring(b, a), ring(b), true},
		{ring(b, a), ring(b, c), true},
		{ring(a), ring(a), true},
		{ring(a), ring(b), false},
		{ring(a), ring(b, a), false},
		{ring(a, b), ring(c, a), false},
	}
	for i, tc := range cases {
		g := NewWithT(t)
		err := tc.to.CheckSuccessorOf(tc.from)
		g.Expect(err == nil).To(Equal(tc.allowed), "case %d: %v", i, err)
	}
	other, err := keyring.Parse("1:" + hexB)
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(other.CheckSuccessorOf(ring(a))).To(MatchError(keyring.ErrRotationOrder), "the same id with another secret")
}
