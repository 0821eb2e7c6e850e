package main

import (
	"bytes"
	"log/slog"
	"reflect"
	"time"

	"github.com/saltbend/saltbend/platform"
)

// settingsPoll is the time between two looks whether the settings file has
// changed: the platform may change it without a signal.
const settingsPoll = 2 * time.Second

// watchedSettings hands changes of a settings file on to the running role.
type watchedSettings struct {
	settings *packetSettings
	log      *slog.Logger
	// text was read last, host is what the role goes by.
	text    []byte
	host    platform.Host
	changes chan platform.ReloadableSettings
}

func newWatchedSettings(s *packetSettings, host platform.Host, log *slog.Logger) *watchedSettings {
	return &watchedSettings{settings: s, host: host, log: log, changes: make(chan platform.ReloadableSettings, 1)}
}

// poll reads the file and takes it over if it has changed since the last look.
// One that can't be read is tried again at the next.
func (w *watchedSettings) poll() {
	text, err := platform.ReadSettings(w.settings.path())
	if err != nil || bytes.Equal(text, w.text) {
		return
	}
	first := w.text == nil
	w.text = text
	host, err := w.settings.parse(text)
	if first && err == nil && reflect.DeepEqual(host, w.host) {
		return // as it was at the start
	}
	w.take(host, err)
}

// reload reads the file on request and tells what came of it.
func (w *watchedSettings) reload() {
	text, err := platform.ReadSettings(w.settings.path())
	if err != nil {
		w.log.Error("Settings not read again.", "error", err.Error())
		return
	}
	w.text = text
	host, err := w.settings.parse(text)
	w.take(host, err)
}

// take hands on what may change while the process runs, and tells what takes
// effect at the next start only.
func (w *watchedSettings) take(host platform.Host, err error) {
	if err != nil {
		w.log.Error("Settings not read again.", "error", err.Error())
		return
	}
	fixed := host
	fixed.ReloadableSettings, fixed.FirstStart = w.host.ReloadableSettings, w.host.FirstStart
	same := reflect.DeepEqual(fixed, w.host)
	if host.ReloadableSettings == w.host.ReloadableSettings && same {
		w.log.Info("Settings read again, nothing differs.")
	}
	if host.ReloadableSettings != w.host.ReloadableSettings {
		w.log.Info("Settings changed.", "store", host.Store.String(), "grace_ms", host.Grace.Milliseconds(),
			"drain_ms", host.DrainTimeout.Milliseconds(), "heartbeat_ms", host.HeartbeatInterval.Milliseconds(),
			"flow_max_age_ms", host.FlowMaxAge.Milliseconds(), "seeds", host.Seeds)
		w.hand(host.ReloadableSettings)
	}
	if !same {
		w.log.Warn("Addresses, data centre or service differ; they take effect at the next start.",
			"packets", host.Packets.String(), "dc", host.DataCentre, "service", host.Service)
	}
	w.host = host
}

// hand leaves the newest changes for the role.
func (w *watchedSettings) hand(c platform.ReloadableSettings) {
	select {
	case <-w.changes: // the latest counts
	default:
	}
	w.changes <- c
}
