package main

import (
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/exit"
	"github.com/saltbend/saltbend/internal/logging"
	"github.com/saltbend/saltbend/internal/ops"
	"github.com/saltbend/saltbend/internal/packetface/policy"
	packet "github.com/saltbend/saltbend/internal/packetface/role"
	"github.com/saltbend/saltbend/internal/settings"
	"github.com/saltbend/saltbend/internal/version"
	"github.com/saltbend/saltbend/platform"
)

// packetSettings are the flags of the roles of the packet face. Settings that differ
// between hosts come from the platform's settings file.
type packetSettings struct {
	Settings  string   `long:"settings" env:"SALTBEND_SETTINGS" value-name:"PATH" description:"the platform's settings file of this host (default: where the platform says)"`
	LogFormat string   `long:"log-format" env:"SALTBEND_LOG_FORMAT" default:"json" choice:"json" choice:"text" description:"format of the log on standard output"`
	LogLevel  string   `long:"log-level" env:"SALTBEND_LOG_LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level that is logged"`
	Metrics   uint16   `long:"metrics-port" env:"SALTBEND_METRICS_PORT" value-name:"PORT" default:"0" description:"port for metrics at the host's address, beside the one for readiness (0: none)"`
	Without   []string `long:"without" env:"SALTBEND_WITHOUT" env-delim:"," value-name:"POLICY" description:"switch a decision off, to measure what it is worth; may be given several times"`
	partSettings
	CheckOnly bool `long:"check" env:"SALTBEND_CHECK" description:"check the settings, report all findings and exit"`

	// needsUpstream is set for an agent: its settings file must describe the upstream.
	needsUpstream bool
}

// path returns the path of the settings file.
func (s *packetSettings) path() string {
	if s.Settings != "" {
		return s.Settings
	}
	return platform.SettingsPath()
}

// host reads and checks the settings file.
func (s *packetSettings) host() (platform.Host, error) {
	if s.path() == "" {
		var f settings.Findings
		f.Add("settings", "no settings file is given", "name the platform's settings file of this host")
		return platform.Host{}, f
	}
	text, err := platform.ReadSettings(s.path())
	if err != nil {
		return platform.Host{}, err
	}
	return s.parse(text)
}

// parse parses the text of the settings file and checks it for the role.
func (s *packetSettings) parse(text []byte) (platform.Host, error) {
	host, err := platform.ParseHost(s.path(), text)
	switch {
	case err != nil:
	case s.needsUpstream:
		err = host.CheckAgent(s.path())
	default:
		err = host.CheckBalancer(s.path())
	}
	return host, err
}

// check returns the findings on the settings file and on the flags.
func (s *packetSettings) check() settings.Findings {
	var f settings.Findings
	_, err := s.host()
	if found := (settings.Findings)(nil); errors.As(err, &found) {
		f = found
	} else if err != nil {
		f.Add("settings", err.Error(), "name a file that can be read")
	}
	s.partSettings.check(&f)
	_, unknown := s.policies()
	for _, name := range unknown {
		f.Add("without", fmt.Sprintf("%q is no decision that can be switched off", name), "name one of "+strings.Join(policy.Names(), ", "))
	}
	return f
}

// policies returns the decisions that are switched on, and those of the names given with
// --without that are unknown.
func (s *packetSettings) policies() (on policy.Set, unknown []string) {
	return policy.Without(slices.Concat(s.Without, s.partSettings.off(s.Without)))
}

const (
	// logQueueLines is the number of log lines that can wait while nobody reads standard
	// output. Further lines are dropped, so that logging never blocks the role.
	logQueueLines = 1024
	// logFlushTimeout limits the writing of the remaining lines before the process exits.
	logFlushTimeout = 200 * time.Millisecond
)

// servePacket runs a role of the packet face until it ends or a signal stops it.
func servePacket(name string, s *packetSettings, run func(packet.Env) error, out streams, signals <-chan os.Signal) int {
	lines := logging.NewBounded(out.out, logQueueLines)
	var level slog.Level
	_ = level.UnmarshalText([]byte(s.LogLevel)) // the flag accepts only valid levels
	logger := logging.New(lines, s.LogFormat, level)
	daemon := logging.Part(logger, part)
	code := runPacket(name, s, run, logger, daemon, signals)
	if dropped := lines.Dropped(); dropped > 0 {
		daemon.Warn("Log lines were dropped.", "count", dropped)
	}
	select {
	case <-lines.Close():
	case <-time.After(logFlushTimeout):
	}
	return code
}

// serveMetrics serves metrics at the port of --metrics-port, which, unlike a port chosen at
// start, is always the same, for monitoring that is configured with a fixed port. An error
// is only logged, since the role works without metrics.
func (s *packetSettings) serveMetrics(host platform.Host, log *slog.Logger) {
	if s.Metrics == 0 {
		return
	}
	addr := netip.AddrPortFrom(host.Packets.Addr(), s.Metrics)
	if _, err := ops.Listen(addr); err != nil { // served until the process exits
		log.Error("Metrics port not served.", "address", addr.String(), "error", err.Error())
	}
}

// runPacket runs the role until it ends or a second stop signal arrives, and returns the
// exit code. The first SIGTERM or SIGINT asks the role to stop. The settings file is read
// again on SIGHUP and every settingsPollInterval.
func runPacket(name string, s *packetSettings, run func(packet.Env) error, logger, daemon *slog.Logger, signals <-chan os.Signal) int {
	host, err := s.host()
	policies, _ := s.policies() // check has reported unknown names
	if err != nil {
		daemon.Error("Settings refused.", "error", err.Error())
		return exit.Usage
	}
	daemon.Info("Starting.", "role", name, "host", host.Name, "version", version.Version(), "pid", os.Getpid(), "first_start", host.FirstStart, "without", policies.Off())
	s.serveMetrics(host, daemon)
	stop := make(chan struct{})
	done := make(chan error, 1)
	watched := newWatchedSettings(s, host, daemon)
	go func() {
		done <- run(packet.Env{Logger: logger, Host: host, Stop: stop, Changes: watched.changes, Policies: policies})
	}()
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()
	stopping := false
	for {
		select {
		case err := <-done:
			return exitCode(err, daemon)
		case <-poll.C:
			watched.poll()
		case sig := <-signals:
			switch {
			case sig == syscall.SIGHUP:
				watched.reload()
			case stopping:
				daemon.Warn("Second signal, ending at once.", "signal", sig.String())
				return exit.Forced
			default:
				stopping = true
				daemon.Info("Stop asked for.", "signal", sig.String())
				close(stop)
			}
		}
	}
}
