package config

import (
	"fmt"
	"slices"
	"strings"
)

// Op is the kind of a change to a part of the configuration.
type Op string

// Kinds of changes.
const (
	OpAdded   Op = "added"
	OpRemoved Op = "removed"
	OpChanged Op = "changed"
)

// Difference is one difference between two configurations.
type Difference struct {
	Op Op `json:"op"`
	// Service is empty for fields that apply to the whole fleet.
	Service string `json:"service,omitempty"`
	// Field is the path of the field within the service; empty for a whole service.
	Field string `json:"field,omitempty"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// Diff returns the differences from old to next: first those of next's services in their
// order, then the removed services. Either configuration may be nil, which stands for one
// without services.
func Diff(old, next *Config) []Difference {
	old, next = orEmpty(old), orEmpty(next)
	diffs := diffFields("", []fieldValue{{"keys", old.Keys.String()}}, []fieldValue{{"keys", next.Keys.String()}})
	for i := range next.Services {
		s := &next.Services[i]
		previous := old.service(s.Name)
		if previous == nil {
			diffs = append(diffs, Difference{Op: OpAdded, Service: s.Name, New: s.summary()})
			continue
		}
		diffs = append(diffs, diffFields(s.Name, previous.values(), s.values())...)
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

// fieldValue is the name and the displayed value of a field.
type fieldValue struct {
	name, value string
}

// diffFields compares two lists of fields. Names must be unique within a list.
func diffFields(service string, old, next []fieldValue) []Difference {
	var diffs []Difference
	oldValues := map[string]string{}
	for _, f := range old {
		oldValues[f.name] = f.value
	}
	for _, f := range next {
		oldValue, exists := oldValues[f.name]
		delete(oldValues, f.name)
		switch {
		case !exists:
			diffs = append(diffs, Difference{Op: OpAdded, Service: service, Field: f.name, New: f.value})
		case oldValue != f.value:
			diffs = append(diffs, Difference{Op: OpChanged, Service: service, Field: f.name, Old: oldValue, New: f.value})
		}
	}
	for _, f := range old {
		if _, remaining := oldValues[f.name]; remaining {
			diffs = append(diffs, Difference{Op: OpRemoved, Service: service, Field: f.name, Old: f.value})
		}
	}
	return diffs
}

// String returns the key IDs as shown in a difference, such as "2, previous 1".
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

func (s *Service) values() []fieldValue {
	values := []fieldValue{
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
		values = append(values, fieldValue{"classes." + s.Classes[i].Name, s.Classes[i].summary()})
	}
	return values
}

// classOrder returns the names of the classes in file order, which decides which class a
// request gets.
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
