package config_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/config"
)

const valid = `version: 1
services:
  - name: results
    faces: ["192.0.2.1:443"]
    classes:
      - {name: lookup, methods: [GET], path: /runners/*, priority: 0, idempotent: true, deadline: 2s}
      - {name: standings, path: /standings, kind: feed, resume: true}
  - name: timing
    faces: ["192.0.2.2:443"]
    classes: [{name: batch, methods: [POST], path: /batches}]
`

// service returns a file with one service, followed by the given lines.
func service(fields string) string {
	return "version: 1\nservices:\n  - name: a\n    faces: ['192.0.2.1:1']\n    classes: [{name: c, path: /c}]\n" + fields
}

// classes returns a file with one service that has the given classes.
func classes(list string) string {
	return "version: 1\nservices:\n  - name: a\n    faces: ['192.0.2.1:1']\n    classes: [" + list + "]\n"
}

func TestFindings(t *testing.T) {
	const b = "  - name: b\n    faces: ['192.0.2.1:2']\n    classes: [{name: c, path: /c}]\n"
	tests := []struct {
		name, text string
		want       []string
	}{
		{"valid", valid, nil},
		{"empty", "", []string{"1:1  no-service"}},
		{"no service", "version: 1\nservices: []\n", []string{"2:11 services no-service"}},
		{"no version", "services:\n" + b, []string{"1:1 version missing"}},
		{"a list", "- version: 1\n", []string{"1:1  type", "1:1 version missing", "1:1 services no-service"}},
		{"syntax", "version: 1\nservices: [\n", []string{"2:1  syntax"}},
		{"two documents", valid + "---\n" + valid, []string{"1:1  syntax"}},
		{"other version", strings.Replace(valid, "version: 1", "version: 2", 1), []string{"1:10 version version"}},
		{"too large", valid + strings.Repeat("#", config.MaxFileBytes), []string{"0:0  too-large"}},
		{"unknown field", service("    slots: 3\n"), []string{"6:5 services[0].slots unknown-field"}},
		{"field twice", service("    name: b\n"), []string{"6:5 services[0].name repeated-field"}},
		{"wrong types", service("    limits: {slots: many, queue: 1.5}\n    drain: 3\n"),
			[]string{"6:21 services[0].limits.slots type", "6:34 services[0].limits.queue type", "7:12 services[0].drain type"}},
		{"out of range", service("    limits: {slots: 0}\n    health: {panic-threshold: 1.1, interval: 1ms}\n"),
			[]string{"6:21 services[0].limits.slots range", "7:31 services[0].health.panic-threshold range", "7:46 services[0].health.interval range"}},
		{"not a number", service("    health: {panic-threshold: .nan}\n"), []string{"6:31 services[0].health.panic-threshold range"}},
		{"bad name", strings.Replace(service(""), "name: a", "name: A", 1), []string{"3:11 services[0].name value"}},
		{"bad faces", strings.Replace(service(""), "'192.0.2.1:1'", "'0.0.0.0:1', 'host:1', '[::1]:1', '192.0.2.1:0'", 1),
			[]string{"4:13 services[0].faces[0] value", "4:26 services[0].faces[1] value", "4:36 services[0].faces[2] value", "4:47 services[0].faces[3] value"}},
		{"overlapping faces", service(strings.Replace(b, ":2", ":1", 1)), []string{"7:13 services[1].faces[0] face-overlap"}},
		{"names twice", service(strings.Replace(b, "name: b", "name: a", 1)), []string{"6:11 services[1].name duplicate"}},
		{"same tag", strings.Replace(service(strings.Replace(b, "name: b", "name: s117265", 1)), "name: a", "name: s18098", 1),
			[]string{"6:11 services[1].name tag-collision"}},
		{"no class", "version: 1\nservices:\n  - name: a\n    faces: ['192.0.2.1:1']\n", []string{"3:5 services[0].classes missing"}},
		{"same class", classes("{name: c, path: /x, methods: [GET, PUT]}, {name: d, path: /x, methods: [PUT, GET]}"),
			[]string{"5:57 services[0].classes[1] conflicting-class"}},
		{"unreachable class", classes("{name: c, path: /x*}, {name: d, path: /x/y, methods: [GET]}"),
			[]string{"5:37 services[0].classes[1] unreachable-class"}},
		{"unreachable in parts", classes("{name: c, path: /x*, methods: [GET]}, {name: d, path: /*, methods: [PUT]}, {name: e, path: /x, methods: [GET, PUT]}"),
			[]string{"5:90 services[0].classes[2] unreachable-class"}},
		{"narrow before wide", classes("{name: c, path: /x, methods: [GET]}, {name: d, path: /*}"), nil},
		{"feed that may not run twice", classes("{name: c, path: /x, kind: feed, idempotent: false}"),
			[]string{"5:59 services[0].classes[0].idempotent conflicting-class"}},
		{"resumed request", classes("{name: c, path: /x, resume: true}"), []string{"5:43 services[0].classes[0].resume conflicting-class"}},
		{"key without current", service("keys: {previous: 1}\n"), []string{"6:7 keys missing"}},
		{"many at once", "version: x\nservices:\n  - {name: 1, faces: 2, clases: 3}\n", []string{
			"1:10 version type", "3:5 services[0].classes missing", "3:12 services[0].name type",
			"3:22 services[0].faces type", "3:22 services[0].faces missing", "3:25 services[0].clases unknown-field"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			parsed, findings := config.Parse([]byte(tt.text), 3)
			g.Expect(positions(findings)).To(gomega.ConsistOf(tt.want))
			g.Expect(parsed == nil).To(gomega.Equal(len(findings) > 0))
			for _, f := range findings {
				g.Expect(f.Remedy).NotTo(gomega.BeEmpty())
			}
		})
	}
}

