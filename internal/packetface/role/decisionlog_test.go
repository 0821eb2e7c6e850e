package role

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/packetface/steer"
	"github.com/saltbend/saltbend/platform"
)

// The line of a refusal tells what it was based on; lines beyond the limit are counted.
func TestRefusalsAreLoggedWithTheirReasons(t *testing.T) {
	const refusals = 300
	g := NewWithT(t)
	var out bytes.Buffer
	now := time.Second
	n := newDecisionLog(slog.New(slog.NewTextHandler(&out, nil)), func() time.Duration { return now })
	note := steer.Note{
		Kind: steer.KindReset, Flow: platform.Flow{CallerPort: 1}, Reason: "service-overloaded",
		Age: 40 * time.Millisecond, Bar: 0xfd80, Standing: 0xfd11, Agents: 7,
	}
	for range refusals {
		n.logBalancer([]steer.Note{note})
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	g.Expect(lines[0]).To(And(
		ContainSubstring("reason=service-overloaded"), ContainSubstring("age_ms=40"), ContainSubstring("standing=2/17"),
		ContainSubstring("bar=2/128"), ContainSubstring("agents=7"),
	))
	g.Expect(len(lines)).To(BeNumerically("<=", linesBurst+1))

	out.Reset()
	now += time.Second
	n.logBalancer([]steer.Note{{Kind: steer.KindReset, Reason: "no-route"}})
	g.Expect(out.String()).NotTo(ContainSubstring("standing"))
}
