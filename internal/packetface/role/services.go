package role

import (
	"context"
	"sync"
	"time"

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
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.configured[name] {
		return serviceConfigured
	}
	if now := a.clock(); s.readAt == 0 || now-s.readAt >= servicesInterval {
		err := s.read(a.store)
		s.readAt, s.readOK = now, err == nil
		if err != nil {
			a.log.Warn("Failed to read the configuration to check a service.", "service", name, "error", err.Error())
		}
	}
	switch {
	case !s.readOK:
		return serviceUnknown
	case s.configured[name]:
		return serviceConfigured
	}
	return serviceNotConfigured
}

// read replaces the cached services by those of the configuration in the store, unless the
// store's configuration is older than the cached one.
func (s *serviceCache) read(store *platform.Store) error {
	ctx, cancel := context.WithTimeout(context.Background(), servicesTimeout)
	defer cancel()
	item, _, err := store.Get(ctx, platform.ConfigKey)
	if err != nil {
		return err
	}
	config, _, err := platform.ParseConfiguration(item.Value)
	if err != nil {
		return err
	}
	if config.Version < s.version {
		return nil // the store was restored from an older copy; operators will write the newer version again
	}
	s.version, s.configured = config.Version, make(map[string]bool)
	for _, name := range config.ServiceNames() {
		s.configured[name] = true
	}
	return nil
}
