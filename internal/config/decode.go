package config

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"gopkg.in/yaml.v3"
)

// position is the place of a value in the file: line, column and field path.
type position struct {
	line, column int
	field        string
}

// decoder decodes YAML nodes into typed values and collects findings. After a finding it
// continues with the default value, so that one run reports all errors of a file.
type decoder struct {
	findings Findings
}

func (d *decoder) report(p position, code Code, message, remedy string) {
	d.findings = append(d.findings, Finding{
		Line: p.line, Column: p.column, Field: p.field,
		Code: code, Message: message, Remedy: remedy,
	})
}

// mapping is a YAML mapping from which the decoder takes fields by name. Fields whose name
// was never passed to take are unknown.
type mapping struct {
	d         *decoder
	position  position
	fields    map[string]field
	order     []string
	requested []string
}

type field struct {
	key, value *yaml.Node
}

func positionOf(n *yaml.Node, path string) position {
	return position{line: n.Line, column: n.Column, field: path}
}

// resolve follows aliases to the node that they refer to.
func resolve(n *yaml.Node) *yaml.Node {
	for n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	return n
}

func (d *decoder) mapping(n *yaml.Node, path string) *mapping {
	m := &mapping{d: d, position: positionOf(n, path), fields: map[string]field{}}
	n = resolve(n)
	if n.Kind != yaml.MappingNode {
		d.report(m.position, CodeType, "expected a mapping, found "+kindName(n), "write it as fields with values")
		return m
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		m.add(n.Content[i], n.Content[i+1])
	}
	return m
}

func (m *mapping) add(key, value *yaml.Node) {
	name := key.Value
	if _, exists := m.fields[name]; exists {
		m.d.report(positionOf(key, m.path(name)), CodeRepeatedField, "the field occurs twice", "keep one of them")
		return
	}
	m.fields[name] = field{key: key, value: value}
	m.order = append(m.order, name)
}

func (m *mapping) path(name string) string {
	if m.position.field == "" {
		return name
	}
	return m.position.field + "." + name
}

// take returns the value of a field and its position. The value is nil if the file omits
// the field.
func (m *mapping) take(name string) (*yaml.Node, position) {
	m.requested = append(m.requested, name)
	f, ok := m.fields[name]
	if !ok {
		return nil, position{line: m.position.line, column: m.position.column, field: m.path(name)}
	}
	return f.value, positionOf(f.value, m.path(name))
}

// reportUnknown adds a finding for each field of the mapping whose name was never
// passed to take.
func (m *mapping) reportUnknown() {
	known := map[string]bool{}
	for _, name := range m.requested {
		known[name] = true
	}
	for _, name := range m.order {
		if known[name] {
			continue
		}
		m.d.report(positionOf(m.fields[name].key, m.path(name)), CodeUnknownField,
			"unknown field", "remove it or use one of: "+strings.Join(m.requested, ", "))
	}
}

// optionalMapping decodes a field as a mapping. It returns nil if the file omits the field.
func (m *mapping) optionalMapping(name string) *mapping {
	n, p := m.take(name)
	if n == nil {
		return nil
	}
	return m.d.mapping(n, p.field)
}

// list decodes a field as a list of at most limit items. It returns nil if the file omits
// the field. The limit also bounds the work that a file with nested aliases can cause.
func (m *mapping) list(name string, limit int) ([]*yaml.Node, position) {
	n, p := m.take(name)
	if n == nil {
		return nil, p
	}
	n = resolve(n)
	if n.Kind != yaml.SequenceNode {
		m.d.report(p, CodeType, "expected a list, found "+kindName(n), "write it as a list")
		return nil, p
	}
	if len(n.Content) > limit {
		m.outOfRange(p, fmt.Sprintf("a list of %d", len(n.Content)), "1", strconv.Itoa(limit))
		return n.Content[:limit], p
	}
	return n.Content, p
}

