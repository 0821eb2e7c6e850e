package config

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Code identifies a kind of finding. docs/operations/configuration.md lists the codes.
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

// Finding is one error in a configuration file.
type Finding struct {
	File string `json:"file,omitempty"`
	// Line and Column count from 1. Both are 0 if the finding is about the whole file.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Field is the path of the field, such as services[2].faces[0].
	Field   string `json:"field"`
	Code    Code   `json:"code"`
	Message string `json:"message"`
	// Remedy says how to correct the file.
	Remedy string `json:"remedy"`
}

// String returns the finding as one line of text.
func (f Finding) String() string {
	location := fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	if f.Field != "" {
		location += " " + f.Field
	}
	return fmt.Sprintf("%s: %s [%s]; %s", location, f.Message, f.Code, f.Remedy)
}

// Findings are all errors of one file in the order of their positions. A file without
// findings is valid.
type Findings []Finding

// Error returns the findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the findings as an error, or nil if there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// WithFile returns a copy of the findings with File set.
func (f Findings) WithFile(file string) Findings {
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
