package role

import (
	"github.com/saltbend/saltbend/internal/packetface/registry"
	"github.com/saltbend/saltbend/internal/packetface/routing"
	"github.com/saltbend/saltbend/platform"
)

// This file applies new configurations at a balancer.

// adopt puts the configuration of a listing in force if its version is higher than the
// current one.
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
		b.log.Warn("Invalid settings of the configuration ignored.", "findings", findings.Error(), "version", config.Version)
	}
	if config.Version == b.version {
		return // the same version, rewritten after the store was restored from a copy
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

// updateTableFresh informs the core whether the configuration is known to be the newest.
// Only then may the core reset flows to a face without a route. A balancer that started
// while the store's era had not settled may have the older configuration of a restored
// copy. mu must be held.
func (b *balancer) updateTableFresh() {
	b.startedUnsettled = b.startedUnsettled && b.settling
	b.core.SetTableFresh(b.storeReachable && !b.startedUnsettled)
}
