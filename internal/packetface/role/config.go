package role

import (
	"github.com/saltbend/saltbend/internal/packetface/registry"
	"github.com/saltbend/saltbend/internal/packetface/routing"
	"github.com/saltbend/saltbend/platform"
)

// How a configuration comes into force at a balancer.

// adopt puts a configuration in force if its version is higher.
func (b *balancer) adopt(l *registry.Listing) {
	if l.ConfigAt == b.configAt {
		return
	}
	b.configAt = l.ConfigAt
	config, findings, err := platform.ParseConfiguration(l.Config)
	if err != nil {
		b.log.Error("Configuration refused.", "at", l.ConfigAt, "error", err.Error(), "version", b.version)
		return
	}
	if len(findings) > 0 {
		b.log.Warn("Routes passed over.", "findings", findings.Error(), "version", config.Version)
	}
	if config.Version == b.version {
		return // written again, after the store came back from a copy
	}
	if config.Version < b.version {
		b.log.Warn("Configuration is not newer.", "offered", config.Version, "version", b.version)
		return
	}
	table := routing.NewTable(config)
	b.log.Info("Configuration adopted.", "version", config.Version, "before", b.version, "routes", table.Len(), "at", l.ConfigAt)
	b.version = config.Version
	b.core.SetTable(b.clock(), table, config.IdleLimit)
}

// freshenTable tells the core whether the configuration is known to be the newest, so
// that a face without a route is told so. One of a balancer that began while the store's
// era was not settled may be that of an older copy. The caller holds mu.
func (b *balancer) freshenTable() {
	b.beganInCopy = b.beganInCopy && b.settling
	b.core.SetTableFresh(b.storeReached && !b.beganInCopy)
}