// scalar returns the text of a scalar that has one of the YAML tags. want names the expected
// type in a finding.
func (d *decoder) scalar(n *yaml.Node, p position, want string, tags ...string) (string, bool) {
	n = resolve(n)
	if n.Kind == yaml.ScalarNode {
		for _, tag := range tags {
			if n.Tag == tag {
				return n.Value, true
			}
		}
	}
	d.report(p, CodeType, fmt.Sprintf("expected %s, found %s", want, kindName(n)), "write "+want)
	return "", false
}

func (m *mapping) text(name, def string) (string, position) {
	n, p := m.take(name)
	if n == nil {
		return def, p
	}
	s, ok := m.d.scalar(n, p, "text", "!!str")
	if !ok {
		return def, p
	}
	return s, p
}

func (m *mapping) boolean(name string, def bool) (bool, position) {
	n, p := m.take(name)
	if n == nil {
		return def, p
	}
	s, ok := m.d.scalar(n, p, "true or false", "!!bool")
	if !ok {
		return def, p
	}
	return strings.EqualFold(s, "true"), p
}

// integer decodes a field as a whole number from low to high.
func (m *mapping) integer(name string, def, low, high int) int {
	n, p := m.take(name)
	if n == nil {
		return def
	}
	s, ok := m.d.scalar(n, p, "a whole number", "!!int")
	if !ok {
		return def
	}
	v, err := strconv.ParseInt(s, 0, 64)
	if err != nil || v < int64(low) || v > int64(high) {
		m.outOfRange(p, s, strconv.Itoa(low), strconv.Itoa(high))
		return def
	}
	return int(v)
}

// fraction decodes a field as a number from 0 to 1.
func (m *mapping) fraction(name string, def float64) float64 {
	n, p := m.take(name)
	if n == nil {
		return def
	}
	s, ok := m.d.scalar(n, p, "a number", "!!int", "!!float")
	if !ok {
		return def
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(v >= 0 && v <= 1) { // the negation also rejects NaN
		m.outOfRange(p, s, "0", "1")
		return def
	}
	return v
}

// duration decodes a field as a duration from low to high, such as 250ms.
func (m *mapping) duration(name string, def, low, high time.Duration) time.Duration {
	n, p := m.take(name)
	if n == nil {
		return def
	}
	s, ok := m.d.scalar(n, p, "a duration such as 250ms", "!!str")
	if !ok {
		return def
	}
	v, err := time.ParseDuration(s)
	if err != nil {
		m.d.report(p, CodeType, fmt.Sprintf("%q is not a duration", s), "write a number with a unit: ms, s, m or h")
		return def
	}
	if v < low || v > high {
		m.outOfRange(p, s, low.String(), high.String())
		return def
	}
	return v
}

func (m *mapping) outOfRange(p position, value, low, high string) {
	m.d.report(p, CodeRange, fmt.Sprintf("%s is out of range", value), fmt.Sprintf("choose %s to %s", low, high))
}

func (d *decoder) address(n *yaml.Node, p position) (netip.AddrPort, bool) {
	s, ok := d.scalar(n, p, "an address with a port", "!!str")
	if !ok {
		return netip.AddrPort{}, false
	}
	a, err := netip.ParseAddrPort(s)
	if err != nil || !a.Addr().Is4() || a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Port() == 0 {
		d.report(p, CodeValue, fmt.Sprintf("%q is not an address that callers can reach", s),
			"write an IPv4 unicast address and a port from 1 to 65535, such as 192.0.2.10:443")
		return netip.AddrPort{}, false
	}
	return a, true
}

func kindName(n *yaml.Node) string {
	switch {
	case n.Kind == yaml.MappingNode:
		return "a mapping"
	case n.Kind == yaml.SequenceNode:
		return "a list"
	case n.Tag == "!!null":
		return "nothing"
	case n.Kind == yaml.ScalarNode:
		return fmt.Sprintf("%q", n.Value)
	}
	return "something else"
}
