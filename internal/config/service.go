package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// service reads one service with its places.
func (f *file) service(m *mapping) {
	var s Service
	var p servicePlaces
	s.Name, p.name = m.name()
	s.Faces, p.faces = m.faces()
	s.Limits = m.limits()
	s.Drain = m.drain()
	s.Health = m.health()
	s.Retry = m.retry()
	s.Classes, p.classes = m.classes()
	m.done()
	f.config.Services = append(f.config.Services, s)
	f.places = append(f.places, p)
}

func (m *mapping) faces() (faces []netip.AddrPort, places []place) {
	nodes, p := m.list("faces", maxFaces)
	if len(nodes) == 0 {
		m.d.report(p, CodeMissing, "the service has no face", "list at least one address with a port")
	}
	for i, n := range nodes {
		at := placeOf(n, fmt.Sprintf("%s[%d]", p.field, i))
		if a, ok := m.d.address(n, at); ok {
			faces = append(faces, a)
			places = append(places, at)
		}
	}
	return faces, places
}

// section takes a mapping that may be left out; reading from an absent one
// gives the defaults.
func (m *mapping) section(name string) *mapping {
	if sub := m.sub(name); sub != nil {
		return sub
	}
	return &mapping{d: m.d, place: place{line: m.place.line, column: m.place.column, field: m.path(name)}}
}

func (m *mapping) limits() Limits {
	sub := m.section("limits")
	defer sub.done()
	return Limits{
		Slots:       sub.whole("slots", DefaultSlots, 1, maxSlots),
		Queue:       sub.whole("queue", DefaultQueue, 0, maxQueue),
		Connections: sub.whole("connections", DefaultConnections, 1, maxConnections),
		BodyBytes:   sub.whole("body-bytes", DefaultBodyBytes, 0, maxBodyBytes),
	}
}

func (m *mapping) drain() Drain {
	sub := m.section("drain")
	defer sub.done()
	return Drain{Timeout: sub.duration("timeout", DefaultDrainTimeout, 0, maxDrain)}
}

func (m *mapping) health() Health {
	sub := m.section("health")
	defer sub.done()
	return Health{
		Path:           sub.urlPath("path", DefaultHealthPath),
		LoadPath:       sub.urlPath("load-path", DefaultLoadPath),
		Interval:       sub.duration("interval", DefaultInterval, minInterval, maxInterval),
		PanicThreshold: sub.share("panic-threshold", DefaultPanicThreshold),
		SlowStart:      sub.duration("slow-start", DefaultSlowStart, 0, maxSlowStart),
	}
}

func (m *mapping) retry() Retry {
	sub := m.section("retry")
	defer sub.done()
	return Retry{
		Attempts: sub.whole("attempts", DefaultAttempts, 1, maxAttempts),
		Budget:   sub.share("budget", DefaultBudget),
	}
}

func (m *mapping) classes() (classes []Class, places []classPlaces) {
	nodes, p := m.list("classes", maxClasses)
	if len(nodes) == 0 {
		m.d.report(p, CodeMissing, "the service has no class", "list at least one class of requests")
	}
	for i, n := range nodes {
		c, at := m.d.class(m.d.mapping(n, fmt.Sprintf("%s[%d]", p.field, i)))
		classes = append(classes, c)
		places = append(places, at)
	}
	return classes, places
}

func (d *decoder) class(m *mapping) (c Class, p classPlaces) {
	p.self = m.place
	c.Name, p.name = m.name()
	c.Methods, p.methods = m.methods()
	c.Path, p.path = m.pattern()
	c.Kind, p.kind = m.kind()
	c.Priority = m.whole("priority", DefaultPriority, 0, maxPriority)
	c.Idempotent, p.idempotent = m.flag("idempotent", c.Kind == KindFeed)
	c.Deadline = m.duration("deadline", DefaultDeadline, minDeadline, maxDeadline)
	resume, at := m.flag("resume", false)
	if resume && c.Kind != KindFeed {
		d.report(at, CodeConflict, "only a feed can be resumed", "remove resume, or set kind: feed")
	}
	c.Resume = resume
	m.done()
	return c, p
}

func (m *mapping) methods() (methods []string, p place) {
	nodes, p := m.list("methods", maxMethods)
	for i, n := range nodes {
		at := placeOf(n, fmt.Sprintf("%s[%d]", p.field, i))
		s, ok := m.d.scalar(n, at, "an HTTP method", "!!str")
		switch {
		case !ok:
		case !methodPattern.MatchString(s):
			m.d.report(at, CodeValue, fmt.Sprintf("%q is no HTTP method", s), "use upper-case letters, such as GET")
		case slices.Contains(methods, s):
			m.d.report(at, CodeDuplicate, "the method "+s+" stands twice", "remove one of them")
		default:
			methods = append(methods, s)
		}
	}
	return methods, p
}

// pattern takes a class's path: exact, or a prefix that ends in an asterisk.
func (m *mapping) pattern() (string, place) {
	const all = "/*"
	s, p := m.text("path", "")
	if _, given := m.fields["path"]; !given {
		m.d.report(p, CodeMissing, "the path is missing", "write a path, or "+all+" for every path")
		return all, p
	}
	if !pathPattern.MatchString(s) {
		m.d.report(p, CodeValue, fmt.Sprintf("%q is no path pattern", s),
			"begin with a slash; an asterisk may stand only at the end")
		return all, p
	}
	return s, p
}

func (m *mapping) kind() (Kind, place) {
	s, p := m.text("kind", string(KindRequest))
	kinds := []string{string(KindRequest), string(KindFeed), string(KindUpload)}
	if !slices.Contains(kinds, s) {
		m.d.report(p, CodeValue, fmt.Sprintf("%q is no kind of class", s), "use one of: "+strings.Join(kinds, ", "))
		return KindRequest, p
	}
	return Kind(s), p
}
