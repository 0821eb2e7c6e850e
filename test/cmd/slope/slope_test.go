package main

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestLineIsFittedAndErrorReported(t *testing.T) {
	g := NewWithT(t)
	in := "BenchmarkTable/members=100-12 1 250 bytes/op\n" +
		"BenchmarkTable/members=200-12 1 450 bytes/op\n" +
		"BenchmarkTable/members=400-12 1 850 bytes/op\n" +
		"BenchmarkTwo/members=1-12 1 5 ns/op\nBenchmarkTwo/members=2-12 1 6 ns/op\n"
	var out bytes.Buffer
	g.Expect(run(strings.NewReader(in), &out)).To(Succeed())
	g.Expect(out.String()).To(MatchRegexp(`Table\s+bytes/op\s+3\s+50\s+2\s+members\s+0.0%`))
	g.Expect(out.String()).To(MatchRegexp(`Two\s+\S+\s+2\s+-\s+-\s+members\s+fewer than 3 sizes`))
}
