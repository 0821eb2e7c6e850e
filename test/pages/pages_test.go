// Package pages_test keeps the operators' pages complete.
package pages_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/saltbend/saltbend/internal/config"
)

const (
	root  = "../.."
	pages = root + "/docs/operations"
)

// What operators meet: names of metrics and kinds of events.
var (
	metric = regexp.MustCompile(`\b(saltbend_[a-z_]+)`)
	kind   = regexp.MustCompile(`(?:event\.Kind|\bKind[A-Z]\w*\s+Kind)\s*=\s*"([^"]+)"`)
)

// kindForm is the form of all kinds of events.
var kindForm = regexp.MustCompile(`^[a-z]+(-[a-z]+)*$`)

// read returns the text of all files below dir that keep accepts.
func read(t *testing.T, dir string, keep func(path string) bool) string {
	t.Helper()
	var all strings.Builder
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !keep(path) {
			return err
		}
		text, err := os.ReadFile(path)
		all.Write(text)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return all.String()
}

func TestEachMetricAndEventIsExplainedToOperators(t *testing.T) {
	documented := read(t, pages, func(path string) bool { return strings.HasSuffix(path, ".md") })
	program := func(path string) bool {
		return strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go")
	}
	code := read(t, root+"/internal", program) + read(t, root+"/cmd", program) + read(t, root+"/platform", program)
	for _, name := range found(t, metric, code) {
		if !strings.Contains(documented, name) {
			t.Errorf("%q is on no page of docs/operations", name)
		}
	}
	for _, name := range found(t, kind, code) {
		if !kindForm.MatchString(name) {
			t.Errorf("the kind %q has not the form of the others", name)
		}
		if !strings.Contains(documented, "`"+name+"`") {
			t.Errorf("`%s` is on no page of docs/operations", name)
		}
	}
}

// found returns what the pattern's group matches in the code.
func found(t *testing.T, pattern *regexp.Regexp, code string) (out []string) {
	t.Helper()
	for _, match := range pattern.FindAllStringSubmatch(code, -1) {
		out = append(out, match[1])
	}
	if len(out) == 0 {
		t.Errorf("nothing in the code matches %s", pattern)
	}
	return out
}

// example is a whole configuration file within a page.
var example = regexp.MustCompile("(?s)```yaml\n(version: .*?)```")

func TestExamplesOfConfigurationsAreValid(t *testing.T) {
	for _, page := range []string{root + "/README.md", pages + "/configuration.md"} {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		match := example.FindSubmatch(text)
		if match == nil {
			t.Errorf("%s has no example", page)
			continue
		}
		if _, findings := config.Parse(match[1], 0); len(findings) > 0 {
			t.Errorf("%s: %v", page, findings)
		}
	}
}
