package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// service decodes one service and appends it to the configuration, and the positions
// of its name, faces and classes in the file to f.positions.
func (f *file) service(m *mapping) {
	var s Service
	var p servicePositions
	s.Name, p.name = m.name()
	s.Faces, p.faces = m.faces()
	s.Limits = m.limits()
	s.Drain = m.drain()
	s.Health = m.health()
	s.Retry = m.retry()
	s.Classes, p.classes = m.classes()
	m.reportUnknown()
	f.config.Services = append(f.config.Services, s)
	f.positions = append(f.positions, p)
}

func (m *mapping) faces() (faces []netip.AddrPort, positions []position) {
	nodes, p := m.list("faces", maxFaces)
	if len(nodes) == 0 {
		m.d.report(p, CodeMissing, "the service has no face", "list at least one address with a port")
	}
	for i, n := range nodes {
		at := positionOf(n, fmt.Sprintf("%s[%d]", p.field, i))
		if a, ok := m.d.address(n, at); ok {
			faces = append(faces, a)
			positions = append(positions, at)
		}
	}
	return faces, positions
}

// mappingOrEmpty decodes an optional field as a mapping. It returns an empty mapping if the
// file omits the field, so that all fields of the mapping take their defaults.
func (m *mapping) mappingOrEmpty(name string) *mapping {
	if sub := m.optionalMapping(name); sub != nil {
		return sub
	}
	return &mapping{d: m.d, position: position{line: m.position.line, column: m.position.column, field: m.path(name)}}
}

func (m *mapping) limits() Limits {
	sub := m.mappingOrEmpty("limits")
	defer sub.reportUnknown()
	return Limits{
		Slots:       sub.integer("slots", DefaultSlots, 1, maxSlots),
		Queue:       sub.integer("queue", DefaultQueue, 0, maxQueue),
		Connections: sub.integer("connections", DefaultConnections, 1, maxConnections),
		BodyBytes:   sub.integer("body-bytes", DefaultBodyBytes, 0, maxBodyBytes),
	}
}

func (m *mapping) drain() Drain {
	sub := m.mappingOrEmpty("drain")
	defer sub.reportUnknown()
	return Drain{Timeout: sub.duration("timeout", DefaultDrainTimeout, 0, maxDrain)}
}

func (m *mapping) health() Health {
	sub := m.mappingOrEmpty("health")
	defer sub.reportUnknown()
	return Health{
		Path:           sub.urlPath("path", DefaultHealthPath),
		LoadPath:       sub.urlPath("load-path", DefaultLoadPath),
		Interval:       sub.duration("interval", DefaultInterval, minInterval, maxInterval),
		PanicThreshold: sub.fraction("panic-threshold", DefaultPanicThreshold),
		SlowStart:      sub.duration("slow-start", DefaultSlowStart, 0, maxSlowStart),
	}
}

func (m *mapping) retry() Retry {
	sub := m.mappingOrEmpty("retry")
	defer sub.reportUnknown()
	return Retry{
		Attempts: sub.integer("attempts", DefaultAttempts, 1, maxAttempts),
		Budget:   sub.fraction("budget", DefaultBudget),
	}
}

func (m *mapping) classes() (classes []Class, positions []classPositions) {
	nodes, p := m.list("classes", maxClasses)
	if len(nodes) == 0 {
		m.d.report(p, CodeMissing, "the service has no class", "list at least one class of requests")
	}
	for i, n := range nodes {
		c, at := m.d.class(m.d.mapping(n, fmt.Sprintf("%s[%d]", p.field, i)))
		classes = append(classes, c)
		positions = append(positions, at)
	}
	return classes, positions
}

func (d *decoder) class(m *mapping) (c Class, p classPositions) {
	p.self = m.position
	c.Name, p.name = m.name()
	c.Methods, p.methods = m.methods()
	c.Path, p.path = m.pattern()
	c.Kind, p.kind = m.kind()
	c.Priority = m.integer("priority", DefaultPriority, 0, maxPriority)
	c.Idempotent, p.idempotent = m.boolean("idempotent", c.Kind == KindFeed)
	c.Deadline = m.duration("deadline", DefaultDeadline, minDeadline, maxDeadline)
	resume, at := m.boolean("resume", false)
	if resume && c.Kind != KindFeed {
		d.report(at, CodeConflict, "only a feed can be resumed", "remove resume, or set kind: feed")
	}
	c.Resume = resume
	m.reportUnknown()
	return c, p
}

func (m *mapping) methods() (methods []string, p position) {
	nodes, p := m.list("methods", maxMethods)
	for i, n := range nodes {
		at := positionOf(n, fmt.Sprintf("%s[%d]", p.field, i))
		s, ok := m.d.scalar(n, at, "an HTTP method", "!!str")
		switch {
		case !ok:
		case !methodPattern.MatchString(s):
			m.d.report(at, CodeValue, fmt.Sprintf("%q is not an HTTP method", s), "use upper-case letters, such as GET")
		case slices.Contains(methods, s):
			m.d.report(at, CodeDuplicate, "the method "+s+" occurs twice", "remove one of them")
		default:
			methods = append(methods, s)
		}
	}
	return methods, p
}

// pattern decodes a class's path pattern: an exact path, or a prefix followed by an
// asterisk.
func (m *mapping) pattern() (string, position) {
	const all = "/*"
	s, p := m.text("path", "")
	if _, exists := m.fields["path"]; !exists {
		m.d.report(p, CodeMissing, "the path is missing", "write a path, or "+all+" for every path")
		return all, p
	}
	if !pathPattern.MatchString(s) {
		m.d.report(p, CodeValue, fmt.Sprintf("%q is not a path pattern", s),
			"begin with a slash; an asterisk may stand only at the end")
		return all, p
	}
	return s, p
}

func (m *mapping) kind() (Kind, position) {
	s, p := m.text("kind", string(KindRequest))
	kinds := []string{string(KindRequest), string(KindFeed), string(KindUpload)}
	if !slices.Contains(kinds, s) {
		m.d.report(p, CodeValue, fmt.Sprintf("%q is not a kind of class", s), "use one of: "+strings.Join(kinds, ", "))
		return KindRequest, p
	}
	return Kind(s), p
}
