package explain_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/explain"
)

const (
	balancerLog = `{"time":"2026-03-10T15:00:00Z","level":"INFO","msg":"Starting.","part":"daemon","host":"front-1"}
{"time":"2026-03-10T15:00:01.5Z","msg":"agent-suspected","part":"packet-balancer","agent":"10.0.0.2:1","age_ms":260}
{"time":"2026-03-10T15:00:02Z","msg":"placed","part":"packet-balancer","flow":"100.64.0.1:5>198.18.0.1:443","agent":"10.0.0.2:1","version":7}
{"time":"2026-03-10T15:00:02Z","msg":"placed","part":"packet-balancer","flow":"100.64.0.1:6>198.18.0.1:443","agent":"10.0.0.3:1","version":7}
{"time":"2026-03-10T15:00:09Z","msg":"reset","part":"packet-balancer","flow":"100.64.0.1:5>198.18.0.1:443","reason":"held-by-none"}
{"time":"2026-03-10T15:30:00Z","msg":"agent-state","part":"packet-balancer","agent":"10.0.0.2:1","reason":"ready"}
no JSON`
	agentLog = `  0.1 side-2 {"time":"2026-03-10T15:00:00Z","msg":"Started.","part":"packet-agent","data":"10.0.0.2:1"}
  1.9 side-2 {"time":"2026-03-10T15:00:01.9Z","msg":"opened","part":"packet-agent","flow":"100.64.0.1:5>198.18.0.1:443","balancer":"10.0.0.1:1"}
  8.0 side-2 {"time":"2026-03-10T15:00:08Z","msg":"upstream","part":"packet-agent","reason":"left i-1"}`
)

func readLines(g *WithT, text, name string) []explain.Line {
	lines, _, err := explain.Read(strings.NewReader(text), name)
	g.Expect(err).NotTo(HaveOccurred())
	return lines
}

func TestFlowHistoryMergesLogsOfAllHostsByTime(t *testing.T) {
	g := NewWithT(t)
	_, skipped, err := explain.Read(strings.NewReader(balancerLog), "a.log")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(skipped).To(Equal(1))
	all := append(readLines(g, balancerLog, "a.log"), readLines(g, agentLog, "b.log")...)
	history := explain.FlowHistory(all, "100.64.0.1:5>", 3*time.Second)
	var got []string
	for _, line := range history.Lines {
		got = append(got, line.Host+" "+line.Message)
	}
	g.Expect(got).To(Equal([]string{
		"front-1 Starting.", "side-2 Started.", "front-1 agent-suspected", "side-2 opened", "front-1 placed", "side-2 upstream", "front-1 reset",
	}))
	g.Expect(history.Lines[2].Rest).To(Equal("age_ms=260"))
	g.Expect(history.Skews).To(Equal([]explain.Skew{{Behind: "side-2", Ahead: "front-1", Minimum: 100 * time.Millisecond}}))
}

func TestFlowHistoryIsEmptyForAnUnknownFlow(t *testing.T) {
	g := NewWithT(t)
	g.Expect(explain.FlowHistory(readLines(g, balancerLog, "a"), "9.9.9.9:9", time.Second).Lines).To(BeEmpty())
}

// The flow is reset long after the store was restored from a copy. The balancer decides
// with what it has read since the restore, so the history must include the last restore
// on that host, although it lies outside of the time window; restores on other hosts,
// earlier and later ones must be left out.
func TestFlowHistoryIncludesTheLastRestoreOfTheStore(t *testing.T) {
	g := NewWithT(t)
	restores := `{"time":"2026-03-10T14:00:00Z","msg":"Store came back older.","part":"registry","host":"front-1","as_of":"1/20"}
{"time":"2026-03-10T14:30:00Z","msg":"Store came back older.","part":"registry","as_of":"2/48"}
{"time":"2026-03-10T15:30:00Z","msg":"Store came back older.","part":"registry","as_of":"3/50"}
`
	other := `{"time":"2026-03-10T14:30:00Z","msg":"Store came back older.","part":"registry","host":"front-2","as_of":"2/48"}`
	all := append(readLines(g, restores+balancerLog, "a.log"), readLines(g, other, "c.log")...)
	history := explain.FlowHistory(all, "100.64.0.1:5>", time.Second)
	g.Expect(history.Lines[0].Host).To(Equal("front-1"))
	g.Expect(history.Lines[0].Rest).To(Equal("as_of=2/48"))
	g.Expect(history.Lines[1].Message).NotTo(HavePrefix("Store came back"))
}
