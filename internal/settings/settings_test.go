package settings_test

import (
	"bytes"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/settings"
)

const secretHex = "000102030405060708090a0b0c0d0e0f"

func valid() settings.Common {
	return settings.Common{
		Control: "127.0.0.1:0", Data: "127.0.0.1:0", Ops: "[::1]:0",
		DataCentre: "cardiff-1", Secrets: "1:" + secretHex,
		Store: []string{"http://192.0.2.9:8500"}, Join: []settings.Address{"192.0.2.1:4100"},
		LogFormat: settings.FormatJSON, LogLevel: "info",
	}
}

func TestCheckReportsEachInvalidSetting(t *testing.T) {
	cases := []struct {
		place      string
		invalidate func(*settings.Common)
	}{
		{"--control (SALTBEND_CONTROL)", func(c *settings.Common) { c.Control = "localhost:1" }},
		{"--control-advertise (SALTBEND_CONTROL_ADVERTISE)", func(c *settings.Common) { c.Advertise = "192.0.2.1:0" }},
		{"--data (SALTBEND_DATA)", func(c *settings.Common) { c.Data = "127.0.0.1" }},
		{"--ops (SALTBEND_OPS)", func(c *settings.Common) { c.Ops = "" }},
		{"--dc (SALTBEND_DC)", func(c *settings.Common) { c.DataCentre = "" }},
		{"--secrets (SALTBEND_SECRETS)", func(c *settings.Common) { c.Secrets = settings.Secret("1:" + secretHex[2:]) }},
		{"--secrets (SALTBEND_SECRETS)", func(c *settings.Common) { c.Secrets = "" }},
		{"--secrets-file (SALTBEND_SECRETS_FILE)", func(c *settings.Common) { c.SecretsFile = "/nowhere" }},
		{"--store (SALTBEND_STORE)", func(c *settings.Common) { c.Store = []string{"192.0.2.9:8500"} }},
		{"--join (SALTBEND_JOIN)", func(c *settings.Common) { c.Join[0] = "192.0.2.1:0" }},
		{"--log-format (SALTBEND_LOG_FORMAT)", func(c *settings.Common) { c.LogFormat = "xml" }},
		{"--log-level (SALTBEND_LOG_LEVEL)", func(c *settings.Common) { c.LogLevel = "loud" }},
	}
	g := NewWithT(t)
	good := valid()
	g.Expect(good.Check()).To(BeEmpty())
	bad := valid()
	for _, c := range cases {
		common := valid()
		c.invalidate(&common)
		f := common.Check()
		g.Expect(f).To(HaveLen(1), c.place)
		g.Expect(f[0].Place).To(Equal(c.place))
		g.Expect(f[0].Remedy).NotTo(BeEmpty())
		c.invalidate(&bad)
	}
	// With all settings invalid at once, the three cases of secrets give one finding.
	g.Expect(bad.Check()).To(HaveLen(len(cases) - 2))
}

func TestEachFlagHasAnEnvironmentVariable(t *testing.T) {
	g := NewWithT(t)
	common := reflect.TypeOf(settings.Common{})
	for i := range common.NumField() {
		tag := common.Field(i).Tag
		g.Expect(tag.Get("env")).To(Equal(settings.EnvName(tag.Get("long"))))
		g.Expect(tag.Get("description")).NotTo(BeEmpty())
	}
}

func TestSecretsAreRedacted(t *testing.T) {
	g := NewWithT(t)
	c := valid()
	c.Secrets = "1:" + secretHex + ",1:" + secretHex // duplicate id: the error must not repeat the secret
	var log bytes.Buffer
	slog.New(slog.NewJSONHandler(&log, nil)).Info("x", "settings", c, "secret", c.Secrets)
	shown := fmt.Sprintf("%v %+v %#v %s %q %x", c, c, c, c.Secrets, c.Secrets, c.Secrets)
	for _, text := range []string{shown, log.String(), c.Check().Error()} {
		g.Expect(text).NotTo(BeEmpty())
		g.Expect(text).NotTo(ContainSubstring(secretHex))
		g.Expect(text).NotTo(ContainSubstring(fmt.Sprintf("%x", secretHex)))
	}
}

func TestKeysNotifyCallbacksOfARotation(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "secrets")
	g.Expect(os.WriteFile(path, []byte("1:"+secretHex+"\n"), 0o600)).To(Succeed())
	c := settings.Common{SecretsFile: path}
	ring, err := c.LoadRing()
	g.Expect(err).NotTo(HaveOccurred())
	keys := settings.NewKeys(ring)
	var notified *keyring.Ring
	keys.OnChange(func(r *keyring.Ring) { notified = r })

	next := "2:" + strings.Repeat("ff", keyring.MinSecretBytes) + ",1:" + secretHex
	g.Expect(os.WriteFile(path, []byte(next), 0o600)).To(Succeed())
	ring, err = c.LoadRing()
	g.Expect(err).NotTo(HaveOccurred())
	keys.Set(ring)
	g.Expect(notified).To(BeIdenticalTo(ring))
	g.Expect(keys.Ring()).To(BeIdenticalTo(ring))

	var lateNotified *keyring.Ring
	keys.OnChange(func(r *keyring.Ring) { lateNotified = r })
	g.Expect(lateNotified).To(BeIdenticalTo(ring), "a callback that is registered after a rotation must get the new ring")
}
