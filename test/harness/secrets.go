package harness

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/pkg/errors"
)

const (
	secretsFile = "secrets"
	// rereadMessage is what the daemon logs after it has taken new secrets.
	rereadMessage = "Secrets read again."
)

// secretsEnv is how the programs of the fleet find its secrets.
func (f *Fleet) secretsEnv() string { return "SALTBEND_SECRETS_FILE=" + f.path(secretsFile) }

func (f *Fleet) writeSecrets(secrets string) error {
	return errors.Wrap(os.WriteFile(f.path(secretsFile), []byte(secrets), 0o600), "write the secrets")
}

// RotateSecrets gives other secrets to all running members, one after the
// other, and to those that are started later.
func (f *Fleet) RotateSecrets(ctx context.Context, secrets string) error {
	if err := f.writeSecrets(secrets); err != nil {
		return err
	}
	f.mu.Lock()
	all := slices.Clone(f.all)
	f.mu.Unlock()
	for _, p := range all {
		if filepath.Base(p.cmd.Path) != "saltbendd" || !p.Alive() {
			continue
		}
		before := p.logged(rereadMessage)
		p.Signal(syscall.SIGHUP)
		if err := f.await(ctx, p, func() bool { return p.logged(rereadMessage) > before }); err != nil {
			return err
		}
	}
	return nil
}

// logged counts how often the process has logged the text.
func (p *Process) logged(text string) int {
	data, err := os.ReadFile(p.LogPath)
	if err != nil {
		return 0
	}
	return bytes.Count(data, []byte(text))
}
