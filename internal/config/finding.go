package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Code names a kind of finding; docs/operations/configuration.md lists them.
type Code string

// Codes of findings.
const (
	CodeSyntax        Code = "syntax"
	CodeTooLarge      Code = "too-large"
	CodeVersion       Code = "version"
	CodeUnknownField  Code = "unknown-field"
	CodeRepeatedField Code = "repeated-field"
	CodeMissing       Code = "missing"
	CodeType          Code = "type"
	CodeRange         Code = "range"
	CodeValue         Code = "value"
	CodeDuplicate     Code = "duplicate"
	CodeTagCollision  Code = "tag-collision"
	CodeFaceOverlap   Code = "face-overlap"
	CodeFaceMoved     Code = "face-moved"
	CodeUnreachable   Code = "unreachable-class"
	CodeConflict      Code = "conflicting-class"
	CodeNoService     Code = "no-service"
)

// Finding is one fault of a configuration file.
type Finding struct {
	File string `json:"file,omitempty"`
	// Line and Column count from 1; 0 where the whole file is meant.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Field is the path of the field, such as services[2].faces[0].
	Field   string `json:"field"`
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Remedy tells what to change.
	Remedy string `json:"remedy"`
}

// String returns the finding on one line.
func (f Finding) String() string {
	place := fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	if f.Field != "" {
		place += " " + f.Field
	}
	return fmt.Sprintf("%s: %s [%s]; %s", place, f.Message, f.Code, f.Remedy)
}

// Findings are all faults of one file in the order of their places; none means
// that the file is valid.
type Findings []Finding

// Error lists the findings, one a line.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, one := range f {
		lines = append(lines, one.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, nil where there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// In returns the findings with the name of their file.
func (f Findings) In(file string) Findings {
	out := slices.Clone(f)
	for i := range out {
		out[i].File = file
	}
	return out
}

func (f Findings) sort() {
	slices.SortStableFunc(f, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
}
