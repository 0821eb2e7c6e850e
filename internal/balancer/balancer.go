// Package balancer assembles the balancer role of the daemon.
package balancer

import (
	"context"

	"github.com/saltbend/saltbend/internal/settings"
)

// Settings are the settings of the balancer role.
type Settings struct {
	settings.Common
}

// Check returns all findings about the settings.
func (s *Settings) Check() settings.Findings {
	return s.Common.Check()
}

// Run serves until ctx ends.
func Run(ctx context.Context, _ Settings, _ settings.Env) error {
	<-ctx.Done()
	return nil
}
