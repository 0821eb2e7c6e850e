package role

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/saltbend/saltbend/platform"
)

// An address may be reassigned to an upstream of another service, and another program may
// report a service that does not exist. An agent does not follow the configuration. When
// a heartbeat names a service that is new to the agent, the agent reads the configuration
// from the store and checks that the configuration names the service.

const (
	// servicesTimeout bounds the read of a configuration. An upstream waits 1 s for the
	// response to its heartbeat.
	servicesTimeout = 600 * time.Millisecond
	// servicesInterval is the minimum time between two reads, however many heartbeats
	// name unknown services.
	servicesInterval = time.Second
)

// serviceStatus is whether the configuration names a service.
type serviceStatus uint8

const (
	serviceConfigured serviceStatus = iota
	serviceNotConfigured
	// serviceUnknown means that no configuration could be read.
	serviceUnknown
)

// serviceCache holds the services that the last configuration read from the store names.
type serviceCache struct {
	// reads makes heartbeats that need the configuration at the same time share one read.
	reads singleflight.Group
	// mu guards the fields from here on. It is not held during a read, so heartbeats of
	// known services do not wait for the store.
	mu         sync.Mutex
	configured map[string]bool
	// version is the version of the last configuration read.
	version uint64
	// readAt is when a configuration was last requested, 0 for never. readOK reports
	// whether the last request succeeded.
	readAt time.Duration
	readOK bool
}

// serviceStatusOf returns whether the configuration names a service. The service in the
// host's settings is accepted without a check.
func (a *agent) serviceStatusOf(name string) serviceStatus {
	if name == a.env.Host.Service {
		return serviceConfigured
	}
	s := &a.services
	now := a.clock()
	if s.names(name) || !s.readDue(now) {
		return s.status(name)
	}
	_, err, _ := s.reads.Do(platform.ConfigKey, func() (any, error) { return nil, s.read(a.store, now) })
	if err != nil {
		a.log.Warn("Failed to read the configuration to check a service.", "service", name, "error", err.Error())
	}
	return s.status(name)
}

// names reports whether the cached configuration names a service.
func (s *serviceCache) names(service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configured[service]
}

// readDue reports whether the last read is long enough ago for another one.
func (s *serviceCache) readDue(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.readAt == 0 || now-s.readAt >= servicesInterval
}

// status returns whether the configuration names a service, as far as the last read shows.
func (s *serviceCache) status(service string) serviceStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.configured[service]:
		return serviceConfigured
	case !s.readOK:
		return serviceUnknown
	}
	return serviceNotConfigured
}

// read requests the configuration from the store and records the outcome.
func (s *serviceCache) read(store *platform.Store, now time.Duration) error {
	config, err := readConfiguration(store)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readAt, s.readOK = now, err == nil
	if err != nil || config.Version < s.version {
		return err // an older version: the store was restored from a copy, and operators will write the newer version again
	}
	s.version, s.configured = config.Version, make(map[string]bool)
	for _, name := range config.ServiceNames() {
		s.configured[name] = true
	}
	return nil
}

// readConfiguration returns the configuration in the store.
func readConfiguration(store *platform.Store) (platform.Configuration, error) {
	ctx, cancel := context.WithTimeout(context.Background(), servicesTimeout)
	defer cancel()
	item, _, err := store.Get(ctx, platform.ConfigKey)
	if err != nil {
		return platform.Configuration{}, err
	}
	config, _, err := platform.ParseConfiguration(item.Value)
	return config, err
}
