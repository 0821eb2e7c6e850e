package main

import (
	"bytes"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/exit"
	"github.com/saltbend/saltbend/internal/packetface/policy"
)

func TestWrongPartFlagsAreFoundTogetherWithOtherFindings(t *testing.T) {
	g := NewWithT(t)
	t.Setenv("SALTBEND_SERVICE_LEVEL", "never")
	var out, errs bytes.Buffer
	args := []string{"packet-agent", "--settings", t.TempDir() + "/none", "--held-openings", "on", "--without", "no-such"}
	g.Expect(run(args, streams{out: &out, err: &errs}, nil)).To(Equal(exit.Usage))
	g.Expect(errs.String()).To(And(
		ContainSubstring("--settings"), ContainSubstring(`--without (SALTBEND_WITHOUT): "no-such"`),
		ContainSubstring(`--held-openings (SALTBEND_HELD_OPENINGS): "on" is neither "auto" nor "off"`),
		ContainSubstring(`--service-level (SALTBEND_SERVICE_LEVEL): "never" is neither "auto" nor "off"`),
	))
}

func TestPartSwitchedOffEqualsWithoutItsPolicy(t *testing.T) {
	parts := []string{string(policy.HeldOpenings), string(policy.ServiceLevel)}
	for _, name := range parts {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for _, args := range [][]string{{"--" + name, partOff}, {"--without", name}, {"--" + name, partOff, "--without", name}} {
				chosen, code := parse(append([]string{"packet-balancer"}, args...), streams{out: &bytes.Buffer{}, err: &bytes.Buffer{}})
				g.Expect(code).To(Equal(exit.OK))
				policies, unknown := chosen.packetSettings.policies()
				g.Expect(unknown).To(BeEmpty())
				g.Expect(policies.Off()).To(Equal(name))
			}
		})
	}
}

func TestPartsAreOnByDefault(t *testing.T) {
	g := NewWithT(t)
	chosen, _ := parse([]string{"packet-agent"}, streams{out: &bytes.Buffer{}, err: &bytes.Buffer{}})
	policies, _ := chosen.packetSettings.policies()
	g.Expect(policies.Off()).To(BeEmpty())
}
