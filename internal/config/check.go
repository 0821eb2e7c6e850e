package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// check applies the rules that concern more than one field.
func (f *file) check(d *decoder) {
	f.checkNames(d)
	f.checkFaces(d)
	for i := range f.config.Services {
		f.checkClasses(d, i)
	}
}

func (f *file) checkNames(d *decoder) {
	names := map[string]place{}
	tags := map[Tag]string{}
	for i := range f.config.Services {
		name, at := f.config.Services[i].Name, f.places[i].name
		if name == "" {
			continue
		}
		if first, again := names[name]; again {
			d.report(at, CodeDuplicate, fmt.Sprintf("the service %s is listed again, first on line %d", name, first.line),
				"rename or remove one of them")
			continue
		}
		names[name] = at
		if other, again := tags[TagOf(name)]; again {
			d.report(at, CodeTagCollision, fmt.Sprintf("the names %s and %s have the same tag on the wire", other, name),
				"choose another name")
			continue
		}
		tags[TagOf(name)] = name
	}
}

// checkFaces refuses a face that two services, or one service twice, claim: a
// packet carries nothing but its face to tell the service.
func (f *file) checkFaces(d *decoder) {
	type owner struct {
		service string
		line    int
	}
	owners := map[netip.AddrPort]owner{}
	for i := range f.config.Services {
		s := &f.config.Services[i]
		for j, face := range s.Faces {
			at := f.places[i].faces[j]
			if first, again := owners[face]; again {
				d.report(at, CodeFaceOverlap, fmt.Sprintf("the face %s already belongs to %s, line %d", face, first.service, first.line),
					"leave the face to one service")
				continue
			}
			owners[face] = owner{service: s.Name, line: at.line}
		}
	}
}

// checkMoved refuses a face that belonged to another service. While balancers
// disagree, one that lags would send the new service's callers to the old one.
func (f *file) checkMoved(d *decoder, previous *Config) {
	if previous == nil {
		return
	}
	owners := map[netip.AddrPort]string{}
	for i := range previous.Services {
		for _, face := range previous.Services[i].Faces {
			owners[face] = previous.Services[i].Name
		}
	}
	for i := range f.config.Services {
		s := &f.config.Services[i]
		for j, face := range s.Faces {
			if was, owned := owners[face]; owned && was != s.Name {
				d.report(f.places[i].faces[j], CodeFaceMoved,
					fmt.Sprintf("the face %s belongs to %s in the configuration in force and can't move to %s in one step", face, was, s.Name),
					"apply a file without the face, wait until it is in force, then add the face")
			}
		}
	}
}

// checkFormer refuses a face that another service gave up a moment ago.
func (f *file) checkFormer(d *decoder, former []Former) {
	for i := range f.config.Services {
		s := &f.config.Services[i]
		for j, face := range s.Faces {
			k := slices.IndexFunc(former, func(was Former) bool { return was.Face == face && was.Service != s.Name })
			if k >= 0 {
				d.report(f.places[i].faces[j], CodeFaceMoved,
					fmt.Sprintf("the face %s belonged to %s a moment ago, and balancers may lag", face, former[k].Service),
					"apply the file again in a minute")
			}
		}
	}
}

func (f *file) checkClasses(d *decoder, i int) {
	classes, places := f.config.Services[i].Classes, f.places[i].classes
	names := map[string]bool{}
	for j := range classes {
		c, p := &classes[j], &places[j]
		if c.Name != "" && names[c.Name] {
			d.report(p.name, CodeDuplicate, "the class "+c.Name+" is listed twice", "rename or remove one of them")
		}
		names[c.Name] = true
		checkKind(d, c, p)
		checkReachable(d, classes[:j], c, p)
	}
}

// checkKind refuses a feed that must not run twice: a feed is opened again
// whenever its upstream leaves.
func checkKind(d *decoder, c *Class, p *classPlaces) {
	if c.Kind == KindFeed && !c.Idempotent {
		d.report(p.idempotent, CodeConflict, "a feed must be idempotent, since it is opened again when its upstream leaves",
			"set idempotent: true, or kind: request")
	}
}

// checkReachable compares a class with those before it: the first that
// matches a request wins.
func checkReachable(d *decoder, before []Class, c *Class, p *classPlaces) {
	over := slices.DeleteFunc(slices.Clone(before), func(b Class) bool { return !b.coversPath(c.Path) })
	if !coverMethods(over, c.Methods) {
		return
	}
	for i := range over {
		if over[i].Path == c.Path && sameMethods(over[i].Methods, c.Methods) {
			d.report(p.self, CodeConflict, fmt.Sprintf("the class %s matches the same requests as %s", c.Name, over[i].Name),
				"remove one of them, or change its path or methods")
			return
		}
	}
	d.report(p.self, CodeUnreachable, fmt.Sprintf("no request reaches the class %s, because classes above it match them all", c.Name),
		"move it above "+over[0].Name)
}

// coverMethods reports whether each of the methods, none standing for all, is
// matched by one of the classes.
func coverMethods(classes []Class, methods []string) bool {
	if len(methods) == 0 {
		return slices.ContainsFunc(classes, func(c Class) bool { return len(c.Methods) == 0 })
	}
	return !slices.ContainsFunc(methods, func(m string) bool {
		return !slices.ContainsFunc(classes, func(c Class) bool { return c.matchesMethod(m) })
	})
}

func (c *Class) coversPath(path string) bool {
	prefix, wild := strings.CutSuffix(c.Path, "*")
	if !wild {
		return c.Path == path
	}
	return strings.HasPrefix(strings.TrimSuffix(path, "*"), prefix)
}

func sameMethods(a, b []string) bool {
	a, b = slices.Clone(a), slices.Clone(b)
	slices.Sort(a)
	slices.Sort(b)
	return slices.Equal(a, b)
}
