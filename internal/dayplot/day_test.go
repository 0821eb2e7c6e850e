package dayplot_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/dayplot"
)

const (
	benchDay = `{"windows": [{"name": "0", "in_aim": 90, "late": 5}, {"name": "2", "in_aim": 50, "refused": 3, "failed": 7}],
		"events": [{"at_s": 1.5, "to_s": 2.5, "kind": "node_kill", "what": "front-1 <script>"}], "breaks": {"FLOW": 2}}`
	soakLine = `{"Seed": 7, "Faults": [{"At": 500000000, "For": 1000000000, "Kind": "kill-agent", "Target": 3}],
"Seconds": [{"Answered": 10, "Late": 1}, {"Answered": 8, "Reset": 2, "TimedOut": 1}], "Findings": ["a"], "Late": ["b"]}`
)

func TestReadAndWriteBenchAndSoakReports(t *testing.T) {
	g := NewWithT(t)
	days, err := dayplot.Read("day.json", strings.NewReader(benchDay))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(days).To(HaveLen(1))
	g.Expect(days[0].Step).To(Equal(2 * time.Second))
	g.Expect(days[0].Windows[1]).To(Equal(dayplot.Window{At: 2 * time.Second, Served: 50, Refused: 3, Failed: 7}))
	g.Expect(days[0].Marks[0].From).To(Equal(1500 * time.Millisecond))
	g.Expect(days[0].Findings).To(ConsistOf("FLOW: 2"))

	line := strings.ReplaceAll(soakLine, "\n", " ")
	soaked, err := dayplot.Read("soak.jsonl", strings.NewReader(line+"\n"+line+"\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(soaked).To(HaveLen(2))
	g.Expect(soaked[1].Title).To(Equal("seed 7"))
	g.Expect(soaked[1].Windows[0]).To(Equal(dayplot.Window{Served: 9, Late: 1}))
	g.Expect(soaked[1].Marks[0].To).To(Equal(1500 * time.Millisecond))
	g.Expect(soaked[1].Findings).To(Equal([]string{"a", "b"}))

	var page bytes.Buffer
	g.Expect(dayplot.Write(&page, append(days, soaked...))).To(Succeed())
	g.Expect(page.String()).To(ContainSubstring("<svg"))
	g.Expect(page.String()).To(ContainSubstring("140 served, 5 late, 3 refused, 7 failed"))
	g.Expect(page.String()).NotTo(ContainSubstring("<script>"), "text of a report must be escaped")
	g.Expect(page.String()).NotTo(MatchRegexp(`(src|href)="http`), "the page must not load other resources")
}

func TestReadRejectsTextsThatAreNotReports(t *testing.T) {
	for _, text := range []string{"", "{}", "[1]", `{"windows": []}`, "{\n"} {
		_, err := dayplot.Read("x", strings.NewReader(text))
		NewWithT(t).Expect(err).To(MatchError(dayplot.ErrReport), text)
	}
}
