package main

import (
	"context"
	"log/slog"
	"os"
	"syscall"

	"github.com/saltbend/saltbend/internal/event"
	"github.com/saltbend/saltbend/internal/exit"
	"github.com/saltbend/saltbend/internal/settings"
)

// Kinds of the daemon's events.
const (
	eventStarted         event.Kind = "started"
	eventStopping        event.Kind = "stopping"
	eventSecretsReloaded event.Kind = "secrets-reloaded"
	eventSecretsRefused  event.Kind = "secrets-refused"
)

// part names the daemon in logs and events.
const part = "daemon"

// waitForRole waits until the role has ended and returns the exit code. The first SIGTERM
// or SIGINT cancels the role's context; the second one makes waitForRole return at once.
// SIGHUP reloads the secrets.
func waitForRole(r *role, env settings.Env, log *slog.Logger, done <-chan error, cancel context.CancelFunc, signals <-chan os.Signal) int {
	stopping := false
	for {
		select {
		case err := <-done:
			return exitCode(err, log)
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				reloadSecrets(r.common, env, log)
				continue
			}
			if stopping {
				log.Warn("Second signal, ending at once.", slog.String("signal", sig.String()))
				return exit.Forced
			}
			stopping = true
			log.Info("Stopping.", slog.String("signal", sig.String()))
			env.Events.Add(part, eventStopping, sig.String())
			cancel()
		}
	}
}

// exitCode logs how the role ended and returns the exit code.
func exitCode(err error, log *slog.Logger) int {
	if err != nil {
		log.Error("Role failed.", slog.String("error", err.Error()))
		return exit.Failure
	}
	log.Info("Stopped.")
	return exit.OK
}

// reloadSecrets reads the secrets file and puts its secrets in force. It keeps the old
// secrets if the file is invalid, or if its current secret is not among the old ones:
// processes that have not reloaded the file yet would refuse this process's messages.
func reloadSecrets(c *settings.Common, env settings.Env, log *slog.Logger) {
	ring, err := c.LoadRing()
	if err == nil {
		err = ring.CheckSuccessorOf(env.Keys.Ring())
	}
	if err != nil {
		log.Error("Secrets not read again.", slog.String("error", err.Error()))
		env.Events.Add(part, eventSecretsRefused, err.Error())
		return
	}
	env.Keys.Set(ring)
	log.Info("Secrets read again.")
	env.Events.Add(part, eventSecretsReloaded, "")
}
