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

// Kinds of events of the daemon.
const (
	eventStart     event.Kind = "started"
	eventStop      event.Kind = "stopping"
	eventKeys      event.Kind = "secrets-reloaded"
	eventKeysError event.Kind = "secrets-refused"
)

// part names the daemon in logs and events.
const part = "daemon"

// wait returns the exit code when the role has ended. The first SIGTERM or
// SIGINT cancels the role's context, the second ends at once; SIGHUP reads the
// secrets again.
func wait(r *role, env settings.Env, log *slog.Logger, done <-chan error, cancel context.CancelFunc, signals <-chan os.Signal) int {
	stopping := false
	for {
		select {
		case err := <-done:
			return result(err, log)
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				reload(r.common, env, log)
				continue
			}
			if stopping {
				log.Warn("Second signal, ending at once.", slog.String("signal", sig.String()))
				return exit.Forced
			}
			stopping = true
			log.Info("Stopping.", slog.String("signal", sig.String()))
			env.Events.Add(part, eventStop, sig.String())
			cancel()
		}
	}
}

func result(err error, log *slog.Logger) int {
	if err != nil {
		log.Error("Role failed.", slog.String("error", err.Error()))
		return exit.Failure
	}
	log.Info("Stopped.")
	return exit.OK
}

// reload puts the secrets of the file in force. When they are wrong, or would
// cut this process off from those that weren't told yet, the old ones stay.
func reload(c *settings.Common, env settings.Env, log *slog.Logger) {
	ring, err := c.LoadRing()
	if err == nil {
		err = ring.CheckSuccessorOf(env.Keys.Ring())
	}
	if err != nil {
		log.Error("Secrets not read again.", slog.String("error", err.Error()))
		env.Events.Add(part, eventKeysError, err.Error())
		return
	}
	env.Keys.Set(ring)
	log.Info("Secrets read again.")
	env.Events.Add(part, eventKeys, "")
}
