package main

import (
	"bytes"
	"log/slog"
	"reflect"
	"time"

	"github.com/saltbend/saltbend/platform"
)

// settingsPollInterval is the interval at which the settings file is checked for changes,
// since the platform may change it without sending a signal.
const settingsPollInterval = 2 * time.Second

// watchedSettings detects changes of the settings file and passes them to the running
// role.
type watchedSettings struct {
	settings *packetSettings
	log      *slog.Logger
	// lastText is the content of the file when it was last read; nil before that.
	lastText []byte
	// current holds the settings of the last valid version of the file.
	current platform.Host
	// changes holds the latest changes that the role has not received yet.
	changes chan platform.ReloadableSettings
}

func newWatchedSettings(s *packetSettings, host platform.Host, log *slog.Logger) *watchedSettings {
	return &watchedSettings{settings: s, current: host, log: log, changes: make(chan platform.ReloadableSettings, 1)}
}

// poll reads the file and applies it if it has changed since it was last read. If the file
// can't be read, the next poll tries again.
func (w *watchedSettings) poll() {
	text, err := platform.ReadSettings(w.settings.path())
	if err != nil || bytes.Equal(text, w.lastText) {
		return
	}
	first := w.lastText == nil
	w.lastText = text
	host, err := w.settings.parse(text)
	if first && err == nil && reflect.DeepEqual(host, w.current) {
		return // unchanged since the start of the process
	}
	w.apply(host, err)
}

// reload reads and applies the file at an operator's request (SIGHUP) and logs the result,
// also if nothing has changed.
func (w *watchedSettings) reload() {
	text, err := platform.ReadSettings(w.settings.path())
	if err != nil {
		w.log.Error("Settings not read again.", "error", err.Error())
		return
	}
	w.lastText = text
	host, err := w.settings.parse(text)
	w.apply(host, err)
}

// apply passes on the settings that may change while the process runs, and logs a warning
// if other settings differ, which take effect only at the next start.
func (w *watchedSettings) apply(host platform.Host, err error) {
	if err != nil {
		w.log.Error("Settings not read again.", "error", err.Error())
		return
	}
	// Compare only the settings that can't change while the process runs.
	withCurrent := host
	withCurrent.ReloadableSettings, withCurrent.FirstStart = w.current.ReloadableSettings, w.current.FirstStart
	fixedUnchanged := reflect.DeepEqual(withCurrent, w.current)
	if host.ReloadableSettings == w.current.ReloadableSettings && fixedUnchanged {
		w.log.Info("Settings read again, nothing differs.")
	}
	if host.ReloadableSettings != w.current.ReloadableSettings {
		w.log.Info("Settings changed.", "store", host.Store.String(), "grace_ms", host.Grace.Milliseconds(),
			"drain_ms", host.DrainTimeout.Milliseconds(), "heartbeat_ms", host.HeartbeatInterval.Milliseconds(),
			"flow_max_age_ms", host.FlowMaxAge.Milliseconds(), "seeds", host.Seeds)
		w.publish(host.ReloadableSettings)
	}
	if !fixedUnchanged {
		w.log.Warn("Addresses, data centre or service differ; they take effect at the next start.",
			"packets", host.Packets.String(), "dc", host.DataCentre, "service", host.Service)
	}
	w.current = host
}

// publish puts the settings into the channel to the role, in place of earlier ones that
// the role has not received yet.
func (w *watchedSettings) publish(c platform.ReloadableSettings) {
	select {
	case <-w.changes: // replaced by the newer settings
	default:
	}
	w.changes <- c
}
