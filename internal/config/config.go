// Package config parses and validates the operators' configuration file. A file is
// validated as a whole before any part of it is used. A Config is immutable after parsing.
//
// The configuration lists services. A service is a set of upstreams that callers reach at
// its faces, which are public UDP addresses. Its requests are divided into classes.
package config

import (
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config is a valid configuration.
type Config struct {
	// Revision is the store's revision of the configuration. It never decreases.
	Revision uint64
	// Keys selects the fleet secrets that are used for signing and that are accepted.
	Keys     Keys
	Services []Service
}

// Keys refers to the fleet's secrets by their IDs. The secrets themselves are never part of
// a configuration.
type Keys struct {
	// Set is false if the file has no keys, so that each process's own settings apply.
	Set     bool
	Current uint8
	// Previous equals Current unless a key rotation is in progress.
	Previous uint8
}

// Service is a set of upstreams that share public addresses and request classes.
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

// Limits bounds the load of one upstream of a service.
type Limits struct {
	// Slots is the largest number of requests that run concurrently.
	Slots int
	// Queue is the largest number of requests that wait for a slot.
	Queue int
	// Connections is the largest number of caller connections (flows).
	Connections int
	// BodyBytes is the largest body of a request that may be handed over to a sibling,
	// which is another agent of the same service.
	BodyBytes int
}

// Kind determines how the requests of a class are carried.
type Kind string

// Kinds of classes.
const (
	// KindRequest is a request that occupies a slot until its response is complete.
	KindRequest Kind = "request"
	// KindFeed is a long-lived response stream. It occupies a connection but no slot.
	KindFeed Kind = "feed"
	// KindUpload is a request that occupies a slot and whose body is streamed with back
	// pressure.
	KindUpload Kind = "upload"
)

// Class is a group of requests of a service that are handled alike.
type Class struct {
	Name string
	// Methods are the HTTP methods that the class matches. An empty list matches all.
	Methods []string
	// Path is the path pattern: an exact path, or a prefix followed by "*".
	Path string
	Kind Kind
	// Priority orders waiting requests; 0 is the highest.
	Priority int
	// Idempotent requests may be retried on any upstream of the service. Other requests
	// need a ticket, a token under which a request runs at most once.
	Idempotent bool
	// Deadline is the time from the arrival of a request to its complete response.
	Deadline time.Duration
	// Resume allows a feed to be resumed at another upstream, with the Last-Event-ID of its
	// last event.
	Resume bool
}

// Drain configures a graceful shutdown.
type Drain struct {
	// Timeout is the time after which a drain ends even if feeds are still open.
	Timeout time.Duration
}

// Health configures how an agent checks the health of its upstream.
type Health struct {
	// Path and LoadPath are the HTTP paths at which the upstream reports its health and its
	// load.
	Path     string
	LoadPath string
	Interval time.Duration
	// PanicThreshold is the fraction of a service's upstreams (0 to 1) that must be
	// healthy. Below it, health is ignored and requests are spread over all upstreams.
	PanicThreshold float64
	// SlowStart is the time over which the share of a cold upstream rises to its full value.
	SlowStart time.Duration
}

// Retry limits the retries of idempotent requests.
type Retry struct {
	// Attempts is the largest number of attempts for one request, including the first.
	Attempts int
	// Budget is the largest number of retries as a fraction (0 to 1) of first attempts.
	Budget float64
}

// Tag identifies a service on the wire in 32 bits: the low half of the xxhash of its name.
// Validation rejects two services with the same tag.
type Tag uint32

// TagOf returns the tag of the service with this name.
func TagOf(name string) Tag {
	return Tag(xxhash.Sum64String(name))
}

// Class returns the first class, in file order, that matches the method and path. ok is
// false if none does.
func (s *Service) Class(method, path string) (class Class, ok bool) {
	for i := range s.Classes {
		if s.Classes[i].Matches(method, path) {
			return s.Classes[i], true
		}
	}
	return Class{}, false
}

// Matches reports whether a request with this method and path belongs to the class.
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
