package policy_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/policy"
)

func TestAllDecisionsAreOnUnlessSwitchedOff(t *testing.T) {
	g := NewWithT(t)
	for _, name := range policy.Names() {
		g.Expect(policy.Set{}.On(policy.Name(name))).To(BeTrue())
		s, unknown := policy.Without([]string{" " + name})
		g.Expect(unknown).To(BeEmpty())
		g.Expect(s.On(policy.Name(name))).To(BeFalse())
		g.Expect(s.Off()).To(Equal(name))
	}
}

func TestUnknownNamesAreReturned(t *testing.T) {
	g := NewWithT(t)
	s, unknown := policy.Without([]string{"no-such", policy.Names()[0], ""})
	g.Expect(unknown).To(Equal([]string{"no-such", ""}))
	g.Expect(s.Off()).To(Equal(policy.Names()[0]))
}
