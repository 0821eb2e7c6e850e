// Package config holds the operators' configuration as typed values. A file is
// parsed and validated as a whole before any of it is used; a Config value is
// immutable once it was built.
package config

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config is one accepted configuration file.
type Config struct {
	// Revision is the store's revision of the file; it only rises.
	Revision uint64
	// Keys names the fleet secrets that sign and that are accepted.
	Keys     Keys
	Services []Service
}

// Keys refers to the fleet's secrets by their ids; the secrets themselves are
// never part of a configuration.
type Keys struct {
	// Set is false where the file leaves the choice to each process's settings.
	Set     bool
	Current uint8
	// Previous equals Current where no rotation is under way.
	Previous uint8
}

// Service is a set of upstreams behind one public face.
type Service struct {
	Name string
	// Faces are the public UDP addresses on which callers reach the service.
	Faces   []netip.AddrPort
	Limits  Limits
	Classes []Class
	Drain   Drain
	Health  Health
	Retry   Retry
}

// Limits bound what one upstream of a service takes on.
type Limits struct {
	// Slots is the number of requests that run at once.
	Slots int
	// Queue is the number of requests that wait for a slot.
	Queue int
	// Connections is the number of caller connections (flows).
	Connections int
	// BodyBytes bounds the body of a request that may be passed to a sibling.
	BodyBytes int
}

// Kind tells how a class of requests is carried.
type Kind string

// Kinds of classes.
const (
	// KindRequest takes a slot until its answer is whole.
	KindRequest Kind = "request"
	// KindFeed takes a connection and no slot, and stays open.
	KindFeed Kind = "feed"
	// KindUpload takes a slot and streams its body with back pressure.
	KindUpload Kind = "upload"
)

// Class is a kind of request within a service.
type Class struct {
	Name string
	// Methods are HTTP methods; empty matches all.
	Methods []string
	// Path is a path pattern: exact, or a prefix that ends in "*".
	Path string
	Kind Kind
	// Priority orders waiting requests: 0 goes first.
	Priority int
	// Idempotent requests may be run again, on any upstream of the service.
	// The others need a ticket and run at most once.
	Idempotent bool
	// Deadline is the time a request has from its arrival to the whole answer.
	Deadline time.Duration
	// Resume tells that a feed may be subscribed to again at another upstream
	// with the Last-Event-ID of its last event.
	Resume bool
}

// Drain bounds a graceful stop.
type Drain struct {
	// Timeout ends a drain whose feeds do not end by themselves.
	Timeout time.Duration
}

// Health tells how an agent judges its upstream.
type Health struct {
	// Path and LoadPath are HTTP paths at the upstream.
	Path     string
	LoadPath string
	Interval time.Duration
	// PanicThreshold is the share of a service's upstreams (0 to 1) that must
	// look healthy; below it, health is ignored and work is spread over all.
	PanicThreshold float64
	// SlowStart is the time over which a cold upstream's share rises to full.
	SlowStart time.Duration
}

// Retry bounds how often idempotent requests are run again.
type Retry struct {
	// Attempts is the most times one request is tried, the first included.
	Attempts int
	// Budget is the share of first tries (0 to 1) that may be retried.
	Budget float64
}

// Tag is a service's 32-bit identity on the wire: the low half of the xxhash
// of its name. Validation refuses two services of one tag.
type Tag uint32

// TagOf returns the tag of the service called name.
func TagOf(name string) Tag {
	return Tag(xxhash.Sum64String(name))
}

// Class returns the first class that matches the method and path, in file
// order; ok is false where none does.
func (s *Service) Class(method, path string) (class Class, ok bool) {
	for i := range s.Classes {
		if s.Classes[i].Matches(method, path) {
			return s.Classes[i], true
		}
	}
	return Class{}, false
}

// Matches reports whether a request with this method and path is of the class.
func (c *Class) Matches(method, path string) bool {
	return c.matchesMethod(method) && c.matchesPath(path)
}

func (c *Class) matchesMethod(method string) bool {
	for _, m := range c.Methods {
		if m == method {
			return true
		}
	}
	return len(c.Methods) == 0
}

func (c *Class) matchesPath(path string) bool {
	n := len(c.Path)
	if n > 0 && c.Path[n-1] == '*' {
		return len(path) >= n-1 && path[:n-1] == c.Path[:n-1]
	}
	return c.Path == path
}
