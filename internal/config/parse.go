package config

import (
	"bytes"
	"fmt"
	"io"
	"net/netip"
	"regexp"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"
)

// SchemaVersion is the version of the file format that this package supports.
const SchemaVersion = 1

// MaxFileBytes is the maximum size of a file, which is the store's limit on one value.
const MaxFileBytes = 1 << 20

// Maximum lengths of lists.
const (
	maxServices = 4096
	maxFaces    = 64
	maxClasses  = 64
	maxMethods  = 16
)

// Limits of numbers and durations. docs/operations/configuration.md documents them; keep
// both in step.
const (
	maxSlots       = 10_000
	maxQueue       = 100_000
	maxConnections = 1_000_000
	maxBodyBytes   = 16 << 20
	maxPriority    = 9
	maxAttempts    = 5
	minDeadline    = 10 * time.Millisecond
	maxDeadline    = 24 * time.Hour
	minInterval    = 100 * time.Millisecond
	maxInterval    = time.Minute
	maxDrain       = 48 * time.Hour
	maxSlowStart   = time.Hour
)

// Defaults of optional fields.
const (
	DefaultSlots          = 5
	DefaultQueue          = 64
	DefaultConnections    = 2000
	DefaultBodyBytes      = 64 << 10
	DefaultPriority       = 5
	DefaultDeadline       = 5 * time.Second
	DefaultDrainTimeout   = 6 * time.Hour
	DefaultHealthPath     = "/health"
	DefaultLoadPath       = "/load"
	DefaultInterval       = time.Second
	DefaultPanicThreshold = 0.5
	DefaultSlowStart      = 30 * time.Second
	DefaultAttempts       = 2
	DefaultBudget         = 0.1
)

var (
	namePattern   = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,16}$`)
	pathPattern   = regexp.MustCompile(`^/[^*?#\s]*\*?$`)
	linePattern   = regexp.MustCompile(`line (\d+):?\s*`)
)

// Parse parses and validates a configuration file. If there are findings, the configuration
// is nil.
func Parse(data []byte, revision uint64) (*Config, Findings) {
	return ParseNext(data, revision, nil)
}

// HeldFace is a face that was removed from a service so recently that no other service may
// use it yet.
type HeldFace struct {
	Face    netip.AddrPort
	Service string
}

// ParseNext is like Parse and also applies the rules for a change: a face may neither move
// directly from another service of the previous configuration, which may be nil, nor be
// one of the held faces of another service.
func ParseNext(data []byte, revision uint64, previous *Config, held ...HeldFace) (*Config, Findings) {
	d := &decoder{}
	root := d.document(data)
	if root == nil {
		return nil, d.findings
	}
	f := d.file(root)
	f.check(d)
	f.checkMovedFaces(d, previous)
	f.checkHeldFaces(d, held)
	if len(d.findings) > 0 {
		d.findings.sort()
		return nil, d.findings
	}
	f.config.Revision = revision
	return f.config, nil
}

// document returns the file's single YAML document, or nil after a finding.
func (d *decoder) document(data []byte) *yaml.Node {
	start := position{line: 1, column: 1}
	if len(data) > MaxFileBytes {
		d.report(position{}, CodeTooLarge, fmt.Sprintf("the file has %d bytes, the store accepts at most %d", len(data), MaxFileBytes),
			"leave out fields that equal their defaults, or comments")
		return nil
	}
	dec := yaml.NewDecoder(bytes.NewReader(data))
	var doc yaml.Node
	err := dec.Decode(&doc)
	if errors.Is(err, io.EOF) {
		d.report(start, CodeNoService, "the file is empty", "list at least one service")
		return nil
	}
	if err != nil {
		d.report(syntaxErrorPosition(err), CodeSyntax, err.Error(), "correct the YAML syntax at this line")
		return nil
	}
	if err := dec.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		d.report(start, CodeSyntax, "the file contains more than one YAML document", "keep one document")
		return nil
	}
	return doc.Content[0]
}

// syntaxErrorPosition extracts the line number from the message of a YAML error. The
// library doesn't provide it in any other form.
func syntaxErrorPosition(err error) position {
	p := position{line: 1, column: 1}
	if m := linePattern.FindStringSubmatch(err.Error()); m != nil {
		p.line, _ = strconv.Atoi(m[1])
	}
	return p
}

// file is a decoded configuration with the positions of the fields that check reports on.
type file struct {
	config    *Config
	root      position
	positions []servicePositions
}

type servicePositions struct {
	name    position
	faces   []position
	classes []classPositions
}

type classPositions struct {
	self, name, path, methods, kind, idempotent position
}

func (d *decoder) file(root *yaml.Node) *file {
	f := &file{config: &Config{}, root: positionOf(root, "")}
	m := d.mapping(root, "")
	f.version(m)
	f.config.Keys = m.keys()
	nodes, p := m.list("services", maxServices)
	if len(nodes) == 0 {
		d.report(p, CodeNoService, "no service is listed", "list at least one service")
	}
	for i, n := range nodes {
		f.service(d.mapping(n, fmt.Sprintf("%s[%d]", p.field, i)))
	}
	m.reportUnknown()
	return f
}

func (f *file) version(m *mapping) {
	n, p := m.take("version")
	if n == nil {
		m.d.report(p, CodeMissing, "the file's version is missing", fmt.Sprintf("begin with version: %d", SchemaVersion))
		return
	}
	s, ok := m.d.scalar(n, p, "a whole number", "!!int")
	if ok && s != strconv.Itoa(SchemaVersion) {
		m.d.report(p, CodeVersion, "version "+s+" is not supported", fmt.Sprintf("use version: %d, or a newer release of saltbend", SchemaVersion))
	}
}

func (m *mapping) keys() Keys {
	sub := m.optionalMapping("keys")
	if sub == nil {
		return Keys{}
	}
	const none, maxID = -1, 255
	current := sub.integer("current", none, 0, maxID)
	previous := sub.integer("previous", current, 0, maxID)
	if _, exists := sub.fields["current"]; !exists {
		m.d.report(sub.position, CodeMissing, "the current key is missing", "add the id of the secret to sign with")
	}
	sub.reportUnknown()
	return Keys{Set: true, Current: uint8(current), Previous: uint8(previous)}
}

// name decodes the required name of a service or class.
func (m *mapping) name() (string, position) {
	n, p := m.take("name")
	if n == nil {
		m.d.report(p, CodeMissing, "the name is missing", "give it a name")
		return "", p
	}
	s, ok := m.d.scalar(n, p, "text", "!!str")
	if ok && !namePattern.MatchString(s) {
		m.d.report(p, CodeValue, fmt.Sprintf("%q is not a valid name", s),
			"use a lower-case letter, then at most 62 lower-case letters, digits or hyphens")
	}
	return s, p
}

// urlPath decodes a field as a URL path without a wildcard.
func (m *mapping) urlPath(name, def string) string {
	s, p := m.text(name, def)
	if !pathPattern.MatchString(s) || s[len(s)-1] == '*' {
		m.d.report(p, CodeValue, fmt.Sprintf("%q is not a path", s), "begin with a slash; leave out *, ?, # and blanks")
		return def
	}
	return s
}
