package config

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
)

// check applies the rules that span several fields.
func (f *file) check(d *decoder) {
	f.checkNames(d)
	f.checkFaces(d)
	for i := range f.config.Services {
		f.checkClasses(d, i)
	}
}

func (f *file) checkNames(d *decoder) {
	names := map[string]position{}
	tags := map[Tag]string{}
	for i := range f.config.Services {
		name, at := f.config.Services[i].Name, f.positions[i].name
		if name == "" {
			continue
		}
		if first, exists := names[name]; exists {
			d.report(at, CodeDuplicate, fmt.Sprintf("the service %s is listed twice, first on line %d", name, first.line),
				"rename or remove one of them")
			continue
		}
		names[name] = at
		if other, exists := tags[TagOf(name)]; exists {
			d.report(at, CodeTagCollision, fmt.Sprintf("the names %s and %s have the same tag on the wire", other, name),
				"choose another name")
			continue
		}
		tags[TagOf(name)] = name
	}
}

// checkFaces rejects a face that is listed more than once, by one service or by two: a
// packet's destination address is the only thing that identifies its service.
func (f *file) checkFaces(d *decoder) {
	type owner struct {
		service string
		line    int
	}
	owners := map[netip.AddrPort]owner{}
	for i := range f.config.Services {
		s := &f.config.Services[i]
		for j, face := range s.Faces {
			at := f.positions[i].faces[j]
			if first, exists := owners[face]; exists {
				d.report(at, CodeFaceOverlap, fmt.Sprintf("the face %s already belongs to %s, line %d", face, first.service, first.line),
					"list the face once, at one service")
				continue
			}
			owners[face] = owner{service: s.Name, line: at.line}
		}
	}
}

// checkMovedFaces rejects a face that belongs to another service in the previous
// configuration. Balancers don't adopt a configuration at the same moment; one that still
// has the previous configuration would route the new service's callers to the old service.
func (f *file) checkMovedFaces(d *decoder, previous *Config) {
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
			if owner, owned := owners[face]; owned && owner != s.Name {
				d.report(f.positions[i].faces[j], CodeFaceMoved,
					fmt.Sprintf("the face %s belongs to %s in the configuration in force and can't move to %s in one step", face, owner, s.Name),
					"apply a file without the face, wait until it is in force, then add the face")
			}
		}
	}
}

// checkHeldFaces rejects a face that was removed from another service so recently that
// balancers may still route it to that service.
func (f *file) checkHeldFaces(d *decoder, held []HeldFace) {
	for i := range f.config.Services {
		s := &f.config.Services[i]
		for j, face := range s.Faces {
			k := slices.IndexFunc(held, func(h HeldFace) bool { return h.Face == face && h.Service != s.Name })
			if k >= 0 {
				d.report(f.positions[i].faces[j], CodeFaceMoved,
					fmt.Sprintf("the face %s belonged to %s until recently, and some balancers may not have the change yet", face, held[k].Service),
					"apply the file again after a minute")
			}
		}
	}
}

func (f *file) checkClasses(d *decoder, i int) {
	classes, positions := f.config.Services[i].Classes, f.positions[i].classes
	names := map[string]bool{}
	for j := range classes {
		c, p := &classes[j], &positions[j]
		if c.Name != "" && names[c.Name] {
			d.report(p.name, CodeDuplicate, "the class "+c.Name+" is listed twice", "rename or remove one of them")
		}
		names[c.Name] = true
		checkKind(d, c, p)
		checkReachable(d, classes[:j], c, p)
	}
}

// checkKind rejects a feed that isn't idempotent: a feed is reopened at another upstream
// whenever its upstream goes away.
func checkKind(d *decoder, c *Class, p *classPositions) {
	if c.Kind == KindFeed && !c.Idempotent {
		d.report(p.idempotent, CodeConflict, "a feed must be idempotent, because it is reopened when its upstream goes away",
			"set idempotent: true, or kind: request")
	}
}

// checkReachable rejects a class that no request can reach, because a request gets the
// first class that matches and the preceding classes match all requests of this class.
func checkReachable(d *decoder, preceding []Class, c *Class, p *classPositions) {
	covering := slices.DeleteFunc(slices.Clone(preceding), func(b Class) bool { return !b.coversPath(c.Path) })
	if !coverMethods(covering, c.Methods) {
		return
	}
	for i := range covering {
		if covering[i].Path == c.Path && sameMethods(covering[i].Methods, c.Methods) {
			d.report(p.self, CodeConflict, fmt.Sprintf("the class %s matches the same requests as %s", c.Name, covering[i].Name),
				"remove one of them, or change its path or methods")
			return
		}
	}
	d.report(p.self, CodeUnreachable, fmt.Sprintf("no request reaches the class %s, because classes above it match them all", c.Name),
		"move it above "+covering[0].Name)
}

// coverMethods reports whether each of the methods is matched by one of the classes. An
// empty list of methods stands for all methods.
func coverMethods(classes []Class, methods []string) bool {
	if len(methods) == 0 {
		return slices.ContainsFunc(classes, func(c Class) bool { return len(c.Methods) == 0 })
	}
	return !slices.ContainsFunc(methods, func(m string) bool {
		return !slices.ContainsFunc(classes, func(c Class) bool { return c.matchesMethod(m) })
	})
}

// coversPath reports whether c matches every path that the given path pattern matches.
func (c *Class) coversPath(path string) bool {
	prefix, wildcard := strings.CutSuffix(c.Path, "*")
	if !wildcard {
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
