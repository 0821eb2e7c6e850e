// Package pages_test checks that the pages for operators are complete and their examples
// valid.
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

// Patterns of the names that must be documented: metrics and kinds of events.
var (
	metric = regexp.MustCompile(`\b(saltbend_[a-z_]+)`)
	kind   = regexp.MustCompile(`(?:event\.Kind|\bKind[A-Z]\w*\s+Kind)\s*=\s*"([^"]+)"`)
)

// kindForm is the required form of kinds of events.
var kindForm = regexp.MustCompile(`^[a-z]+(-[a-z]+)*$`)

// read returns the concatenated text of all files below dir for which keep returns true.
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

func TestMetricsAndEventsAreDocumented(t *testing.T) {
	documented := read(t, pages, func(path string) bool { return strings.HasSuffix(path, ".md") })
	program := func(path string) bool {
		return strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go")
	}
	code := read(t, root+"/internal", program) + read(t, root+"/cmd", program) + read(t, root+"/platform", program)
	for _, name := range found(t, metric, code) {
		if !strings.Contains(documented, name) {
			t.Errorf("metric %q is not documented on any page of docs/operations", name)
		}
	}
	for _, name := range found(t, kind, code) {
		if !kindForm.MatchString(name) {
			t.Errorf("event kind %q does not consist of lower-case words joined by hyphens", name)
		}
		if !strings.Contains(documented, "`"+name+"`") {
			t.Errorf("event kind `%s` is not documented on any page of docs/operations", name)
		}
	}
}

// found returns the text of the pattern's first group for each match in the code.
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

// example matches a complete configuration file on a page.
var example = regexp.MustCompile("(?s)```yaml\n(version: .*?)```")

func TestExamplesOfConfigurationsAreValid(t *testing.T) {
	for _, page := range []string{root + "/README.md", pages + "/configuration.md"} {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		match := example.FindSubmatch(text)
		if match == nil {
			t.Errorf("%s contains no example of a configuration file", page)
			continue
		}
		if _, findings := config.Parse(match[1], 0); len(findings) > 0 {
			t.Errorf("%s: %v", page, findings)
		}
	}
}
