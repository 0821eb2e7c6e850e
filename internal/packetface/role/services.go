package role

import (
	"context"
	"sync"
	"time"

	"github.com/saltbend/saltbend/platform"
)

// An address may be used again by another service, and another writer may report a
// service that there is none of. An agent knows no configuration; when its upstream
// reports a service that is new to it, it looks in the store whether one names it.

const (
	// servicesTimeout bounds the reading of a configuration: an upstream waits a second
	// for the answer to its heartbeat.
	servicesTimeout = 600 * time.Millisecond
	// servicesEvery is the least time between two readings, whatever is reported.
	servicesEvery = time.Second
)

// naming says whether a configuration names a service.
type naming uint8

const (
	serviceNamed naming = iota
	serviceUnnamed
	// serviceUnsure: no configuration could be read.
	serviceUnsure
)

// services remembers which services a configuration names.
type services struct {
	mu    sync.Mutex
	named map[string]bool
	// version is that of the configuration that names them.
	version uint64
	// asked is when a configuration was last asked for, reached whether it came.
	asked   time.Duration
	reached bool
}

// knowsService reports whether a configuration names a service. That of the host's
// settings needs no proof.
func (a *agent) knowsService(name string) naming {
	if name == a.env.Host.Service {
		return serviceNamed
	}
	s := &a.services
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.named[name] {
		return serviceNamed
	}
	if now := a.clock(); s.asked == 0 || now-s.asked >= servicesEvery {
		err := s.read(a.store)
		s.asked, s.reached = now, err == nil
		if err != nil {
			a.log.Warn("Configuration not read for a service.", "service", name, "error", err.Error())
		}
	}
	switch {
	case !s.reached:
		return serviceUnsure
	case s.named[name]:
		return serviceNamed
	}
	return serviceUnnamed
}

// read takes over the services of the configuration in the store.
func (s *services) read(store *platform.Store) error {
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
		return nil // the store came back older, and the newer one is to be written again
	}
	s.version, s.named = config.Version, make(map[string]bool)
	for _, name := range config.ServiceNames() {
		s.named[name] = true
	}
	return nil
}
