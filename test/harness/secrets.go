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
	// rereadMessage is the log message of the daemon after it has loaded new secrets.
	rereadMessage = "Secrets read again."
)

// secretsEnv returns the environment variable that points programs to the secrets file.
func (f *Fleet) secretsEnv() string { return "SALTBEND_SECRETS_FILE=" + f.path(secretsFile) }

func (f *Fleet) writeSecrets(secrets string) error {
	return errors.Wrap(os.WriteFile(f.path(secretsFile), []byte(secrets), 0o600), "write the secrets")
}

// RotateSecrets replaces the secrets file and makes all running balancers and agents
// reload it, one after the other. Processes started later read the new file.
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
		before := p.countLogged(rereadMessage)
		p.Signal(syscall.SIGHUP)
		if err := f.await(ctx, p, func() bool { return p.countLogged(rereadMessage) > before }); err != nil {
			return err
		}
	}
	return nil
}

// countLogged returns how often the process has logged the text.
func (p *Process) countLogged(text string) int {
	data, err := os.ReadFile(p.LogPath)
	if err != nil {
		return 0
	}
	return bytes.Count(data, []byte(text))
}