func positions(findings config.Findings) []string {
	out := []string{}
	for _, f := range findings {
		out = append(out, fmt.Sprintf("%d:%d %s %s", f.Line, f.Column, f.Field, f.Code))
	}
	return out
}

func TestParseNextRefusesMovedFace(t *testing.T) {
	g := gomega.NewWithT(t)
	previous, findings := config.Parse([]byte(valid), 1)
	g.Expect(findings).To(gomega.BeEmpty())

	swapped := strings.NewReplacer("192.0.2.1:", "192.0.2.2:", "192.0.2.2:", "192.0.2.1:").Replace(valid)
	_, findings = config.ParseNext([]byte(swapped), 2, previous)
	g.Expect(positions(findings)).To(gomega.ConsistOf("4:13 services[0].faces[0] face-moved", "9:13 services[1].faces[0] face-moved"))

	moved := strings.Replace(valid, "192.0.2.1:", "192.0.2.3:", 1)
	next, findings := config.ParseNext([]byte(moved), 2, previous)
	g.Expect(findings).To(gomega.BeEmpty())
	_, findings = config.ParseNext([]byte(strings.Replace(moved, "192.0.2.2:", "192.0.2.1:", 1)), 3, next)
	g.Expect(findings).To(gomega.BeEmpty())
}

func TestDiff(t *testing.T) {
	g := gomega.NewWithT(t)
	old, _ := config.Parse([]byte(valid), 1)
	text := strings.NewReplacer("deadline: 2s", "deadline: 3s", "name: timing", "name: intake").Replace(valid)
	next, findings := config.Parse([]byte("keys: {current: 2, previous: 1}\n"+text), 2)
	g.Expect(findings).To(gomega.BeEmpty())
	g.Expect(config.Diff(old, old)).To(gomega.BeEmpty())
	g.Expect(config.Diff(old, next)).To(gomega.Equal([]config.Difference{
		{Op: config.OpChanged, Field: "keys", New: "2, previous 1"},
		{Op: config.OpChanged, Service: "results", Field: "classes.lookup",
			Old: "request GET /runners/* priority 0 deadline 2s idempotent", New: "request GET /runners/* priority 0 deadline 3s idempotent"},
		{Op: config.OpAdded, Service: "intake", New: "faces 192.0.2.2:443, 1 classes"},
		{Op: config.OpRemoved, Service: "timing", Old: "faces 192.0.2.2:443, 1 classes"},
	}))
}

// FuzzParse checks that no file makes the parser panic, and that a file without findings
// gives a configuration with the fields that the data path requires.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte("a: &a [*a]\nservices: *a\n"))
	f.Add([]byte("services: [{<<: {name: a}}, ~, [], 1, *x]"))
	f.Add([]byte("? [a]\n: b\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		parsed, findings := config.Parse(data, 1)
		if (parsed == nil) != (len(findings) > 0) {
			t.Fatalf("got configuration %v with findings %v", parsed, findings)
		}
		if parsed == nil {
			return
		}
		for _, s := range parsed.Services {
			if s.Name == "" || len(s.Faces) == 0 || len(s.Classes) == 0 || s.Limits.Slots < 1 {
				t.Fatalf("incomplete service %+v", s)
			}
		}
	})
}
