package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/exit"
	"github.com/saltbend/saltbend/test/packetplatform"
)

func TestPacketValidateExitCodesAndFindings(t *testing.T) {
	g := NewWithT(t)
	site, err := packetplatform.NewSite(t.TempDir())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(site.Store.Close)
	balancer, err := site.Host("front-1", "hall", "")
	g.Expect(err).NotTo(HaveOccurred())
	agent, err := site.Host("side-1", "hall", "results")
	g.Expect(err).NotTo(HaveOccurred())
	cases := []struct {
		name, path, role string
		code             int
		out, err         string
		// findings is the minimum number of findings that are printed.
		findings int
	}{
		{"a balancer's", balancer.Settings, "balancer", exit.OK, "valid for the role balancer: host front-1 in hall", "", 0},
		{"an agent's", agent.Settings, "agent", exit.OK, "valid for the role agent: host side-1 in hall", "", 0},
		{"all findings together", writeSettings(t, "{}"), "balancer", exit.Usage, "", "is missing", 4},
		{"not enough for an agent", balancer.Settings, "agent", exit.Usage, "", "is missing", 3},
		{"no JSON", writeSettings(t, "{\n\n]"), "balancer", exit.Usage, "", "settings.json:3", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var out, errs bytes.Buffer
			g.Expect(run(context.Background(), []string{"packet-validate", "--role", c.role, c.path}, streams{out: &out, err: &errs})).To(Equal(c.code))
			g.Expect(out.String()).To(ContainSubstring(c.out))
			g.Expect(errs.String()).To(ContainSubstring(c.err))
			g.Expect(strings.Count(errs.String(), c.path)).To(BeNumerically(">=", c.findings), errs.String())
			out.Reset()
			g.Expect(run(context.Background(), []string{"packet-validate", "--output", "json", "--role", c.role, c.path}, streams{out: &out, err: &errs})).To(Equal(c.code))
			g.Expect(out.String()).To(ContainSubstring("\"findings\": ["))
		})
	}
}

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
