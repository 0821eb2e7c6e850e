// Package settings defines and checks the flags and environment variables that both roles
// (balancer and agent) share. A check reports all findings together, each with the flag and a
// remedy.
package settings

import (
	"log/slog"
	"net/netip"
	"net/url"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// EnvPrefix is the prefix of all environment variables.
const EnvPrefix = "SALTBEND_"

// Log formats.
const (
	FormatJSON = "json"
	FormatText = "text"
)

// Address is an IP address with a port, as given by the operator and not yet parsed.
type Address string

// Parse returns the parsed address. Host names are rejected: a process must not depend on
// name resolution.
func (a Address) Parse() (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(string(a))
	if err != nil {
		return netip.AddrPort{}, errors.Errorf("%q is not an IP address with a port", string(a))
	}
	return addr, nil
}

// AddrPort returns the parsed address, or the zero value if the address is invalid, which
// Check reports.
func (a Address) AddrPort() netip.AddrPort {
	addr, _ := a.Parse()
	return addr
}

// Secret is text that is redacted wherever it is formatted, logged or marshalled.
type Secret string

// String implements fmt.Stringer. It returns a placeholder in place of the secret.
func (s Secret) String() string {
	if s == "" {
		return ""
	}
	return "[redacted]"
}

// GoString implements fmt.GoStringer. It returns the same placeholder as String.
func (s Secret) GoString() string { return s.String() }

// LogValue implements slog.LogValuer. It returns the same placeholder as String.
func (s Secret) LogValue() slog.Value { return slog.StringValue(s.String()) }

// MarshalText implements encoding.TextMarshaler. It returns the same placeholder as String.
func (s Secret) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Common are the settings that both roles share.
type Common struct {
	Control     Address   `long:"control" env:"SALTBEND_CONTROL" default:"127.0.0.1:0" value-name:"IP:PORT" description:"listen address of the control traffic between processes (TCP); port 0 lets the kernel choose"`
	Advertise   Address   `long:"control-advertise" env:"SALTBEND_CONTROL_ADVERTISE" value-name:"IP:PORT" description:"address at which other processes reach the control listener, where that is not the listen address: behind an address translation, or when the listener is bound to all addresses"`
	Data        Address   `long:"data" env:"SALTBEND_DATA" default:"127.0.0.1:0" value-name:"IP:PORT" description:"listen address of the encapsulated datagrams between processes (UDP)"`
	Ops         Address   `long:"ops" env:"SALTBEND_OPS" default:"127.0.0.1:0" value-name:"IP:PORT" description:"listen address of /metrics, /livez and /readyz (HTTP)"`
	DataCentre  string    `long:"dc" env:"SALTBEND_DC" value-name:"NAME" description:"data centre of this host (required)"`
	Secrets     Secret    `long:"secrets" env:"SALTBEND_SECRETS" value-name:"ID:HEX[,ID:HEX]" default-mask:"-" description:"fleet secrets, the current one first, then the previous one; a process list shows flags, so prefer the environment or --secrets-file"`
	SecretsFile string    `long:"secrets-file" env:"SALTBEND_SECRETS_FILE" value-name:"PATH" description:"file with the fleet secrets; SIGHUP reads it again"`
	Store       []string  `long:"store" env:"SALTBEND_STORE" env-delim:"," value-name:"URL" description:"base URL of the platform's key-value service; may be repeated"`
	Join        []Address `long:"join" env:"SALTBEND_JOIN" env-delim:"," value-name:"IP:PORT" description:"control address of a process to learn the fleet from; may be repeated"`
	LogFormat   string    `long:"log-format" env:"SALTBEND_LOG_FORMAT" default:"json" value-name:"json|text" description:"format of the log on standard error"`
	LogLevel    string    `long:"log-level" env:"SALTBEND_LOG_LEVEL" default:"info" value-name:"debug|info|warn|error" description:"least level that is logged"`
	Pprof       bool      `long:"pprof" env:"SALTBEND_PPROF" description:"serve /debug/pprof/ on the ops address"`
	CheckOnly   bool      `long:"check" env:"SALTBEND_CHECK" description:"check the settings, report all findings and exit"`
}

// Check validates the common settings and returns all findings.
func (c *Common) Check() Findings {
	var f Findings
	f = append(f, CheckAddress("control", c.Control)...)
	f = append(f, c.checkAdvertise()...)
	f = append(f, CheckAddress("data", c.Data)...)
	f = append(f, CheckAddress("ops", c.Ops)...)
	if c.DataCentre == "" {
		f.Add("dc", "no data centre is given", "name the data centre of this host")
	}
	if _, err := c.LoadRing(); err != nil {
		f.Add(c.secretsFlag(), err.Error(), "give ID:HEX with at least 16 bytes of secret, the current one first")
	}
	for _, store := range c.Store {
		f = append(f, CheckStore(store)...)
	}
	for _, join := range c.Join {
		f = append(f, checkJoin(join)...)
	}
	return append(f, c.checkLog()...)
}

// CheckAddress returns the finding about an address, if any. Roles also use it for the
// addresses in their own settings.
func CheckAddress(flag string, a Address) Findings {
	if _, err := a.Parse(); err != nil {
		var f Findings
		f.Add(flag, err.Error(), "give numbers, such as 192.0.2.1:4100")
		return f
	}
	return nil
}

// checkAdvertise checks that the advertised control address is one that other processes can
// connect to.
func (c *Common) checkAdvertise() Findings {
	if c.Advertise == "" {
		return nil
	}
	f := CheckAddress("control-advertise", c.Advertise)
	if addr := c.Advertise.AddrPort(); len(f) == 0 && (addr.Port() == 0 || addr.Addr().IsUnspecified()) {
		f.Add("control-advertise", addr.String()+" is not an address that other processes can connect to", "give the address and the port that other processes connect to")
	}
	return f
}

func checkJoin(a Address) Findings {
	f := CheckAddress("join", a)
	if len(f) == 0 && a.AddrPort().Port() == 0 {
		f.Add("join", "port 0 is not a port to connect to", "give the control port of the other process")
	}
	return f
}

// CheckStore returns the finding about a base URL of the store, if any.
func CheckStore(text string) Findings {
	var f Findings
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || !slices.Contains([]string{"http", "https"}, u.Scheme) {
		// The finding doesn't repeat the text, because it may contain a password.
		f.Add("store", "an entry is not an http or https URL", "give the base URL, such as http://192.0.2.9:8500")
	}
	return f
}

func (c *Common) checkLog() Findings {
	var f Findings
	if !slices.Contains([]string{FormatJSON, FormatText}, c.LogFormat) {
		f.Add("log-format", "unknown format "+quoted(c.LogFormat), "give json or text")
	}
	if _, err := parseLevel(c.LogLevel); err != nil {
		f.Add("log-level", "unknown level "+quoted(c.LogLevel), "give debug, info, warn or error")
	}
	return f
}

// Level returns the lowest level that is logged.
func (c *Common) Level() slog.Level {
	level, _ := parseLevel(c.LogLevel)
	return level
}

func parseLevel(text string) (slog.Level, error) {
	var level slog.Level
	err := level.UnmarshalText([]byte(text))
	return level, err
}

func quoted(s string) string {
	return `"` + strings.ToValidUTF8(s, "?") + `"`
}
