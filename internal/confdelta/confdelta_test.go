package confdelta_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/saltbend/saltbend/internal/confdelta"
	"github.com/saltbend/saltbend/internal/config"
	"github.com/saltbend/saltbend/internal/record"
)

const limit = config.MaxFileBytes

// file returns a configuration of n services that sets every field. Names, paths and comments
// are random: generated ones with a common pattern would compress better than real ones.
func file(n int) []byte {
	var b strings.Builder
	random := rand.New(rand.NewPCG(1, 2))
	b.WriteString("version: 1\nservices:\n")
	for i := range n {
		fmt.Fprintf(&b, `  # %x
  - name: club-%x
    faces: ["198.%d.%d.%d:443"]
    limits: {slots: %d, queue: %d, connections: 2000, body-bytes: 65536}
    drain: {timeout: %dh}
    health: {path: /health, load-path: /load, interval: 1s, panic-threshold: 0.5, slow-start: 30s}
    retry: {attempts: 2, budget: 0.1}
    classes:
      - {name: lookup, methods: [GET], path: /%x/*, priority: 0, idempotent: true, deadline: %dms}
      - {name: standings, methods: [GET], path: /%x/*, kind: feed, resume: true, deadline: 5s}
      - {name: batch, methods: [POST], path: /batches, priority: 2, deadline: 10s}
      - {name: photo, methods: [PUT], path: /photos/*, kind: upload, priority: 7, idempotent: true, deadline: 60s}
`, random.Uint64(), random.Uint64(), 18+i%2, i/250, i%250+1, 5+i%3, 32+i%7*16, 3+i%5, random.Uint32(), 1000+i%11*250, random.Uint32())
	}
	return []byte(b.String())
}

func TestDecodeRestoresTheEncodedText(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := []byte(rapid.StringN(0, 400, -1).Draw(t, "base"))
		cut := rapid.IntRange(0, len(base)).Draw(t, "cut")
		text := append([]byte(rapid.String().Draw(t, "new")), base[cut:]...)
		delta, err := confdelta.Encode(base, text)
		if err != nil {
			t.Fatal(err)
		}
		got, err := confdelta.Decode(base, delta, limit)
		if err != nil || string(got) != string(text) {
			t.Fatalf("got %q, %v; want %q", got, err, text)
		}
	})
}

func TestDecodeRejectsOtherBaseDamageAndExcessSize(t *testing.T) {
	g := gomega.NewWithT(t)
	base := file(3)
	delta, err := confdelta.Encode(base, file(4))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = confdelta.Decode(file(2), delta, limit)
	g.Expect(err).To(gomega.MatchError(confdelta.ErrBase))
	_, err = confdelta.Decode(base, delta[:len(delta)-1], limit)
	g.Expect(err).To(gomega.MatchError(confdelta.ErrDamaged))
	delta[8] ^= 1
	_, err = confdelta.Decode(base, delta, limit)
	g.Expect(err).To(gomega.MatchError(confdelta.ErrDamaged))
	whole, err := confdelta.Encode(nil, file(4))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = confdelta.Decode(nil, whole, 100)
	g.Expect(err).To(gomega.MatchError(confdelta.ErrDamaged))
}

// change is a typical edit by an operator.
type change struct {
	name string
	edit func(services int) []byte
}

var changes = []change{
	{"value", func(n int) []byte {
		return []byte(strings.Replace(string(file(n)), "deadline: 1500ms", "deadline: 1600ms", 1))
	}},
	{"service", func(n int) []byte { return file(n + 1) }},
	{"all", func(n int) []byte { return []byte(strings.ReplaceAll(string(file(n)), "attempts: 2", "attempts: 3")) }},
}

// BenchmarkSize reports the sizes of one change by the number of services: the file, the
// stored record, the text that processes send to each other, the compressed text, and the
// delta.
func BenchmarkSize(b *testing.B) {
	for _, n := range []int{110, 220, 440, 880} {
		for _, c := range changes {
			b.Run(fmt.Sprintf("services=%d/change=%s", n, c.name), func(b *testing.B) {
				value := stored(b, c.edit(n))
				base, _ := record.ConfigJSON(stored(b, file(n)))
				text, _ := record.ConfigJSON(value)
				var delta []byte
				for b.Loop() {
					delta, _ = confdelta.Encode(base, text)
				}
				whole, _ := confdelta.Encode(nil, text)
				b.ReportMetric(float64(len(c.edit(n))), "file-B")
				b.ReportMetric(float64(len(value)), "record-B")
				b.ReportMetric(float64(len(text)), "text-B")
				b.ReportMetric(float64(len(whole)), "whole-B")
				b.ReportMetric(float64(len(delta)), "delta-B")
			})
		}
	}
}

// stored returns the value that the store holds for the file.
func stored(b *testing.B, text []byte) []byte {
	parsed, findings := config.Parse(text, 0)
	if len(findings) > 0 {
		b.Fatal(findings)
	}
	value, err := record.First(record.Draft{ID: "0123456789abcdef01234567", Operator: "ann", Text: text, Config: parsed}).Encode()
	if err != nil {
		b.Fatal(err)
	}
	return value
}

// BenchmarkAdopt measures the steps by which a process adopts a change, and parsing the file
// for comparison.
func BenchmarkAdopt(b *testing.B) {
	for _, n := range []int{110, 220, 440, 880} {
		base, text := file(n), changes[0].edit(n)
		delta, err := confdelta.Encode(base, text)
		if err != nil {
			b.Fatal(err)
		}
		value := stored(b, text)
		b.Run(fmt.Sprintf("services=%d/step=delta", n), func(b *testing.B) {
			for b.Loop() {
				confdelta.Decode(base, delta, limit)
			}
		})
		b.Run(fmt.Sprintf("services=%d/step=record", n), func(b *testing.B) {
			for b.Loop() {
				configJSON, _ := record.ConfigJSON(value)
				record.ParseConfigJSON(configJSON, 1)
			}
		})
		configJSON, _ := record.ConfigJSON(value)
		b.Run(fmt.Sprintf("services=%d/step=text", n), func(b *testing.B) {
			for b.Loop() {
				record.ParseConfigJSON(configJSON, 1)
			}
		})
		b.Run(fmt.Sprintf("services=%d/step=file", n), func(b *testing.B) {
			for b.Loop() {
				config.Parse(text, 1)
			}
		})
	}
}
