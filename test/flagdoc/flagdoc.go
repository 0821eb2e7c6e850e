// Package flagdoc keeps the documentation of command-line flags in sync with the programs:
// the tests of each program compare its page with the flags, or write the page.
package flagdoc

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/jessevdk/go-flags"
)

// updateVariable is the environment variable that makes Check write the page first.
const updateVariable = "UPDATE_FLAG_PAGES"

// Check checks that the page at path matches the flags of the parser.
func Check(t *testing.T, path string, parser *flags.Parser) {
	t.Helper()
	want := page(parser)
	if os.Getenv(updateVariable) != "" {
		if err := os.WriteFile(path, []byte(want), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != want {
		t.Errorf("%s is out of date; run the test with %s=1", path, updateVariable)
	}
}

func page(parser *flags.Parser) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# Flags of %s\n\nWritten from the program by its tests; don't edit.\n", parser.Name)
	for _, command := range parser.Commands() {
		fmt.Fprintf(&b, "\n## %s %s\n\n%s\n", parser.Name, command.Name, command.LongDescription)
		options := command.Options()
		if len(options) == 0 {
			continue
		}
		b.WriteString("\n| Flag | Environment | Default | Meaning |\n| --- | --- | --- | --- |\n")
		for _, o := range options {
			b.WriteString(row(o))
		}
	}
	return b.String()
}

func row(o *flags.Option) string {
	flag := "--" + o.LongName
	if o.ValueName != "" {
		flag += " " + o.ValueName
	}
	value := ""
	if len(o.Default) > 0 {
		value = "`" + strings.Join(o.Default, ",") + "`"
	}
	cells := []string{"`" + flag + "`", "`" + o.EnvDefaultKey + "`", value, o.Description}
	for i, cell := range cells {
		cells[i] = strings.ReplaceAll(cell, "|", `\|`)
	}
	return "| " + strings.Join(cells, " | ") + " |\n"
}
