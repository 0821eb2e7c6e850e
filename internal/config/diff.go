package config

import (
	"fmt"
	"slices"
	"strings"
)

// Op tells what happened to a part of the configuration.
type Op string

// Operations of a difference.
const (
	OpAdded   Op = "added"
	OpRemoved Op = "removed"
	OpChanged Op = "changed"
)

// Difference is one thing that differs between two configurations.
type Difference struct {
	Op Op `json:"op"`
	// Service is empty for what concerns the whole fleet.
	Service string `json:"service,omitempty"`
	// Field is the path within the service; empty for the service as a whole.
	Field string `json:"field,omitempty"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// Diff returns what changes from old to next, in the order of next's services
// and then the removed ones. Either may be nil, which stands for no service.
func Diff(old, next *Config) []Difference {
	old, next = orEmpty(old), orEmpty(next)
	diffs := diffFields("", []namedValue{{"keys", old.Keys.String()}}, []namedValue{{"keys", next.Keys.String()}})
	for i := range next.Services {
		s := &next.Services[i]
		was := old.service(s.Name)
		if was == nil {
			diffs = append(diffs, Difference{Op: OpAdded, Service: s.Name, New: s.summary()})
			continue
		}
		diffs = append(diffs, diffFields(s.Name, was.values(), s.values())...)
	}
	for i := range old.Services {
		if s := &old.Services[i]; next.service(s.Name) == nil {
			diffs = append(diffs, Difference{Op: OpRemoved, Service: s.Name, Old: s.summary()})
		}
	}
	return diffs
}

func orEmpty(c *Config) *Config {
	if c == nil {
		return &Config{}
	}
	return c
}

func (c *Config) service(name string) *Service {
	i := slices.IndexFunc(c.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return nil
	}
	return &c.Services[i]
}

// namedValue is a field as people read it.
type namedValue struct {
	name, value string
}

// diffFields compares two lists of fields with distinct names.
func diffFields(service string, old, next []namedValue) []Difference {
	var diffs []Difference
	was := map[string]string{}
	for _, f := range old {
		was[f.name] = f.value
	}
	for _, f := range next {
		before, there := was[f.name]
		delete(was, f.name)
		switch {
		case !there:
			diffs = append(diffs, Difference{Op: OpAdded, Service: service, Field: f.name, New: f.value})
		case before != f.value:
			diffs = append(diffs, Difference{Op: OpChanged, Service: service, Field: f.name, Old: before, New: f.value})
		}
	}
	for _, f := range old {
		if _, left := was[f.name]; left {
			diffs = append(diffs, Difference{Op: OpRemoved, Service: service, Field: f.name, Old: f.value})
		}
	}
	return diffs
}

// String returns the references as people read them.
func (k Keys) String() string {
	switch {
	case !k.Set:
		return ""
	case k.Current == k.Previous:
		return fmt.Sprint(k.Current)
	}
	return fmt.Sprintf("%d, previous %d", k.Current, k.Previous)
}

func (s *Service) summary() string {
	return fmt.Sprintf("faces %s, %d classes", s.faceList(), len(s.Classes))
}

func (s *Service) faceList() string {
	names := make([]string, 0, len(s.Faces))
	for _, f := range s.Faces {
		names = append(names, f.String())
	}
	return strings.Join(names, " ")
}

func (s *Service) values() []namedValue {
	values := []namedValue{
		{"faces", s.faceList()},
		{"limits.slots", fmt.Sprint(s.Limits.Slots)},
		{"limits.queue", fmt.Sprint(s.Limits.Queue)},
		{"limits.connections", fmt.Sprint(s.Limits.Connections)},
		{"limits.body-bytes", fmt.Sprint(s.Limits.BodyBytes)},
		{"drain.timeout", s.Drain.Timeout.String()},
		{"health.path", s.Health.Path},
		{"health.load-path", s.Health.LoadPath},
		{"health.interval", s.Health.Interval.String()},
		{"health.panic-threshold", fmt.Sprint(s.Health.PanicThreshold)},
		{"health.slow-start", s.Health.SlowStart.String()},
		{"retry.attempts", fmt.Sprint(s.Retry.Attempts)},
		{"retry.budget", fmt.Sprint(s.Retry.Budget)},
		{"classes", s.classOrder()},
	}
	for i := range s.Classes {
		values = append(values, namedValue{"classes." + s.Classes[i].Name, s.Classes[i].summary()})
	}
	return values
}

// classOrder lists the classes in file order, which decides what matches.
func (s *Service) classOrder() string {
	names := make([]string, 0, len(s.Classes))
	for i := range s.Classes {
		names = append(names, s.Classes[i].Name)
	}
	return strings.Join(names, " ")
}

func (c *Class) summary() string {
	parts := []string{string(c.Kind), strings.Join(c.Methods, ","), c.Path,
		fmt.Sprintf("priority %d", c.Priority), "deadline " + c.Deadline.String()}
	if c.Idempotent {
		parts = append(parts, "idempotent")
	}
	if c.Resume {
		parts = append(parts, "resume")
	}
	return strings.Join(slices.DeleteFunc(parts, func(p string) bool { return p == "" }), " ")
}
