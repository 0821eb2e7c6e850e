package main

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/saltbend/saltbend/internal/exit"
	"github.com/saltbend/saltbend/internal/keyring"
	"github.com/saltbend/saltbend/internal/settings"
)

const (
	eventuallyTimeout = 20 * time.Second
	secret1           = "1:000102030405060708090a0b0c0d0e0f"
	secret3           = "3:aaaaaaaaaaaaaaaabbbbbbbbbbbbbbbb"
	secret2           = "2:f0f1f2f3f4f5f6f7f8f9fafbfcfdfeff"
)

func TestCommandLineExitCodesAndOutput(t *testing.T) {
	t.Setenv("SALTBEND_SECRETS", secret1)
	cases := []struct {
		name     string
		args     []string
		code     int
		out, err string
	}{
		{"help", []string{"--help"}, exit.OK, "balancer", ""},
		{"help of a role", []string{"agent", "--help"}, exit.OK, "$SALTBEND_CONTROL", ""},
		{"version", []string{"--version"}, exit.OK, "\n", ""},
		{"no role", nil, exit.Usage, "", "name a role"},
		{"unknown role", []string{"proxy"}, exit.Usage, "", "proxy"},
		{"unknown flag", []string{"balancer", "--fast"}, exit.Usage, "", "fast"},
		{"stray argument", []string{"balancer", "--dc", "a", "b"}, exit.Usage, "", `"b"`},
		{"findings together", []string{"balancer", "--control", "x"}, exit.Usage, "", "--control (SALTBEND_CONTROL): \"x\" is not an IP address with a port; give numbers, such as 192.0.2.1:4100\n--dc"},
		{"check", []string{"balancer", "--dc", "a", "--check"}, exit.OK, "valid", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			var out, errs bytes.Buffer
			g.Expect(run(c.args, streams{out: &out, err: &errs}, nil)).To(Equal(c.code), errs.String())
			g.Expect(out.String()).To(ContainSubstring(c.out))
			g.Expect(errs.String()).To(ContainSubstring(c.err))
			if c.err == "" {
				g.Expect(errs.String()).To(BeEmpty())
			}
		})
	}
}

// stubRole returns a role with valid settings that runs f.
func stubRole(f func(context.Context, settings.Env) error) *role {
	common := &settings.Common{Secrets: secret1, LogFormat: settings.FormatJSON, LogLevel: "info"}
	return &role{name: "stub", common: common, run: f}
}

func TestServeReturnsTheExitCodeOfFailuresAndSignals(t *testing.T) {
	untilStopped := func(ctx context.Context, _ settings.Env) error {
		<-ctx.Done()
		return nil
	}
	cases := []struct {
		name    string
		run     func(context.Context, settings.Env) error
		signals []os.Signal
		code    int
	}{
		{"failure", func(context.Context, settings.Env) error { return errors.New("no socket") }, nil, exit.Failure},
		{"graceful stop", untilStopped, []os.Signal{syscall.SIGTERM}, exit.OK},
		{"interrupt", untilStopped, []os.Signal{syscall.SIGINT}, exit.OK},
		{"second signal", func(context.Context, settings.Env) error { select {} }, []os.Signal{syscall.SIGTERM, syscall.SIGTERM}, exit.Forced},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			signals := make(chan os.Signal, signalBuffer)
			for _, s := range c.signals {
				signals <- s
			}
			var log bytes.Buffer
			g.Expect(serve(stubRole(c.run), streams{out: &log, err: &log}, signals)).To(Equal(c.code))
			for _, line := range strings.Split(strings.TrimSpace(log.String()), "\n") {
				g.Expect(line).To(ContainSubstring(`"part":"daemon"`))
			}
		})
	}
}

func TestSIGHUPReloadsValidSecretsAndKeepsTheOldOnesOtherwise(t *testing.T) {
	g := NewWithT(t)
	path := filepath.Join(t.TempDir(), "secrets")
	write := func(text string) { g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(Succeed()) }
	write(secret1)
	rings := make(chan *keyring.Ring, 1)
	envs := make(chan settings.Env, 1)
	r := stubRole(func(ctx context.Context, env settings.Env) error {
		env.Keys.OnChange(func(ring *keyring.Ring) { rings <- ring })
		envs <- env
		<-ctx.Done()
		return nil
	})
	r.common.Secrets, r.common.SecretsFile = "", path
	signals := make(chan os.Signal, signalBuffer)
	code := make(chan int, 1)
	var log bytes.Buffer
	go func() { code <- serve(r, streams{out: &log, err: &log}, signals) }()
	var env settings.Env
	g.Eventually(envs, eventuallyTimeout).Should(Receive(&env))

	write(secret1 + "," + secret2)
	signals <- syscall.SIGHUP
	var ring *keyring.Ring
	g.Eventually(rings, eventuallyTimeout).Should(Receive(&ring))
	g.Expect(ring.Derive(keyring.PurposePeer, 1)).To(HaveLen(2))

	for _, refused := range []string{"nonsense", secret3, secret3 + "," + secret1} {
		write(refused)
		signals <- syscall.SIGHUP
		// An empty channel means that the daemon has received the signal. It may read
		// the file only after the next write, which does not matter: each of these
		// texts is refused.
		g.Eventually(signals, eventuallyTimeout).Should(BeEmpty())
	}
	signals <- syscall.SIGTERM
	g.Eventually(code, eventuallyTimeout).Should(Receive(Equal(exit.OK)))
	g.Expect(env.Keys.Ring()).To(BeIdenticalTo(ring))
	g.Expect(strings.Count(log.String(), "Secrets not read again.")).To(Equal(3))
	g.Expect(log.String()).To(ContainSubstring(keyring.ErrRotationOrder.Error()))
}
